//! Runs and calls in progress.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts the runs and calls in progress.
#[derive(Clone, Default)]
pub struct Work(Arc<watch::Sender<u32>>);

/// One run or call in progress; dropping it ends the count.
pub struct Piece(Arc<watch::Sender<u32>>);

impl Work {
    /// Begins a piece of work, unless `most` are in progress.
    pub fn begin(&self, most: usize) -> Option<Piece> {
        let mut fits = false;
        self.0.send_modify(|count| {
            fits = (*count as usize) < most;
            *count += 1;
        });
        let piece = Piece(self.0.clone());
        fits.then_some(piece)
    }

    /// Pieces in progress.
    pub fn count(&self) -> u32 {
        *self.0.borrow()
    }

    /// Changes of the number of pieces in progress.
    pub fn changes(&self) -> watch::Receiver<u32> {
        self.0.subscribe()
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
