//! Runs of this process that haven't given a sign of life.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use names::Server;

/// Interval at which a request that waits for the lives of others looks for a server.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a request gets no server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaced {
    /// No server takes it, or it may not be sent again.
    NoServer,
    /// The servers have runs that must live first.
    Occupied,
}

/// Numbers of these runs by server.
#[derive(Debug, Default)]
pub struct Probation {
    counts: RefCell<BTreeMap<Server, usize>>,
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
