//! Detects silent streams: when to check their server, and when to treat them as lost.
//!
//! The typical failure is a whole data centre of engines that stops responding without closing
//! connections, while other engines pause for a moment as they process a long prompt. Waiting long
//! delays the answer; moving to another server at once costs a prefill. So there are two limits. At
//! the first one the server is checked: by a new connection, which a live server accepts within a
//! round trip, or, for an older run without an event, by a query for its running requests. At the
//! second one the run counts as lost whatever the server responds, since a connection can fail
//! while its server is alive.

use std::time::Duration;

use crate::threshold::{
    Gaps,
    Settings,
    Threshold, //
};

/// Fraction of the maximum gap at which a started stream is checked at the earliest.
const EARLIEST_CHECK_FRACTION: f64 = 0.25;

/// Fraction of the maximum gap at which a started stream is checked at the latest.
const LATEST_CHECK_FRACTION: f64 = 0.5;

/// Fraction of the maximum gap after which a run counts as lost; the rest is reserved for the next
/// run's first event.
const LOST_FRACTION: f64 = 0.75;

/// Maximum gap of routes that configure none.
const DEFAULT_MAX_GAP: Duration = Duration::from_secs(2);

/// Fraction of the first-event objective at which a run without an event is checked at the
/// earliest.
const FIRST_CHECK_FRACTION: f64 = 0.25;

/// Fraction of the first-event objective after which a run without an event counts as lost though
/// its server is alive. A prefill elsewhere costs more than a late answer earns, so the limit
/// targets only a connection that failed while its server is alive.
const FIRST_LOST_FRACTION: f64 = 1.2;

/// Interval between checks of the same silence in a started stream.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a run is kept when no other one can replace it, before that is asked again.
const KEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of times that the interval is doubled in one silence.
const MAX_KEEP_DOUBLINGS: u32 = 3;

/// Interval between queries about a run without an event, longer because each query has a cost.
const QUERY_INTERVAL: Duration = Duration::from_millis(1000);

/// Factor on the time that another server would need, reserved for it.
const RELOCATION_RESERVE_FACTOR: f64 = 1.5;

/// Factor on the expected time from which a server counts as much slower.
const SLOWER_FACTOR: f64 = 2.0;

/// Minimum age of a run that must appear in its server's report of running requests, which is some
/// hundred milliseconds old.
pub const MIN_REPORTED_RUN_AGE: Duration = Duration::from_millis(1000);

/// Factor on the expected time of the first event after which a run is checked.
const EXPECTED_CHECK_FACTOR: f64 = 1.8;

/// Reaction to a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice {
    /// Wait until this time since the last sign of life.
    Wait(Duration),
    /// Open a new connection to the server.
    Connect,
    /// Query the server's running requests.
    QueryServer,
    /// Treat the run as lost.
    Lost,
    /// Restart on another server: this one is much slower than expected, and another one can still
    /// send the first event in time.
    Relocate,
}

/// Expected timing of a run before its first event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expectation {
    /// Usual time to the first event under the server's load; 0 if unknown.
    pub here: Duration,
    /// Usual time to the first event on a server with no other prompt to process.
    pub elsewhere: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
}

/// Silence detector of one run.
#[derive(Clone, Debug)]
pub struct Detector {
    threshold: Threshold,
    max_gap: Duration,
    /// Silence at which a run without an event is checked.
    first_check: Duration,
    /// Silence at which a run without an event moves to a faster server.
    relocate_at: Option<Duration>,
    objective: Duration,
    started: bool,
    /// Silence at which the next check is due, after one that found the server alive.
    next_check: Duration,
    /// Whether another stream found the server or its data centre unreachable since the last sign
    /// of life.
    suspected: bool,
    /// Silence up to which the run is kept, and how often it was in this silence.
    kept_until: Duration,
    times_kept: u32,
}

