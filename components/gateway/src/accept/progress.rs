//! What a connection of a caller does, and what its responses hold until they are written.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use events::{
    forwarding,
    note, //
};
use tokio::time::Instant;

use crate::{
    account::{
        self,
        Charge,
        Connection, //
    },
    meter,
    requests::{
        self,
        Stage,
        Work, //
    },
    settings::Limits, //
};

/// State of a connection, by which its timeouts are applied.
pub(super) struct Progress {
    pub(super) connection: Connection,
    /// Number of requests in progress. The rest of a body may end after the next request began.
    pub(super) running: Cell<usize>,
    /// Time at which the last response ended, or the connection was opened.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// Time at which the first byte of the next request arrived.
    pub(super) request_began: Cell<Option<Instant>>,
    /// Whether the last response asked its caller to come back later, and nothing was read since.
    pub(super) is_refused: Cell<bool>,
    /// Responses that were taken and aren't written yet.
    pub(super) unwritten: RefCell<Vec<Pending>>,
    /// Since when the caller has taken nothing of what is written.
    pub(super) blocked_since: Cell<Option<Instant>>,
}

/// What a response holds until it is written.
pub(super) struct Pending {
    /// The request that it answers.
    pub(super) running: Option<requests::Guard>,
    pub(super) _active: Rc<ActiveGuard>,
    pub(super) _charge: Charge,
}

/// Part of a response's body. The connection keeps what is pending once the body is dropped, which is
/// when its last byte was taken.
pub(super) struct Unwritten {
    pub(super) progress: Rc<Progress>,
    pub(super) pending: Option<Pending>,
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if let Some(running) = &pending.running
            && running.progress.work() == Work::Complete
        {
            running.progress.writing();
        }
        self.progress.unwritten.borrow_mut().push(pending);
    }
}

/// Ends the requests of a connection when it is dropped, after the connection.
pub(super) struct ConnectionGuard(pub(super) Rc<Progress>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        for pending in self.0.unwritten.take() {
            let Some(running) = &pending.running else {
                continue;
            };
            let request = &running.progress;
            if request.stage() != Stage::Writing {
                // A response that broke off is logged by its handler.
                continue;
            }
            meter::answer_cut(request.closer(), request.work());
            note!(
                forwarding::UNWRITTEN,
                id = request.id().as_str(),
                route = request.route().as_deref(),
                server = request.server().as_deref(),
                by = request.closer().name(),
                ms = request.arrived.elapsed().as_millis() as u64
            );
        }
    }
}

/// Marks a request as in progress until its response is written.
pub(super) struct ActiveGuard(Rc<Progress>);

impl Progress {
    pub(super) fn new(connection: Connection) -> Progress {
        Progress {
            connection,
            running: Cell::default(),
            idle_since: Cell::new(Some(Instant::now())),
            request_began: Cell::default(),
            is_refused: Cell::default(),
            unwritten: RefCell::default(),
            blocked_since: Cell::default(),
        }
    }

    /// Returns the pause before a request: it has one if it was sent before the refusal of the one ahead
    /// of it was read. Otherwise callers who don't read responses take the place of those who do.
    pub(super) fn pause(&self, limits: &Limits) -> Duration {
        if !self.is_refused.replace(false) || limits.pipeline_pause.is_zero() {
            return Duration::ZERO;
        }
        self.connection.record_held_back();
        limits.pipeline_pause
    }

    pub(super) fn is_running(&self) -> bool {
        self.running.get() > 0
    }

    /// Returns when the connection is closed if the caller takes nothing of its response until then: it
    /// isn't idle while it waits for its answer.
    pub(super) fn stuck_at(&self, idle_timeout: Duration) -> Option<Instant> {
        let stuck_at = self.blocked_since.get()? + idle_timeout;
        let until = self.connection.until();
        Some(until.map_or(stuck_at, |until| until.max(stuck_at)))
    }
}

impl ActiveGuard {
    pub(super) fn new(progress: Rc<Progress>) -> ActiveGuard {
        progress.running.set(progress.running.get() + 1);
        progress.request_began.set(None);
        progress.connection.set_stage(account::Stage::Active);
        ActiveGuard(progress)
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.idle_since.set(Some(Instant::now()));
        if !self.0.is_running() {
            self.0.connection.set_stage(account::Stage::Idle);
        }
    }
}
