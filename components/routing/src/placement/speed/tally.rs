//! Counts of observations that processes exchange.

use std::time::Duration;

use names::Clock;

use super::Kind;

/// Half-life of counts: a server that changes for good is known as such within minutes.
const HALF_LIFE: Duration = Duration::from_secs(180);

/// Time within which all observations of a process at a server count as one. A busy server would
/// otherwise be judged by its last seconds.
const SLOT: Duration = Duration::from_secs(2);

/// Observations as sent to peers: their number in eighths, and the sum of their logarithms in
/// thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of observations, in eighths.
    pub eighths: u32,
    /// Sum of the logarithms of the observed times in seconds, in thousandths.
    pub sum: i32,
}

/// Decaying counts of one kind of observation.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    weight: f64,
    sum: f64,
    updated_at: Clock,
    /// Beginning of the current slot, and the number and mean of the observations in it.
    slot: (Clock, f64, f64),
}

impl Tally {
    fn at(&self, now: Clock) -> (f64, f64) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let remaining = (-age / HALF_LIFE.as_secs_f64()).exp2();
        (self.weight * remaining, self.sum * remaining)
    }

    fn record(&mut self, now: Clock, observed: f64) {
        (self.weight, self.sum) = self.at(now);
        self.updated_at = now;
        let (began, count, mean) = self.slot;
        if count > 0.0 && now.saturating_sub(began) < SLOT {
            let changed = mean + (observed - mean) / (count + 1.0);
            self.sum += changed - mean;
            self.slot = (began, count + 1.0, changed);
            return;
        }
        self.weight += 1.0;
        self.sum += observed;
        self.slot = (now, 1.0, observed);
    }
}

/// Counts of all kinds of observations of one process at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tallies([Tally; 2]);

impl Tallies {
    /// Creates tallies from a peer's counts.
    pub fn new(now: Clock, counts: [Counts; 2]) -> Tallies {
        Tallies(counts.map(|counts| Tally {
            weight: f64::from(counts.eighths) / 8.0,
            sum: f64::from(counts.sum) / 1000.0,
            updated_at: now,
            slot: Default::default(),
        }))
    }

    /// Returns the number of observations and the sum of their logarithms.
    pub(super) fn at(&self, now: Clock, kind: Kind) -> (f64, f64) {
        self.0[kind as usize].at(now)
    }

    /// Returns the number of observations of all kinds.
    pub(super) fn weight(&self, now: Clock) -> f64 {
        self.0.iter().map(|tally| tally.at(now).0).sum()
    }

    pub(super) fn record(&mut self, now: Clock, kind: Kind, observed: f64) {
        self.0[kind as usize].record(now, observed);
    }

    /// Returns the counts for peers.
    pub(super) fn counts(&self, now: Clock) -> [Counts; 2] {
        self.0.map(|tally| {
            let (weight, sum) = tally.at(now);
            let eighths = (weight * 8.0).round();
            // The mean is kept exactly where the number is rounded.
            let rounded = if weight > 0.0 {
                sum / weight * eighths / 8.0
            } else {
                0.0
            };
            Counts {
                eighths: eighths as u32,
                sum: (rounded * 1000.0).round() as i32,
            }
        })
    }
}
