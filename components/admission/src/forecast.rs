//! Estimates whether a stream can still complete in time.
//!
//! When all processes fail at once, their callers return together, seconds before their deadlines,
//! for the rest of their answers. Processing a prompt for an answer that can't complete in time
//! delays all other runs of the engine. The minimum time that the rest takes is therefore compared
//! with the time that remains, and the request is refused if it is longer. The estimate is the
//! minimum and not the mean, so that no request that can be served is refused.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use names::Route;

/// Number of recent answers that the estimate of a route uses, as engines and prompts change.
const MAX_ANSWERS_PER_ROUTE: usize = 32;

/// Number of answers below which a route has no estimate.
const MIN_ANSWERS_PER_ROUTE: usize = 8;

/// Share of the answers that may be shorter or faster than the estimated minimum.
const MINIMUM_QUANTILE: f64 = 0.1;

/// An answer that was received completely, from its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Number of events.
    pub events: u64,
    /// Time from the first event to the end.
    pub time: Duration,
}

/// Estimates from the most recent answers, by route.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    routes: HashMap<Route, VecDeque<Answer>>,
}

impl Forecast {
    /// Records an answer. Answers without events are ignored.
    pub fn record(&mut self, route: &Route, answer: Answer) {
        if answer.events == 0 {
            return;
        }
        let answers = self.routes.entry(route.clone()).or_default();
        if answers.len() == MAX_ANSWERS_PER_ROUTE {
            answers.pop_front();
        }
        answers.push_back(answer);
    }

    /// Returns the minimum time from the next event to the end of an answer of which the caller has
    /// the first `after` events, or `None` if the route has too few answers.
    pub fn remaining_time(&self, route: &Route, after: u64) -> Option<Duration> {
        let answers = self.routes.get(route)?;
        if answers.len() < MIN_ANSWERS_PER_ROUTE {
            return None;
        }
        let index = (answers.len() as f64 * MINIMUM_QUANTILE) as usize;
        let mut events: Vec<u64> = answers.iter().map(|answer| answer.events).collect();
        let mut event_times: Vec<Duration> = answers.iter().map(Answer::event_time).collect();
        let (_, events, _) = events.select_nth_unstable(index);
        let (_, event_time, _) = event_times.select_nth_unstable(index);
        let remaining = u32::try_from(events.saturating_sub(after)).unwrap_or(u32::MAX);
        Some(event_time.saturating_mul(remaining))
    }
}

impl Answer {
    fn event_time(&self) -> Duration {
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        self.time / events.max(1)
    }
}
