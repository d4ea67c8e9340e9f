//! Adaptive limit of an engine's silence before it is suspected.
//!
//! A fixed time is too short for a loaded engine and too long for a fast one. The limit follows the
//! gaps between tokens: a smoothed mean and deviation, as in a transport's retransmission timer
//! (RFC 6298), of this answer and, until it has enough of its own, of its pool.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Number of gaps after which an answer's own mean applies without the pool's.
const MIN_OWN_GAPS: u32 = 16;

/// Bounds and factors of the threshold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settings {
    /// Lower bound.
    pub lowest: Duration,
    /// Upper bound.
    pub highest: Duration,
    /// Factor on the mean gap.
    pub means: u32,
    /// Factor on the mean deviation, added to the scaled mean gap.
    pub deviations: u32,
    /// Factor on a wrongly suspected silence; the product is the lower bound for the rest of the
    /// answer.
    #[serde(rename = "excuse")]
    pub floor_factor: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lowest: Duration::from_millis(250),
            highest: Duration::from_secs(2),
            means: 4,
            deviations: 8,
            floor_factor: 2,
        }
    }
}

/// Smoothed gaps between tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gaps {
    mean: Duration,
    deviation: Duration,
    count: u32,
}

impl Gaps {
    /// Records one gap.
    pub fn record(&mut self, gap: Duration) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.mean = gap;
            self.deviation = gap / 2;
            return;
        }
        let error = gap.abs_diff(self.mean);
        self.deviation = (self.deviation * 3 + error) / 4;
        self.mean = (self.mean * 7 + gap) / 8;
    }

    /// Returns the number of recorded gaps.
    pub fn count(&self) -> u32 {
        self.count
    }

    fn limit(&self, settings: &Settings) -> Duration {
        self.mean * settings.means + self.deviation * settings.deviations
    }
}

/// Threshold of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Threshold {
    settings: Settings,
    own: Gaps,
    pool: Gaps,
    /// Lower bound, raised by wrong suspicions.
    floor: Duration,
}

impl Threshold {
    /// Creates a threshold that starts from its pool's gaps.
    pub fn new(settings: Settings, pool: Gaps) -> Threshold {
        Threshold {
            settings,
            own: Gaps::default(),
            pool,
            floor: settings.lowest,
        }
    }

    /// Records one gap of this answer.
    pub fn record(&mut self, gap: Duration) {
        // With equal bounds the gaps have no effect; leaving them out keeps the state space of
        // models small.
        if self.settings.lowest == self.settings.highest {
            return;
        }
        self.own.record(gap);
    }

    /// Raises the lower bound after a wrong suspicion: the engine pauses at times, and each further
    /// wrong suspicion would cost another prefill.
    pub fn raise_floor(&mut self, silence: Duration) {
        let floor = self.floor.max(silence * self.settings.floor_factor);
        self.floor = floor.min(self.settings.highest);
    }

    /// Returns the silence after which the engine is suspected.
    pub fn limit(&self) -> Duration {
        let settings = &self.settings;
        let own = self.own.limit(settings);
        let limit = if self.own.count() >= MIN_OWN_GAPS {
            own
        } else if self.pool.count() > 0 {
            own.max(self.pool.limit(settings))
        } else {
            settings.highest
        };
        limit.clamp(self.floor, settings.highest)
    }

    /// Returns the lower bound of [`Threshold::limit`].
    pub fn lowest(&self) -> Duration {
        self.settings.lowest
    }

    /// Returns the upper bound of [`Threshold::limit`].
    pub fn highest(&self) -> Duration {
        self.settings.highest
    }
}
