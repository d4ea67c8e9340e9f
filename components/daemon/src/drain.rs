//! The wait of a process that stops for what is in progress.

use std::time::Duration;

use events::process;
use tokio::time::{
    Instant,
    sleep, //
};

/// Pace at which it is looked whether something is still in progress.
const PACE: Duration = Duration::from_millis(20);

/// Waits until nothing is in progress, or the limit has passed, which is logged.
pub async fn drain(in_progress: impl Fn() -> usize, limit: Duration) {
    let end = Instant::now() + limit;
    while in_progress() > 0 {
        if Instant::now() >= end {
            events::emit!(process::CUT, "in_progress={}", in_progress());
            return;
        }
        sleep(PACE).await;
    }
}
