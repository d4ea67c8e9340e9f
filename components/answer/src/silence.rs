//! When a stream that says nothing is looked into, and when it is taken for lost.
//!
//! The load that it answers: whole data centres of engines go dark without a word, while others
//! pause for a moment as they read a long prompt. Waiting long makes the answer late; leaving at
//! once costs a prompt. So there are two limits. At the first one the server is looked at: by a new
//! connection, which a living one opens within a round trip, or, while the prompt should have been
//! read by now, by asking what it runs. At the second one the run is taken for lost whatever the
//! server says, since a connection can die alone.

use std::time::Duration;

use crate::threshold::{
    Gaps,
    Settings,
    Threshold, //
};

/// Part of the longest gap in time at which a stream that has begun is looked into at the earliest.
const SOON: f64 = 0.25;

/// The same at the latest.
const LATEST: f64 = 0.5;

/// Part of the longest gap in time after which a run is taken for lost: the rest is for the next
/// run to give its first event.
const LOST: f64 = 0.75;

/// Longest gap where the route names none.
const GAP: Duration = Duration::from_secs(2);

/// Part of the objective for the first event at which a run without one is looked into.
const FIRST: f64 = 0.25;

/// Part of the objective after which a run without an event is taken for lost, though its server is
/// alive: reading the prompt anew elsewhere costs more than an answer that is late already earns,
/// so that only a connection that died alone is meant.
const FIRST_LOST: f64 = 1.2;

/// Time between two looks into the same silence of a stream that has begun.
const PACE: Duration = Duration::from_millis(250);

/// Time between two inquiries after a run without an event: each is paid for.
const PACE_FIRST: Duration = Duration::from_millis(1000);

/// Multiple of the time that another server would need which is kept free for it.
const ELSEWHERE: f64 = 1.5;

/// Multiple of the expected time from which on a server counts as much slower.
const SLOWER: f64 = 2.0;

/// Age from which on a run must stand in what its server says of its work, which is some hundred
/// milliseconds old.
const REPORTED: Duration = Duration::from_millis(1000);

/// Multiple of the time that a first event was expected to take after which a run is looked into.
const EXPECTED: f64 = 1.8;

/// What to do about a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice {
    /// Wait until a time since the last sign of life.
    Wait(Duration),
    /// Ask the server for a new connection.
    Connect,
    /// Ask the server what it runs.
    QueryServer,
    /// Take the run for lost.
    Lost,
    /// Begin anew elsewhere: the server is much slower than expected, and another one can still
    /// give the first event in time.
    Relocate,
}

/// What is expected of a run before its first event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expectation {
    /// Usual time to the first event under the server's load; 0 when nothing is known.
    pub here: Duration,
    /// The same at a server that has nothing else to read.
    pub elsewhere: Duration,
    /// Time since the request came.
    pub waited: Duration,
}

/// The silence of one run.
#[derive(Clone, Debug)]
pub struct Detector {
    threshold: Threshold,
    gap: Duration,
    /// Silence at which a run without an event is looked into.
    first: Duration,
    /// Silence at which a run without an event is given up for a quicker server.
    leave: Option<Duration>,
    objective: Duration,
    begun: bool,
    /// Silence at which the next look is due, after one that found the server alive.
    checked: Duration,
    /// Somebody else found the server or its data centre dark since the last sign of life.
    doubted: bool,
}

impl Detector {
    /// A run whose first event is due within `objective` and whose gaps must stay under `gap`.
    /// `expected` is `None` when the caller has events already and waits for the next one.
    pub fn new(
        objective: Duration,
        gap: Option<Duration>,
        usual: Gaps,
        expected: Option<Expectation>,
    ) -> Detector {
        let gap = gap.unwrap_or(GAP);
        let settings = Settings {
            lowest: gap.mul_f64(SOON),
            highest: gap.mul_f64(LATEST),
            ..Settings::default()
        };
        let first = match expected {
            Some(expected) => {
                let soonest = objective.mul_f64(FIRST);
                expected.here.mul_f64(EXPECTED).clamp(soonest, objective)
            }
            None => gap.mul_f64(SOON),
        };
        Detector {
            threshold: Threshold::new(settings, usual),
            gap,
            first,
            leave: expected.and_then(|expected| leave(objective, expected)),
            objective,
            begun: false,
            checked: Duration::ZERO,
            doubted: false,
        }
    }

    /// Notes that somebody else found the server or its data centre dark. Before its first event a
    /// run gives no rhythm to go by, so that it would be looked into seconds later than the others
    /// there, and its prompt be read elsewhere too late.
    pub fn suspect(&mut self) {
        self.doubted = true;
    }

    /// Notes an event, `gap` after the one before it or after the run's start.
    pub fn record_event(&mut self, gap: Duration) {
        if self.begun {
            self.threshold.learn(gap);
        }
        self.begun = true;
        self.checked = Duration::ZERO;
        self.doubted = false;
    }

    /// Notes that the server was alive at a silence.
    pub fn record_alive(&mut self, silence: Duration) {
        self.doubted = false;
        let soon = self.begun || silence < REPORTED;
        self.checked = silence + if soon { PACE } else { PACE_FIRST };
    }

    /// Silence at which the run is taken for lost.
    pub fn limit(&self) -> Duration {
        match self.begun {
            true => self.gap.mul_f64(LOST),
            false => self.objective.mul_f64(FIRST_LOST),
        }
    }

    /// What to do after a silence.
    pub fn advise(&self, silence: Duration) -> Advice {
        let lost = self.limit();
        if silence >= lost {
            return Advice::Lost;
        }
        let leave = self.leave.filter(|_| !self.begun);
        if leave.is_some_and(|leave| silence >= leave) {
            return Advice::Relocate;
        }
        if self.doubted {
            return Advice::Connect;
        }
        let lost = leave.map_or(lost, |leave| leave.min(lost));
        let look = match self.begun {
            true => self.threshold.limit(),
            false => self.first,
        };
        let look = look.max(self.checked);
        if silence >= look {
            return match self.begun || silence < REPORTED {
                true => Advice::Connect,
                false => Advice::QueryServer,
            };
        }
        Advice::Wait(look.min(lost))
    }
}

/// When a run without an event is given up for a quicker server: as late as another one can still
/// be in time. Not at all when it isn't much slower than expected by then.
fn leave(objective: Duration, expected: Expectation) -> Option<Duration> {
    if expected.here.is_zero() || expected.elsewhere.is_zero() {
        return None;
    }
    let needed = expected.waited + expected.elsewhere.mul_f64(ELSEWHERE);
    let latest = objective.checked_sub(needed)?;
    (latest >= expected.here.mul_f64(SLOWER)).then_some(latest)
}
