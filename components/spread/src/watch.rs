//! Long-polling watch of a reader on the store.
//!
//! Failures that this handles: the store is unavailable, slow, or has compacted the requested
//! revision; or a pending watch never answers, because a device between the two ends lost the
//! connection's state, while new connections work. The watch requests an answer within [`MAX_WAIT`]
//! in any case. A call that is silent for another [`RESPONSE_GRACE`] is cancelled and repeated, so
//! a change is delayed by at most the sum of both. The wait is randomized for each call to keep the
//! readers of a fleet out of phase: the first of them then receives a change long before the last.
//! Failures are retried with exponential backoff, also randomized, to spread the readers' retries.

use std::time::Duration;

use names::{
    Clock,
    Revision, //
};
use rand::{
    Rng,
    RngExt, //
};

/// Longest wait that a watch requests from the store; the shortest is half of it.
pub const MAX_WAIT: Duration = Duration::from_secs(6);

/// Time beyond the requested wait after which a call counts as silent.
pub const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Backoff after a first failure; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Limit on the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Request to the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read all documents; the response has the revision to watch from.
    Read {
        /// Id of this call, to be repeated in its response.
        call: u64,
    },
    /// Wait for changes after a revision.
    Watch {
        /// Id of this call, to be repeated in its response.
        call: u64,
        /// Revision after which to report changes.
        after: Revision,
        /// Time after which the store responds even without changes.
        wait: Duration,
    },
    /// Cancel a call, and close its connection instead of reusing it.
    Stop {
        /// Id of the call.
        call: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Disabled, after the first read.
    Idle,
    /// A call is in flight, and times out at `until`.
    InFlight { call: u64, until: Clock },
    /// The next call starts at `until`.
    Scheduled { until: Clock },
}

/// Sequence of reads and watches of one process.
#[derive(Clone, Debug)]
pub struct Watch {
    state: State,
    calls: u64,
    /// Revision that the store was read up to; `None` before the first read.
    after: Option<Revision>,
    failures: u32,
    /// Whether to watch after the first read.
    enabled: bool,
}

impl Watch {
    /// Creates a watch that reads the store once; [`Watch::set_enabled`] makes it continue.
    pub fn new(now: Clock) -> Self {
        Self {
            state: State::Scheduled { until: now },
            calls: 0,
            after: None,
            failures: 0,
            enabled: false,
        }
    }

    /// Sets whether this process watches the store. Returns the call to cancel, if any.
    pub fn set_enabled(&mut self, enabled: bool, now: Clock) -> Option<Call> {
        if enabled == self.enabled {
            return None;
        }
        self.enabled = enabled;
        match self.state {
            State::Idle if enabled => {
                self.state = State::Scheduled { until: now };
                None
            }
            State::InFlight { call, .. } if !enabled && self.after.is_some() => {
                self.state = State::Idle;
                Some(Call::Stop { call })
            }
            State::Scheduled { .. } if !enabled && self.after.is_some() => {
                self.state = State::Idle;
                None
            }
            State::Idle | State::InFlight { .. } | State::Scheduled { .. } => None,
        }
    }

    /// Restarts with a full read, since this process may have missed changes. Returns the call to
    /// cancel, if any.
    pub fn restart(&mut self, now: Clock) -> Option<Call> {
        let stop = match self.state {
            State::InFlight { call, .. } => Some(Call::Stop { call }),
            State::Idle | State::Scheduled { .. } => None,
        };
        self.after = None;
        self.failures = 0;
        self.state = State::Scheduled { until: now };
        stop
    }

    /// Records a response; `after` is the revision to continue from. Returns `false`, and changes
    /// nothing, if the call was cancelled before.
    pub fn answered(&mut self, call: u64, after: Revision, now: Clock) -> bool {
        if !self.is_in_flight(call) {
            return false;
        }
        self.failures = 0;
        self.after = Some(self.after.unwrap_or(0).max(after));
        self.state = match self.enabled {
            true => State::Scheduled { until: now },
            false => State::Idle,
        };
        true
    }

    /// Records that the store has compacted the revision to continue from; the next call is a full
    /// read.
    pub fn compacted(&mut self, call: u64, now: Clock) {
        if self.is_in_flight(call) {
            self.after = None;
            self.state = State::Scheduled { until: now };
        }
    }

    /// Records that a call failed. Returns `false`, and changes nothing, if the call was cancelled
    /// before.
    pub fn failed(&mut self, call: u64, now: Clock, rng: &mut impl Rng) -> bool {
        if !self.is_in_flight(call) {
            return false;
        }
        self.back_off(now, rng);
        true
    }

    /// Advances time. Returns the calls to cancel and to start; a cancelled call timed out.
    pub fn tick(&mut self, now: Clock, rng: &mut impl Rng) -> Vec<Call> {
        let mut calls = Vec::new();
        if let State::InFlight { call, until } = self.state
            && until <= now
        {
            calls.push(Call::Stop { call });
            // The first retry follows at once, as new connections work when an old one has lost its
            // state.
            self.failures += 1;
            self.state = match self.failures {
                1 => State::Scheduled { until: now },
                _ => State::Scheduled {
                    until: now + backoff(self.failures, rng),
                },
            };
        }
        if let State::Scheduled { until } = self.state
            && until <= now
        {
            calls.push(self.start_call(now, rng));
        }
        calls
    }

    /// Returns whether the last calls failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    fn is_in_flight(&self, call: u64) -> bool {
        matches!(self.state, State::InFlight { call: current, .. } if current == call)
    }

    fn back_off(&mut self, now: Clock, rng: &mut impl Rng) {
        self.failures += 1;
        self.state = State::Scheduled {
            until: now + backoff(self.failures, rng),
        };
    }

    fn start_call(&mut self, now: Clock, rng: &mut impl Rng) -> Call {
        self.calls += 1;
        let call = self.calls;
        let wait = match self.after {
            Some(_) => MAX_WAIT.mul_f64(rng.random_range(0.5..1.0)),
            None => Duration::ZERO,
        };
        let until = now + wait + RESPONSE_GRACE;
        self.state = State::InFlight { call, until };
        match self.after {
            Some(after) => Call::Watch { call, after, wait },
            None => Call::Read { call },
        }
    }
}

fn backoff(failures: u32, rng: &mut impl Rng) -> Duration {
    let limit = (MIN_BACKOFF * 2u32.saturating_pow(failures.min(10))).min(MAX_BACKOFF);
    limit.mul_f64(rng.random_range(0.5..1.0))
}
