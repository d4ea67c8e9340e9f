//! Code shared by the entry and the sidecar: HTTP listeners, probes, the handshake and heartbeats
//! of links, waiting for work at shutdown, measurement of lateness, records of calls, and the
//! exchange of facts about poisonous requests.

pub mod drain;
pub mod handshake;
pub mod http;
pub mod lateness;
pub mod probe;
pub mod records;
pub mod suspects;

/// Why a daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An HTTP listener can't be bound.
    #[error("can't listen on {address}: {message}")]
    Listen {
        /// The requested address.
        address: std::net::SocketAddr,
        /// The operating system's error.
        message: String,
    },
    /// The links can't be set up.
    #[error(transparent)]
    Wire(#[from] wire::Error),
}
