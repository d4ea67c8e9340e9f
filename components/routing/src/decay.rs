//! A sum that forgets.

use std::time::Duration;

use names::Clock;

/// A sum whose parts halve with a half-life that is given at each use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decay {
    value: f64,
    at: Clock,
}

impl Decay {
    /// The sum as it stands.
    pub(crate) fn get(self, now: Clock, half: Duration) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let half = half.as_secs_f64().max(f64::MIN_POSITIVE);
        self.value * (-passed / half).exp2()
    }

    pub(crate) fn add(&mut self, now: Clock, half: Duration, amount: f64) {
        self.value = self.get(now, half) + amount;
        self.at = self.at.max(now);
    }
}