impl Detector {
    /// Creates the detector of a run whose first event is due within `objective` and whose gaps
    /// must stay under `max_gap`. `expected` is `None` if the caller already has events and waits
    /// for the next one.
    pub fn new(
        objective: Duration,
        max_gap: Option<Duration>,
        pool: Gaps,
        expected: Option<Expectation>,
    ) -> Detector {
        let max_gap = max_gap.unwrap_or(DEFAULT_MAX_GAP);
        let settings = Settings {
            lowest: max_gap.mul_f64(EARLIEST_CHECK_FRACTION),
            highest: max_gap.mul_f64(LATEST_CHECK_FRACTION),
            ..Settings::default()
        };
        let first_check = match expected {
            Some(expected) => {
                let earliest = objective.mul_f64(FIRST_CHECK_FRACTION);
                expected
                    .here
                    .mul_f64(EXPECTED_CHECK_FACTOR)
                    .clamp(earliest, objective)
            }
            None => max_gap.mul_f64(EARLIEST_CHECK_FRACTION),
        };
        Detector {
            threshold: Threshold::new(settings, pool),
            max_gap,
            first_check,
            relocate_at: expected.and_then(|expected| relocate_at(objective, expected)),
            objective,
            started: false,
            next_check: Duration::ZERO,
            suspected: false,
            kept_until: Duration::ZERO,
            times_kept: 0,
        }
    }

    /// Records that another stream found the server or its data centre unreachable. A run without
    /// an event has no observed gaps, so without this it would be checked seconds later than the
    /// other streams there, too late for a prefill elsewhere.
    pub fn suspect(&mut self) {
        self.suspected = true;
    }

    /// Records an event, `gap` after the previous one or the run's start.
    pub fn record_event(&mut self, gap: Duration) {
        if self.started {
            self.threshold.record(gap);
        }
        self.started = true;
        self.next_check = Duration::ZERO;
        self.suspected = false;
        self.kept_until = Duration::ZERO;
        self.times_kept = 0;
    }

    /// Returns whether the run was kept in this silence.
    pub fn is_kept(&self) -> bool {
        self.times_kept > 0
    }

    /// Keeps the run for a while at this silence, as nothing can replace it now.
    pub fn keep(&mut self, silence: Duration) {
        let doublings = self.times_kept.min(MAX_KEEP_DOUBLINGS);
        self.kept_until = silence + KEEP_INTERVAL * (1 << doublings);
        self.times_kept += 1;
        self.suspected = false;
    }

    /// Returns whether a first event is in time that another server is expected to send after
    /// `expected`, for a request that has waited since its arrival.
    pub fn is_in_time(&self, waited: Duration, expected: Duration) -> bool {
        waited + expected <= self.objective
    }

    /// Keeps the run at its server however slow it is, as no other one is expected to be faster.
    pub fn stay(&mut self) {
        self.relocate_at = None;
    }

    /// Records that the server was alive at this silence.
    pub fn record_alive(&mut self, silence: Duration) {
        self.suspected = false;
        let recent = self.started || silence < MIN_REPORTED_RUN_AGE;
        self.next_check = silence
            + if recent {
                CHECK_INTERVAL
            } else {
                QUERY_INTERVAL
            };
    }

    /// Returns the silence at which the run counts as lost.
    pub fn limit(&self) -> Duration {
        match self.started {
            true => self.max_gap.mul_f64(LOST_FRACTION),
            false => self.objective.mul_f64(FIRST_LOST_FRACTION),
        }
    }

    /// Returns the reaction to a silence.
    pub fn advise(&self, silence: Duration) -> Advice {
        if silence < self.kept_until {
            return Advice::Wait(self.kept_until);
        }
        let lost = self.limit();
        if silence >= lost {
            return Advice::Lost;
        }
        let relocate_at = self.relocate_at.filter(|_| !self.started);
        if relocate_at.is_some_and(|relocate_at| silence >= relocate_at) {
            return Advice::Relocate;
        }
        if self.suspected {
            return Advice::Connect;
        }
        let lost = relocate_at.map_or(lost, |relocate_at| relocate_at.min(lost));
        let check_at = match self.started {
            true => self.threshold.limit(),
            false => self.first_check,
        };
        let check_at = check_at.max(self.next_check);
        if silence >= check_at {
            return match self.started || silence < MIN_REPORTED_RUN_AGE {
                true => Advice::Connect,
                false => Advice::QueryServer,
            };
        }
        Advice::Wait(check_at.min(lost))
    }
}

/// Returns when a run without an event moves to a faster server: as late as another one can still
/// be in time. `None` if the run isn't much slower than expected by then.
fn relocate_at(objective: Duration, expected: Expectation) -> Option<Duration> {
    if expected.here.is_zero() || expected.elsewhere.is_zero() {
        return None;
    }
    let needed = expected.waited + expected.elsewhere.mul_f64(RELOCATION_RESERVE_FACTOR);
    let latest = objective.checked_sub(needed)?;
    (latest >= expected.here.mul_f64(SLOWER_FACTOR)).then_some(latest)
}
