//! Errors of calls to the platform.

use std::time::Duration;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The platform is out of service or refuses connections. A write had no effect.
    #[error("the platform is out of service")]
    Unavailable,
    /// The rate limit is exceeded. A write had no effect.
    #[error("the platform is busy, come back in {} s", retry_after.as_secs())]
    RateLimited {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The connection closed or the call timed out after the request may have left. A write may
    /// have taken effect, or may still do so later.
    #[error("the platform didn't answer")]
    Unanswered,
    /// The store no longer retains changes from the requested revision on. List the keys again.
    #[error("the store no longer keeps changes from that revision on")]
    Compacted,
    /// The value is larger than 1 MiB. Nothing was written.
    #[error("the value is over 1 MiB")]
    TooLarge,
    /// The lease has expired or never existed. Nothing was written.
    #[error("the lease is unknown; it has lapsed or was dropped")]
    UnknownLease,
    /// The answer violates the platform's interface, or the base address is not a URL.
    #[error("the platform's answer isn't understood: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns whether the same read may succeed later.
    pub(crate) fn is_transient(&self) -> bool {
        match self {
            Error::Unavailable | Error::RateLimited { .. } | Error::Unanswered => true,
            Error::Compacted | Error::TooLarge | Error::UnknownLease | Error::Malformed(_) => false,
        }
    }
}
