//! How much may run at once, and how fast it finishes.

use std::time::Duration;

use names::Clock;

use crate::Settings;

/// Weight of a new reading in the usual time, once there have been some.
const FRESH: f64 = 0.05;

/// How often the concurrency is adapted to late requests.
const TURN: Duration = Duration::from_secs(1);

/// Requests in a turn below which their times say too little.
const ENOUGH: u32 = 10;

/// Factor by which the concurrency is lowered, and the share that it regains in a turn.
const STEPS: (f64, f64) = (0.9, 0.02);

/// The concurrency limit. What replicas report bounds it from above; first-token times beyond
/// their target lower it, as they show queues that no report does.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    most: f64,
    factor: f64,
    usual: f64,
    /// Requests that went into the usual time.
    finished: u32,
    turn: Clock,
    begun: u32,
    late: u32,
}

impl Pace {
    pub(crate) fn new(settings: &Settings) -> Pace {
        Pace {
            most: f64::from(settings.initial_limit),
            factor: 1.0,
            usual: settings.initial_time.as_secs_f64(),
            finished: 0,
            turn: Clock::ZERO,
            begun: 0,
            late: 0,
        }
    }

    pub(crate) fn learn(&mut self, most: f64) {
        self.most = most.max(1.0);
    }

    /// Notes a finished request.
    pub(crate) fn finished(&mut self, time: Duration, first: Option<Duration>, target: Duration) {
        // The first ones count more, so that a wrong first guess is soon forgotten.
        self.finished = self.finished.saturating_add(1);
        let weight = FRESH.max(1.0 / f64::from(self.finished.saturating_add(1)));
        self.usual = self.usual * (1.0 - weight) + time.as_secs_f64() * weight;
        let Some(first) = first else {
            return;
        };
        self.begun += 1;
        if first > target {
            self.late += 1;
        }
    }

    pub(crate) fn tick(&mut self, now: Clock, settings: &Settings) {
        if now.saturating_sub(self.turn) < TURN || self.begun < ENOUGH {
            return;
        }
        let late = f64::from(self.late) / f64::from(self.begun);
        self.factor = if late > settings.max_late_share {
            (self.factor * STEPS.0).max(settings.min_factor)
        } else {
            (self.factor + STEPS.1).min(1.0)
        };
        self.turn = now;
        self.begun = 0;
        self.late = 0;
    }

    pub(crate) fn limit(&self) -> f64 {
        (self.most * self.factor).max(1.0)
    }

    /// Requests that finish in a second while the limit is used, by Little's law.
    pub(crate) fn rate(&self) -> f64 {
        self.limit() / self.usual.max(0.001)
    }
}
