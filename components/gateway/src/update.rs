//! Updates that the adapter to the platform passes to the gateway.

use std::net::SocketAddr;

use contract::poison::Fingerprint;
use moves::rollout::{
    Order,
    State, //
};
use names::{
    Clock,
    Revision,
    Server,
    Service,
    Version, //
};
use routing::placement::Spec;

use crate::document_cache::Snapshot;

/// A change that the gateway applies.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new version of the operator's document.
    Document(Snapshot),
    /// A backend server registered, changed its registration, or renewed it.
    Server {
        /// Registration that was written.
        registration: Registration,
        /// Earliest time at which it was written.
        since: Clock,
    },
    /// A backend server was removed from the registry.
    Deregistered(Server),
    /// An operator started or cancelled a rollout of a service.
    Rollout {
        /// Service that the order applies to.
        service: Service,
        /// Order that was written; `None` when the rollout was cancelled.
        order: Option<Order>,
    },
    /// A state of a rollout was written to the store.
    RolloutState {
        /// Service that the state applies to.
        service: Service,
        /// Revision at which the state was written.
        at: Revision,
        /// Version that is rolled out.
        to: Version,
        /// State that was written.
        state: State,
    },
    /// A refusal of requests that crash servers was written to the store or removed from it.
    Refusal {
        /// Fingerprint of the requests.
        fingerprint: Fingerprint,
        /// Whether the store has it.
        stored: bool,
    },
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Name of the server, usually a new one with each start.
    pub server: Server,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Service, version, data centre and capacity of the server.
    pub spec: Spec,
    /// Whether the server is draining and accepts no new work.
    pub leaving: bool,
    /// Time of the start of its process in Unix milliseconds, if it states it. It tells a server that
    /// restarted under its name from the one before.
    pub started_ms: Option<u64>,
    /// Store revision at which it was written.
    pub revision: Revision,
}
