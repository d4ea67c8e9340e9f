//! Creates keys and certificates for trials and tests.
//!
//! In production the operators' own authority signs the hosts' certificates; processes only require
//! that a certificate's subject alternative name is the host's name.

pub mod authority;

pub use authority::Authority;

/// Why keys could not be created.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The certificate library returned an error.
    #[error("can't create keys: {0}")]
    Generation(#[from] rcgen::Error),
}
