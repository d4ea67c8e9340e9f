//! Errors of an exchange with a backend server.

use std::io;

use crate::Bound;

/// Error of an exchange with a backend server. [`crate::Connection::bytes_sent`] tells whether the
/// request may have run; the kind of error does not.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection couldn't be established.
    #[error("can't connect: {0}")]
    Connect(io::Error),
    /// Reading or writing failed.
    #[error("connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The server closed the connection before the response was complete.
    #[error("connection closed before the response was complete")]
    Closed,
    /// The received bytes aren't a valid HTTP response.
    #[error("invalid HTTP response: {0}")]
    Malformed(&'static str),
    /// The received bytes exceed a bound.
    #[error("response exceeds a bound: {0}")]
    Excess(Bound),
    /// The server didn't respond in time.
    #[error("no response in time")]
    Timeout,
}
