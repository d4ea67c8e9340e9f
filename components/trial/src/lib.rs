//! A whole system on stand-ins in one process, for the demo, tests and measurements.
//!
//! Each daemon has a runtime of its own, so that it can be killed: its tasks and sockets are gone
//! at once and nobody is told.

pub mod host;
pub mod stream;
pub mod trial;

pub use trial::Trial;

/// Why a trial failed to do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in or a runtime can't start.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
    /// A daemon can't start.
    #[error(transparent)]
    Daemon(#[from] daemon::Error),
    /// Keys can't be made.
    #[error(transparent)]
    Keys(#[from] keys::Error),
    /// HTTP failed.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// Something was refused.
    #[error("refused: {0}")]
    Refused(String),
    /// Something didn't come about in time.
    #[error("not in time: {0}")]
    Timeout(String),
}
