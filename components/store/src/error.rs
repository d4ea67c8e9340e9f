//! What a call to the platform can come to, other than its answer.

use std::time::Duration;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Out of service, or nobody listens. A write had no effect.
    #[error("the platform is out of service")]
    Unavailable,
    /// Over a rate. A write had no effect.
    #[error("the platform is busy, come back in {} s", retry_after.as_secs())]
    RateLimited {
        /// Time to wait before the next try.
        retry_after: Duration,
    },
    /// The connection closed, or the time was over, after the request may have left. A write may
    /// have taken effect, or may do so later.
    #[error("the platform didn't answer")]
    Unanswered,
    /// The revision is older than what the store keeps; read afresh.
    #[error("the store no longer keeps changes from that revision on")]
    Compacted,
    /// The value is over 1 MiB. Nothing was written.
    #[error("the value is over 1 MiB")]
    TooLarge,
    /// The lease has lapsed or never was. Nothing was written.
    #[error("the lease is unknown; it has lapsed or was dropped")]
    UnknownLease,
    /// The answer is not what the contract says, or the base address is no URL.
    #[error("the platform's answer isn't understood: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether the same read may succeed later.
    pub(crate) fn passing(&self) -> bool {
        match self {
            Error::Unavailable | Error::RateLimited { .. } | Error::Unanswered => true,
            Error::Compacted | Error::TooLarge | Error::UnknownLease | Error::Malformed(_) => false,
        }
    }
}
