//! What the platform's side tells the gateway.

use std::net::SocketAddr;

use moves::brief::{
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

use crate::document_cache::Edition;

/// News for the gateway.
#[derive(Clone, Debug)]
pub enum Update {
    /// A document.
    Document(Edition),
    /// A backend server registered, changed, or gave a sign of life.
    Server {
        /// What it says.
        registration: Registration,
        /// Time after which it said so.
        since: Clock,
    },
    /// A backend server left the register.
    Gone(Server),
    /// An operator ordered that a service's traffic moves, or withdrew the order.
    Move {
        /// The service.
        service: Service,
        /// The order; none when it was withdrawn.
        order: Option<Order>,
    },
    /// A state of a move stands in the store.
    Standing {
        /// The service.
        service: Service,
        /// Revision at which it was written.
        at: Revision,
        /// The version that the traffic moves to.
        to: Version,
        /// The state.
        state: State,
    },
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Its name; a new one with each start, as a rule.
    pub server: Server,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it serves.
    pub facts: Spec,
    /// It takes no new work.
    pub leaving: bool,
}
