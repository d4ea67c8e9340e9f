//! An exponentially decaying sum.

use std::time::Duration;

use names::Clock;

/// A sum that decays exponentially. Each call passes the half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decay {
    value: f64,
    updated_at: Clock,
}

impl Decay {
    /// Returns the decayed sum at `now`.
    pub(crate) fn get(self, now: Clock, half_life: Duration) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let half_life = half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        self.value * (-elapsed / half_life).exp2()
    }

    pub(crate) fn add(&mut self, now: Clock, half_life: Duration, amount: f64) {
        self.value = self.get(now, half_life) + amount;
        self.updated_at = self.updated_at.max(now);
    }
}
