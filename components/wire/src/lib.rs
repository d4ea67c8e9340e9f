//! Frames exchanged by entries and sidecars, their codec, and links over QUIC with mutual TLS.
//!
//! A [`Link`] connects two processes. Its first stream, opened by the dialling side, carries
//! [`frame::Hello`] and heartbeats in both directions; every generation and every call has its own
//! stream, so that a slow reader of one doesn't block the others.

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

/// Why an operation on a link failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The UDP socket can't be bound.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The requested address.
        address: std::net::SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Keys or certificates can't be used, or the idle timeout is out of QUIC's range.
    #[error("keys: {0}")]
    Keys(String),
    /// The peer's certificate isn't signed by the configured authority, or isn't for the host name
    /// that the peer claims.
    #[error("foreign certificate: {0}")]
    Foreign(String),
    /// The link is closed or lost, or nothing was received within the idle timeout.
    #[error("link lost: {0}")]
    Lost(String),
    /// A frame can't be encoded or decoded, or isn't allowed at this point of the stream.
    #[error("malformed frame: {0}")]
    Malformed(String),
    /// A frame exceeds the size limit.
    #[error("frame of {size} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Size of the frame in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
}
