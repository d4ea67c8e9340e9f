//! What runs and calls need of the sidecar.

use std::{
    sync::Arc,
    time::Duration, //
};

use daemon::{
    records::Records,
    suspects::Suspects, //
};
use settings::Sidecar;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::flights::Flights;

/// Settings, records, what is known of poisonous requests, and the way out.
pub(crate) struct Shared {
    pub(crate) settings: Sidecar,
    /// Records of calls that run at most once.
    pub(crate) records: Records,
    /// What is known of requests that bring servers down.
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) flights: Arc<Flights>,
    /// Origin of the clock readings that decision code gets.
    pub(crate) origin: Instant,
    /// Set when the sidecar leaves: no new work.
    pub(crate) leaving: CancellationToken,
}

impl Shared {
    /// Time since the process began.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}
