//! Whether a stream can still be complete in time.
//!
//! The load that it answers: all entries fail at once, and their callers come back together, seconds
//! before their deadlines, for the rest of their answers. A prompt that is read for an answer which
//! can't be complete in time delays all that runs beside it. So the least time that the rest takes
//! is compared with the time that is left, and the request is refused when it is longer. The least
//! and not the usual time: whoever can be served must not be refused.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use names::Route;

/// Answers that a route is judged by: the latest ones, as engines and questions change.
const RECENT: usize = 32;

/// Answers below which nothing is said of a route.
const ENOUGH: usize = 8;

/// Part of the answers that may be shorter, or come quicker, than what is expected at least.
const LEAST: f64 = 0.1;

/// An answer that came whole from its first event on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its events.
    pub events: u64,
    /// Time from the first event to the end.
    pub time: Duration,
}

/// What the latest answers say of those to come, by route.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    routes: HashMap<Route, VecDeque<Answer>>,
}

impl Forecast {
    /// Learns from an answer.
    pub fn record(&mut self, route: &Route, answer: Answer) {
        if answer.events == 0 {
            return;
        }
        let answers = self.routes.entry(route.clone()).or_default();
        if answers.len() == RECENT {
            answers.pop_front();
        }
        answers.push_back(answer);
    }

    /// Least time from the next event to the end of an answer of which the caller has the first
    /// `after` events. `None` while too little is known.
    pub fn remaining_time(&self, route: &Route, after: u64) -> Option<Duration> {
        let answers = self.routes.get(route)?;
        if answers.len() < ENOUGH {
            return None;
        }
        let least = (answers.len() as f64 * LEAST) as usize;
        let mut events: Vec<u64> = answers.iter().map(|answer| answer.events).collect();
        let mut paces: Vec<Duration> = answers.iter().map(Answer::pace).collect();
        let (_, events, _) = events.select_nth_unstable(least);
        let (_, pace, _) = paces.select_nth_unstable(least);
        let left = u32::try_from(events.saturating_sub(after)).unwrap_or(u32::MAX);
        Some(pace.saturating_mul(left))
    }
}

impl Answer {
    fn pace(&self) -> Duration {
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        self.time / events.max(1)
    }
}
