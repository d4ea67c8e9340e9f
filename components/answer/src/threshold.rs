//! How long an engine may be silent before it is suspected.
//!
//! A fixed time is too short for a loaded engine and too long for a quick one. The limit follows
//! the gaps between tokens: a smoothed mean and deviation, as a transport's retransmission timer
//! has them (RFC 6298), of this answer and, until it has enough of its own, of its pool.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Gaps of an answer after which its own mean stands without the pool's.
const ENOUGH: u32 = 16;

/// Bounds and steepness of the threshold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settings {
    /// Lower bound.
    pub lowest: Duration,
    /// Upper bound.
    pub highest: Duration,
    /// Multiple of the mean gap.
    pub means: u32,
    /// Multiple of the mean deviation, added to it.
    pub deviations: u32,
    /// Multiple of a silence that was suspected wrongly, as a lower bound for the rest of the answer.
    pub excuse: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lowest: Duration::from_millis(250),
            highest: Duration::from_secs(2),
            means: 4,
            deviations: 8,
            excuse: 2,
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
    /// Learns one gap.
    pub fn learn(&mut self, gap: Duration) {
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

    /// Number of gaps learned.
    pub fn count(&self) -> u32 {
        self.count
    }

    fn limit(&self, settings: &Settings) -> Duration {
        self.mean * settings.means + self.deviation * settings.deviations
    }
}

/// The threshold of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Threshold {
    settings: Settings,
    own: Gaps,
    pool: Gaps,
    /// Raised by wrong suspicions.
    floor: Duration,
}

impl Threshold {
    /// A threshold that starts from its pool's gaps.
    pub fn new(settings: Settings, pool: Gaps) -> Threshold {
        Threshold {
            settings,
            own: Gaps::default(),
            pool,
            floor: settings.lowest,
        }
    }

    /// Learns one gap of this answer.
    pub fn learn(&mut self, gap: Duration) {
        // With equal bounds there is nothing to learn, and models keep a smaller state.
        if self.settings.lowest == self.settings.highest {
            return;
        }
        self.own.learn(gap);
    }

    /// Learns that the engine was suspected after a silence and then went on: it pauses at times, and
    /// each further wrong suspicion would cost another prefill.
    pub fn excuse(&mut self, silence: Duration) {
        let floor = self.floor.max(silence * self.settings.excuse);
        self.floor = floor.min(self.settings.highest);
    }

    /// Silence after which the engine is suspected.
    pub fn limit(&self) -> Duration {
        let settings = &self.settings;
        let own = self.own.limit(settings);
        let limit = if self.own.count() >= ENOUGH {
            own
        } else if self.pool.count() > 0 {
            own.max(self.pool.limit(settings))
        } else {
            settings.highest
        };
        limit.clamp(self.floor, settings.highest)
    }

    /// Lower bound of [`Threshold::limit`].
    pub fn lowest(&self) -> Duration {
        self.settings.lowest
    }

    /// Upper bound of [`Threshold::limit`].
    pub fn highest(&self) -> Duration {
        self.settings.highest
    }
}
