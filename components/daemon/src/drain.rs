//! Waiting for work in progress at shutdown.

use std::time::Duration;

use events::process;
use tokio::time::{
    Instant,
    sleep, //
};

/// Interval between two checks of the work in progress.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until no work is in progress or `limit` has passed; logs work that is cut off. Returns
/// whether all work has ended.
pub async fn drain(in_progress: impl Fn() -> usize, limit: Duration) -> bool {
    let ended = wait(&in_progress, limit).await;
    if !ended {
        events::emit!(process::ABORTED, "in_progress={}", in_progress());
    }
    ended
}

/// Waits until no work is in progress or `limit` has passed; returns whether all work has ended.
pub async fn wait(in_progress: impl Fn() -> usize, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while in_progress() > 0 {
        if Instant::now() >= end {
            return false;
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    true
}
