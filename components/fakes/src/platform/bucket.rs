//! Rate limiting by a token bucket that holds one second's worth of requests.

use tokio::time::Instant;

/// Token bucket; starts full.
#[derive(Default)]
pub(super) struct Bucket {
    /// Remaining requests and the time of the last update; `None` until a rate is set.
    remaining: Option<(f64, Instant)>,
}

impl Bucket {
    /// Admits one request if `rate`, in requests per second, allows it; without a rate there is no
    /// limit. Returns the seconds to wait if the request exceeds the rate.
    pub(super) fn limit(&mut self, rate: Option<f64>, now: Instant) -> Option<u64> {
        let Some(rate) = rate else {
            self.remaining = None;
            return None;
        };
        let (remaining, since) = self.remaining.unwrap_or((rate, now));
        let elapsed = now.duration_since(since).as_secs_f64();
        let remaining = (remaining + elapsed * rate).min(rate);
        if remaining < 1.0 {
            self.remaining = Some((remaining, now));
            return Some(1);
        }
        self.remaining = Some((remaining - 1.0, now));
        None
    }
}
