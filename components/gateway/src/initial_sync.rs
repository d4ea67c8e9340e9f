//! Requests that come before the first reading of the store has shown what they need.
//!
//! A process that starts again has its place behind the balancer at once, but knows no document for
//! the time of its first call to the store, mostly some 20 ms, and in a large fleet no server of some
//! service for longer. After all processes ended together, many callers whose answers broke off come
//! back in that time, and most come back only once: a rejection then loses the request. So it waits
//! for the reading to end.

use std::time::Duration;

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Part of the caller's time that a request may wait; seven eighths are left for its answer.
const MAX_WAIT_SHARE: u32 = 8;

/// Longest wait. A call to the store that takes longer is given up, and the store is out.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Whether the first reading of the store is still under way.
#[derive(Debug, Default)]
pub struct InitialSync {
    over: CancellationToken,
}

impl InitialSync {
    /// Notes that the store was read, or that a call failed.
    pub fn end(&self) {
        self.over.cancel();
    }

    /// Whether the first reading has ended.
    pub fn over(&self) -> bool {
        self.over.is_cancelled()
    }

    /// Waits for the end of the first reading, within the time that a request can spare.
    pub async fn wait(&self, deadline: Option<Duration>) {
        let spare = deadline.map_or(MAX_WAIT, |deadline| MAX_WAIT.min(deadline / MAX_WAIT_SHARE));
        // Whether a document is known then is seen from the document.
        let _ = timeout(spare, self.over.cancelled()).await;
    }
}
