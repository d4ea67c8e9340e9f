//! What the parts of a sidecar share.

use std::sync::Mutex;

use answer::pointer::{
    self,
    Pointer, //
};
use tokio::sync::watch;
use wire::frame::{
    Heartbeat,
    Hello,
    Point, //
};

use crate::{
    calls::Calls,
    generations::Generations,
    shared::Shared,
    work::Work, //
};

/// Shared by the tasks of one sidecar.
pub(crate) struct State {
    /// What runs and calls need of it.
    pub(crate) shared: Shared,
    pub(crate) hello: Hello,
    /// What the next heartbeat says.
    pub(crate) heartbeat: watch::Sender<Heartbeat>,
    pub(crate) generations: Generations,
    pub(crate) calls: Calls,
    /// Pointers that this sidecar holds for entries.
    pub(crate) pointers: Mutex<pointer::Table>,
    pub(crate) work: Work,
}

impl State {
    /// Holds a pointer for other entries.
    pub(crate) fn point(&self, point: Point) {
        let mut pointers = self.pointers.lock().expect("no panic while held");
        pointers.put(self.shared.now(), point.request, point.pointer);
    }

    /// The pointer of a request, if this sidecar holds it.
    pub(crate) fn find(&self, request: &str) -> Option<Pointer> {
        let mut pointers = self.pointers.lock().expect("no panic while held");
        pointers.get(self.shared.now(), request).cloned()
    }
}
