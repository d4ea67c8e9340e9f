//! What both daemons share: HTTP listeners, metrics, and a link's greeting and heartbeats.

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
    /// An HTTP address can't be bound.
    #[error("can't listen on {address}: {message}")]
    Listen {
        /// The address asked for.
        address: std::net::SocketAddr,
        /// What the system said.
        message: String,
    },
    /// The links can't be set up.
    #[error(transparent)]
    Wire(#[from] wire::Error),
}
