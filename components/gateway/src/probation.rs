//! Runs of this process that haven't given a sign of life.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use contract::poison::{
    Fingerprint,
    evidence::{
        LIFE_SIGN,
        ServiceId, //
    }, //
};
use names::Server;
use tokio::time::Instant;

/// Interval at which a request that waits for the lives of others looks for a server.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a request gets no server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaced {
    /// No server takes it, or it may not be sent again.
    NoServer,
    /// The servers have runs that must live first, or another request must.
    Occupied,
}

/// Numbers of these runs by server, and plain requests in flight.
#[derive(Debug, Default)]
pub struct Probation {
    counts: RefCell<BTreeMap<Server, usize>>,
    plain: RefCell<Vec<PlainRun>>,
}

/// Run of a plain request while requests are suspected.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PlainRun {
    service: ServiceId,
    request: Fingerprint,
    began: Instant,
}

impl Probation {
    /// Adds a run at a server, which is on probation until the guard is dropped.
    pub fn begin(self: &Rc<Self>, server: &Server) -> Guard {
        let mut counts = self.counts.borrow_mut();
        *counts.entry(server.clone()).or_default() += 1;
        Guard {
            probation: self.clone(),
            server: server.clone(),
        }
    }

    /// Adds a run of a plain request until the guard is dropped.
    pub fn begin_plain(self: &Rc<Self>, service: ServiceId, request: Fingerprint) -> PlainGuard {
        let run = PlainRun {
            service,
            request,
            began: Instant::now(),
        };
        self.plain.borrow_mut().push(run);
        PlainGuard {
            probation: self.clone(),
            run,
        }
    }

    /// Returns the plain requests to a service whose runs are too young to have given a sign of life.
    pub fn young_requests(&self, service: ServiceId) -> Vec<Fingerprint> {
        let plain = self.plain.borrow();
        let is_young = |run: &&PlainRun| run.service == service && run.began.elapsed() < LIFE_SIGN;
        plain
            .iter()
            .filter(is_young)
            .map(|run| run.request)
            .collect()
    }

    /// Returns the servers that have such runs.
    pub fn servers(&self) -> Vec<Server> {
        self.counts.borrow().keys().cloned().collect()
    }
}

/// Keeps a run on probation until it is dropped.
#[derive(Debug)]
pub struct Guard {
    probation: Rc<Probation>,
    server: Server,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut counts = self.probation.counts.borrow_mut();
        let Some(count) = counts.get_mut(&self.server) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.server);
        }
    }
}

/// Keeps the run of a plain request until it is dropped.
#[derive(Debug)]
pub struct PlainGuard {
    probation: Rc<Probation>,
    run: PlainRun,
}

impl Drop for PlainGuard {
    fn drop(&mut self) {
        let mut plain = self.probation.plain.borrow_mut();
        if let Some(index) = plain.iter().position(|run| *run == self.run) {
            plain.swap_remove(index);
        }
    }
}
