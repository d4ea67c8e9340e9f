//! What the parts of a sidecar share.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use answer::pointer::{
    self,
    Pointer, //
};
use daemon::{
    records::Records,
    suspects::Suspects, //
};
use settings::Sidecar;
use tokio::{
    sync::watch,
    time::Instant, //
};
use tokio_util::sync::CancellationToken;
use wire::frame::{
    Heartbeat,
    Hello,
    Point, //
};

use crate::{
    calls::Calls,
    flights::Flights,
    generations::Generations, //
};

/// Shared by the tasks of one sidecar.
pub(crate) struct State {
    pub(crate) settings: Sidecar,
    pub(crate) hello: Hello,
    /// What the next heartbeat says.
    pub(crate) heartbeat: watch::Sender<Heartbeat>,
    pub(crate) generations: Generations,
    pub(crate) calls: Calls,
    /// Pointers that this sidecar holds for entries.
    pub(crate) pointers: Mutex<pointer::Table>,
    pub(crate) work: Work,
    /// Records of calls that run at most once.
    pub(crate) records: Records,
    /// What is known of requests that bring servers down.
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) flights: Arc<Flights>,
    /// Origin of the clock readings that decision code gets.
    pub(crate) origin: Instant,
    /// Set when the sidecar leaves: no new work.
    pub(crate) leaving: CancellationToken,
}

impl State {
    /// Time since the process began.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Holds a pointer for other entries.
    pub(crate) fn point(&self, point: Point) {
        let mut pointers = self.pointers.lock().expect("no panic while held");
        pointers.put(self.now(), point.request, point.pointer);
    }

    /// The pointer of a request, if this sidecar holds it.
    pub(crate) fn find(&self, request: &str) -> Option<Pointer> {
        let mut pointers = self.pointers.lock().expect("no panic while held");
        pointers.get(self.now(), request).cloned()
    }
}

/// Counts the runs and calls in progress.
#[derive(Clone, Default)]
pub struct Work(Arc<watch::Sender<u32>>);

/// One run or call in progress; dropping it ends the count.
pub struct Piece(Arc<watch::Sender<u32>>);

impl Work {
    /// Begins a piece of work, unless `most` are in progress.
    pub fn begin(&self, most: usize) -> Option<Piece> {
        let mut fits = false;
        self.0.send_modify(|count| {
            fits = (*count as usize) < most;
            *count += 1;
        });
        let piece = Piece(self.0.clone());
        fits.then_some(piece)
    }

    /// Pieces in progress.
    pub fn count(&self) -> u32 {
        *self.0.borrow()
    }

    /// Changes of the number of pieces in progress.
    pub fn changes(&self) -> watch::Receiver<u32> {
        self.0.subscribe()
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
