//! Recent lookups of the engines' caches.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    time::Duration, //
};

use names::{
    Server,
    Service, //
};
use tokio::{
    sync::{
        mpsc::UnboundedSender,
        watch, //
    },
    time::Instant, //
};

use crate::peers::Outgoing;

/// Time for which the results are valid. Callers of gateways that failed together reconnect within
/// a second or two; prompts processed after that are known to this gateway or a peer.
pub const CACHE_TTL: Duration = Duration::from_secs(10);

/// Recent lookups and their progress.
pub struct CacheLookup {
    pub lookups: RefCell<HashMap<Service, Lookup>>,
    /// Time at which this gateway last queried each engine.
    queried: RefCell<HashMap<Server, Instant>>,
    /// Time until which servers may be missing from the registry.
    pub registering_until: Cell<Option<Instant>>,
    outgoing: UnboundedSender<Outgoing>,
}

/// Lookup at the engines of a service.
#[derive(Clone)]
pub struct Lookup {
    pub at: Instant,
    /// Rank of this gateway among the live ones, and their number, which define its partition of
    /// the engines.
    pub rank: (usize, usize),
    pub done: watch::Receiver<bool>,
}

impl CacheLookup {
    /// Creates the state without lookups.
    pub fn new(outgoing: UnboundedSender<Outgoing>) -> CacheLookup {
        CacheLookup {
            lookups: RefCell::default(),
            queried: RefCell::default(),
            registering_until: Cell::default(),
            outgoing,
        }
    }

    /// Records that servers may be missing from the registry for a time.
    pub fn await_registrations(&self, time: Duration) {
        self.registering_until.set(Some(Instant::now() + time));
    }

    /// Returns the recent lookup at a service's engines, if there is one.
    pub fn recent(&self, service: &Service) -> Option<Lookup> {
        let lookup = self.lookups.borrow().get(service).cloned();
        lookup.filter(|lookup| lookup.at.elapsed() < CACHE_TTL)
    }

    /// Marks an engine as queried; returns `false` if it was queried recently.
    pub fn mark_queried(&self, server: &Server) -> bool {
        let mut queried = self.queried.borrow_mut();
        queried.retain(|_, at| at.elapsed() < CACHE_TTL);
        if queried.contains_key(server) {
            return false;
        }
        queried.insert(server.clone(), Instant::now());
        true
    }

    /// Sends a message to peers.
    pub fn send(&self, message: Outgoing) {
        // The receiver is gone when the process exits.
        let _ = self.outgoing.send(message);
    }
}
