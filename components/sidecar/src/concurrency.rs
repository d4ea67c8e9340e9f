//! Count of the runs and calls in progress.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts the runs and calls in progress, against a limit.
#[derive(Clone, Default)]
pub struct Counter(Arc<watch::Sender<u32>>);

/// One run or call in progress; dropping the permit decrements the count.
pub struct Permit(Arc<watch::Sender<u32>>);

impl Counter {
    /// Increments the count; `None` if `limit` runs and calls are in progress already.
    pub fn acquire(&self, limit: usize) -> Option<Permit> {
        let mut fits = false;
        self.0.send_modify(|count| {
            fits = (*count as usize) < limit;
            *count += 1;
        });
        let permit = Permit(self.0.clone());
        fits.then_some(permit)
    }

    /// Returns the number of runs and calls in progress.
    pub fn count(&self) -> u32 {
        *self.0.borrow()
    }

    /// Returns a receiver of the number of runs and calls in progress.
    pub fn subscribe(&self) -> watch::Receiver<u32> {
        self.0.subscribe()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
