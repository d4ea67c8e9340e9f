//! Makes keys and certificates for trials and tests.
//!
//! In production the operators' own authority signs the hosts' certificates; all that our processes
//! ask of one is a subject alternative name that is the host's name.

pub mod authority;

pub use authority::Authority;

/// Why keys could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The library refused.
    #[error("keys can't be made: {0}")]
    Refused(#[from] rcgen::Error),
}
