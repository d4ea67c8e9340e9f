//! State of the sidecar that generations and calls share.

use std::{
    sync::Arc,
    time::Duration, //
};

use daemon::{
    records::Records,
    suspects::SharedDetector, //
};
use settings::Sidecar;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::inflight::Tracker;

/// Settings, records, facts about suspected requests, and the shutdown signal.
pub(crate) struct Context {
    pub(crate) settings: Sidecar,
    /// Records of calls that must run at most once.
    pub(crate) records: Records,
    /// Facts about requests suspected of crashing servers.
    pub(crate) suspects: Arc<SharedDetector>,
    pub(crate) inflight: Arc<Tracker>,
    /// Origin of the clock readings passed to the state machines.
    pub(crate) origin: Instant,
    /// Cancelled when the sidecar leaves; new work is then refused.
    pub(crate) leaving: CancellationToken,
}

impl Context {
    /// Returns the monotonic time since the sidecar started.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}
