//! Updates that the platform's side passes to the gateway.

use std::net::SocketAddr;

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
        /// The registration.
        registration: Registration,
        /// Earliest time at which it was written.
        since: Clock,
    },
    /// A backend server was removed from the registry.
    Deregistered(Server),
    /// An operator started or cancelled a rollout of a service.
    Rollout {
        /// The service.
        service: Service,
        /// The order; `None` when it was cancelled.
        order: Option<Order>,
    },
    /// A state of a rollout was written to the store.
    RolloutState {
        /// The service.
        service: Service,
        /// Revision at which the state was written.
        at: Revision,
        /// Version that is rolled out.
        to: Version,
        /// The state.
        state: State,
    },
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Its name, usually a new one with each start.
    pub server: Server,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Service, version, location and capacity.
    pub facts: Spec,
    /// Whether it is draining and takes no new work.
    pub leaving: bool,
}
