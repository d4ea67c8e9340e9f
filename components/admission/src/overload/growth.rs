//! How queues are expected to grow by the rate at which requests are sent.
//!
//! An answer tells how long the queue was when its request was sent. What was sent since changes
//! the queue before the next answer shows it, so that a rate that follows the answers alone
//! oscillates.

use std::collections::VecDeque;

use names::Clock;

/// Shortest interval between two entries, in seconds.
const MIN_STEP_S: f64 = 0.01;

/// Longest time for which the rate is taken to have been the same, in seconds.
const MAX_STEP_S: f64 = 0.1;

/// Number of entries that are kept, for some 2.5 s.
const MAX_ENTRIES: usize = 256;

/// Growth of the queues, in seconds of waiting, since a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Growth {
    /// Growth until each time, oldest first.
    entries: VecDeque<(Clock, f64)>,
}

impl Growth {
    /// Starts anew.
    pub(super) fn begin(&mut self, from: Clock) {
        self.entries.clear();
        self.entries.push_back((from, 0.0));
    }

    /// Returns the time for which the growth is to be extended, in seconds, if it is long enough.
    pub(super) fn due(&self, now: Clock) -> Option<f64> {
        let (at, _) = self.entries.back()?;
        let elapsed = now.saturating_sub(*at).as_secs_f64();
        (elapsed >= MIN_STEP_S).then(|| elapsed.min(MAX_STEP_S))
    }

    /// Records by how much the queues have grown since the last entry.
    pub(super) fn record(&mut self, now: Clock, growth: f64) {
        let total = self.entries.back().map_or(0.0, |(_, total)| *total);
        self.entries.push_back((now, total + growth));
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Returns by how much the queues have grown since `sent`, in seconds after the clock's start.
    pub(super) fn since(&self, sent: f64) -> f64 {
        let after = self
            .entries
            .partition_point(|(at, _)| at.as_secs_f64() <= sent);
        let total = |index: usize| self.entries.get(index).map_or(0.0, |(_, total)| *total);
        total(self.entries.len().saturating_sub(1)) - total(after.saturating_sub(1))
    }
}
