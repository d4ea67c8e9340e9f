//! Short reaction to a server that slows down.

use std::time::Duration;

use names::Clock;

/// Weight of a new measurement in the recent slowness of a server.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.25;

/// Bounds of one measurement, as a single long request says little.
const SLOWNESS_RATIO_BOUNDS: (f64, f64) = (0.25, 10.0);

/// Half-life of a recent slowness without new measurements: a server that gets no work because it
/// was slow must be tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Slowness of a server in the last seconds, relative to its steady one.
#[derive(Clone, Copy, Debug)]
pub(in crate::placement) struct Recent {
    slowness: f64,
    updated_at: Clock,
}

impl Default for Recent {
    fn default() -> Recent {
        Recent {
            slowness: 1.0,
            updated_at: Clock::ZERO,
        }
    }
}

impl Recent {
    /// Records a measurement: the duration of a piece of work relative to the expected one.
    pub(in crate::placement) fn record(&mut self, now: Clock, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_RATIO_BOUNDS.0, SLOWNESS_RATIO_BOUNDS.1);
        let previous = self.slowness(now);
        self.slowness = previous + SLOWNESS_EWMA_WEIGHT * (ratio - previous);
        self.updated_at = now;
    }

    /// Returns 1 for a server as fast as expected, 2 for one that takes twice as long.
    pub(in crate::placement) fn slowness(&self, now: Clock) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let remaining = (-age / SLOWNESS_HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (self.slowness - 1.0) * remaining
    }
}
