//! Whole system on stand-ins in one process, for the demo, tests and measurements.
//!
//! Each daemon has its own runtime, so that it can be killed: its tasks and sockets are dropped at
//! once, and its peers aren't notified.

pub mod host;
pub mod stream;
pub mod trial;

pub use trial::Trial;

/// Error of a trial.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in or a runtime failed to start.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
    /// A daemon failed to start.
    #[error(transparent)]
    Daemon(#[from] daemon::Error),
    /// Keys couldn't be generated.
    #[error(transparent)]
    Keys(#[from] keys::Error),
    /// An HTTP request failed.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// An entry refused a request; holds the response body.
    #[error("refused: {0}")]
    Refused(String),
    /// A condition wasn't met in time.
    #[error("timed out waiting for {0}")]
    Timeout(String),
}
