//! Rates: a token bucket that holds one second's worth.

use tokio::time::Instant;

#[derive(Default)]
pub(super) struct Bucket {
    /// Calls that may still come, and when that was worked out.
    left: Option<(f64, Instant)>,
}

impl Bucket {
    /// Takes one call at this rate a second; else gives the seconds to wait.
    pub(super) fn refuse(&mut self, rate: Option<f64>, now: Instant) -> Option<u64> {
        let Some(rate) = rate else {
            self.left = None;
            return None;
        };
        let (left, since) = self.left.unwrap_or((rate, now));
        let passed = now.duration_since(since).as_secs_f64();
        let left = (left + passed * rate).min(rate);
        if left < 1.0 {
            self.left = Some((left, now));
            return Some(1);
        }
        self.left = Some((left - 1.0, now));
        None
    }
}
