//! Frames between our own processes, their codec, and links over QUIC with mutual TLS.
//!
//! A [`Link`] joins two processes. Its first stream, opened by the side that dialled, carries
//! [`frame::Hello`] and heartbeats both ways; every generation and every call has a stream of its
//! own, so that a slow reader of one holds up no other.

pub mod codec;
pub mod frame;
pub mod link;
pub mod stream;
pub mod tls;
pub mod tokens;

pub use frame::Frame;
pub use link::Link;
pub use link::Node;
pub use stream::Stream;
pub use tokens::Tokens;

/// Why something on a link failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket can't be bound.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The address asked for.
        address: std::net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Keys or certificates are unusable.
    #[error("keys: {0}")]
    Keys(String),
    /// The peer's certificate isn't signed by our authority, or isn't for the name it claims.
    #[error("foreign certificate: {0}")]
    Foreign(String),
    /// The link is closed, lost or silent.
    #[error("link lost: {0}")]
    Lost(String),
    /// A frame that can't be read, or that came where it doesn't belong.
    #[error("malformed frame: {0}")]
    Malformed(String),
    /// A frame over the bound.
    #[error("frame of {size} bytes is over the bound of {most}")]
    Large {
        /// Its size.
        size: usize,
        /// The bound.
        most: usize,
    },
}
