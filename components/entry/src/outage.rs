//! Tracks recent outages of the platform's store.

use std::{
    sync::Mutex,
    time::Duration, //
};

use tokio::time::Instant;

/// Time for which calls that need a record are refused immediately after a failure of the store.
pub(crate) const COOLDOWN: Duration = Duration::from_millis(500);

/// Time of the store's last failure.
///
/// Without it, each recorded call during a long outage would wait for its own timeout before it is
/// refused.
#[derive(Default)]
pub(crate) struct Outage(Mutex<Option<Instant>>);

impl Outage {
    /// Records a failure of the store.
    pub(crate) fn record(&self) {
        *self.0.lock().expect("no panic while held") = Some(Instant::now());
    }

    /// Returns whether the last failure is at least [`COOLDOWN`] ago.
    pub(crate) fn is_over(&self) -> bool {
        let failed_at = *self.0.lock().expect("no panic while held");
        failed_at.is_none_or(|at| at.elapsed() >= COOLDOWN)
    }
}
