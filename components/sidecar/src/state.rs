//! State shared by the tasks of a sidecar.

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
    concurrency::Counter,
    context::Context,
    generations::Generations, //
};

/// State shared by the tasks of one sidecar.
pub(crate) struct State {
    /// The part that generations and calls use.
    pub(crate) context: Context,
    pub(crate) hello: Hello,
    /// Content of the next heartbeat.
    pub(crate) heartbeat: watch::Sender<Heartbeat>,
    pub(crate) generations: Generations,
    pub(crate) calls: Calls,
    /// Pointers that this sidecar stores on behalf of entries.
    pub(crate) pointers: Mutex<pointer::Table>,
    pub(crate) concurrency: Counter,
}

impl State {
    /// Stores the pointer of a request.
    pub(crate) fn put_pointer(&self, point: Point) {
        let mut pointers = self.pointers.lock().expect("no panic while held");
        pointers.put(self.context.now(), point.request, point.pointer);
    }

    /// Returns the pointer of a request, if this sidecar stores it.
    pub(crate) fn get_pointer(&self, request: &str) -> Option<Pointer> {
        let mut pointers = self.pointers.lock().expect("no panic while held");
        pointers.get(self.context.now(), request).cloned()
    }
}
