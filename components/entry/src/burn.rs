//! Counts answers for the report on service-level burn.

use std::{
    sync::Mutex,
    time::Duration, //
};

use environment::Document;
use names::Clock;
use report::{
    Burn,
    Counters,
    burn::{
        Level,
        Request, //
    }, //
};
use tokio::time::Instant;

/// Request counters of this entry.
#[derive(Default)]
pub(crate) struct BurnCounters(Mutex<Counters>);

impl BurnCounters {
    /// Replaces the service levels by those of a document.
    pub(crate) fn set_levels(&self, document: &Document) {
        let levels = document.levels.iter().map(|level| {
            let target = Level {
                first: level.first,
                between: level.between,
                objective: level.objective,
            };
            (level.service.clone(), target)
        });
        let mut counters = self.0.lock().expect("no panic while held");
        counters.set_levels(levels.collect());
    }

    /// Counts a request.
    pub(crate) fn count(&self, request: &Request<'_>, now: Clock) {
        self.0
            .lock()
            .expect("no panic while held")
            .count(request, now);
    }

    /// Returns the report at time `now`.
    pub(crate) fn report(&self, now: Clock) -> Burn {
        self.0.lock().expect("no panic while held").report(now)
    }
}

/// Measures the token times of one answer.
#[derive(Default)]
pub(crate) struct Timer {
    first: Option<(Duration, Instant)>,
}

impl Timer {
    /// Records that tokens were received, for an answer that was started at `started`; only the
    /// first call has an effect.
    pub(crate) fn record_tokens(&mut self, started: Instant) {
        if self.first.is_none() {
            self.first = Some((started.elapsed(), Instant::now()));
        }
    }

    /// Returns the time to the first token and the mean time between tokens, for an answer that
    /// ends now with `count` tokens.
    pub(crate) fn times(&self, count: usize) -> (Option<Duration>, Option<Duration>) {
        let between = self.first.filter(|_| count > 1).map(|(_, at)| {
            let gaps = u32::try_from(count - 1).unwrap_or(u32::MAX);
            at.elapsed() / gaps
        });
        (self.first.map(|(first, _)| first), between)
    }
}
