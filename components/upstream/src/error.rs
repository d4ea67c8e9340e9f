//! Why an exchange with a backend server failed.

use std::io;

/// Why an exchange failed. Whether the request may have run is told by
/// [`crate::Connection::bytes_sent`], not by the kind of error.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection came about.
    #[error("can't connect: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The peer closed the connection before the answer was complete.
    #[error("connection closed before the answer was complete")]
    Closed,
    /// What came isn't an answer in the protocol.
    #[error("not an HTTP answer: {0}")]
    Malformed(&'static str),
    /// Nothing came for too long.
    #[error("no answer in time")]
    Timeout,
}
