//! Holds requests that arrive before the initial read of the store is complete.
//!
//! A restarted process gets connections from the balancer at once, but has no document until its
//! first call to the store returns, usually after some 20 ms, and in a large fleet it has no server
//! of some services for longer. When all processes failed together, many callers whose answers were
//! cut off reconnect in that time, and most of them retry only once, so a rejection would lose
//! the request. Such requests wait until the document and a server of their service are known.

use std::{
    cell::Cell,
    time::Duration, //
};

use tokio::{
    sync::Notify,
    time::timeout, //
};
use tokio_util::sync::CancellationToken;

/// Divisor of the caller's deadline that gives the longest wait of a request: seven eighths of the
/// time remain for its answer.
const MAX_WAIT_DIVISOR: u32 = 8;

/// Longest wait of any request. A call to the store that takes longer is abandoned, and the store
/// counts as unavailable.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Whether the initial read of the store is still running.
#[derive(Debug, Default)]
pub struct InitialSync {
    ended: CancellationToken,
    progress: Notify,
    complete: Cell<bool>,
}

impl InitialSync {
    /// Records that a part of the store was read.
    pub fn advance(&self) {
        self.progress.notify_waiters();
    }

    /// Records that the whole store was read.
    pub fn complete(&self) {
        self.complete.set(true);
        self.end();
    }

    /// Returns whether the whole store was read.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Records that the store was read, or that a call to it failed.
    pub fn end(&self) {
        self.ended.cancel();
    }

    /// Returns whether the initial read has ended.
    pub fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Waits until something is `known` or the initial read has ended, for at most a share of the
    /// request's deadline.
    pub async fn wait(&self, deadline: Option<Duration>, known: impl Fn() -> bool) {
        let max_wait = deadline.map_or(MAX_WAIT, |deadline| {
            MAX_WAIT.min(deadline / MAX_WAIT_DIVISOR)
        });
        let waiting = async {
            loop {
                let progress = self.progress.notified();
                if self.has_ended() || known() {
                    return;
                }
                tokio::select! {
                    () = self.ended.cancelled() => {}
                    () = progress => {}
                }
            }
        };
        // The caller checks what is known afterwards, so a timeout needs no handling here.
        let _ = timeout(max_wait, waiting).await;
    }
}
