//! Concurrency limit and completion rate.

use std::time::Duration;

use names::Clock;

use crate::Settings;

/// Weight of a new measurement in the mean time, after the first few.
const MIN_EWMA_WEIGHT: f64 = 0.05;

/// Interval at which the limit adapts to late requests.
const ADAPTATION_INTERVAL: Duration = Duration::from_secs(1);

/// Number of answered requests in an interval below which the limit is not adapted.
const MIN_REQUESTS_PER_INTERVAL: u32 = 10;

/// Factor by which late requests lower the limit, and the share of its maximum that it regains in
/// an interval without them.
const LIMIT_STEPS: (f64, f64) = (0.9, 0.02);

/// Concurrency limit. The capacity that replicas report bounds it from above. Times to the first
/// output above their target lower it, as they reveal queues that reports don't show.
#[derive(Clone, Debug)]
pub(crate) struct Concurrency {
    max: f64,
    factor: f64,
    mean_time_s: f64,
    /// Finished requests that the mean includes.
    finished: u32,
    adapted_at: Clock,
    answered: u32,
    late: u32,
}

impl Concurrency {
    pub(crate) fn new(settings: &Settings) -> Concurrency {
        Concurrency {
            max: f64::from(settings.initial_limit),
            factor: 1.0,
            mean_time_s: settings.initial_time.as_secs_f64(),
            finished: 0,
            adapted_at: Clock::ZERO,
            answered: 0,
            late: 0,
        }
    }

    pub(crate) fn set_max(&mut self, max: f64) {
        self.max = max.max(1.0);
    }

    /// Records a finished request.
    pub(crate) fn finished(
        &mut self,
        time: Duration,
        first_output: Option<Duration>,
        target: Duration,
    ) {
        // Early measurements weigh more, so that they quickly replace the assumed time.
        self.finished = self.finished.saturating_add(1);
        let weight = MIN_EWMA_WEIGHT.max(1.0 / f64::from(self.finished.saturating_add(1)));
        self.mean_time_s = self.mean_time_s * (1.0 - weight) + time.as_secs_f64() * weight;
        let Some(first_output) = first_output else {
            return;
        };
        self.answered += 1;
        if first_output > target {
            self.late += 1;
        }
    }

    pub(crate) fn tick(&mut self, now: Clock, settings: &Settings) {
        if now.saturating_sub(self.adapted_at) < ADAPTATION_INTERVAL
            || self.answered < MIN_REQUESTS_PER_INTERVAL
        {
            return;
        }
        let late = f64::from(self.late) / f64::from(self.answered);
        self.factor = if late > settings.max_late_share {
            (self.factor * LIMIT_STEPS.0).max(settings.min_concurrency_factor)
        } else {
            (self.factor + LIMIT_STEPS.1).min(1.0)
        };
        self.adapted_at = now;
        self.answered = 0;
        self.late = 0;
    }

    pub(crate) fn limit(&self) -> f64 {
        (self.max * self.factor).max(1.0)
    }

    /// Returns the requests that finish per second at the limit, by Little's law.
    pub(crate) fn rate(&self) -> f64 {
        self.limit() / self.mean_time_s.max(0.001)
    }
}
