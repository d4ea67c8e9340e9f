//! The waiting watch of a reader.
//!
//! What can go wrong: the store is out, slow, or has forgotten the revision asked for; or a waiting
//! watch never answers, because something between the two ends lost track of the connection, while
//! new connections work. The watch asks the store to answer after [`WAIT`] at most in any case; one
//! that is silent for [`GRACE`] longer is given up and a new one begun, so that a change is late by
//! the sum of both at most. The wait differs from call to call, so that the readers of a fleet get
//! out of step: then the first of them hears of the change long before the last. Failures are retried with growing pauses, scattered so that the readers of a fleet don't
//! come back all at once.

use std::time::Duration;

use names::{
    Clock,
    Revision, //
};
use rand::{
    Rng,
    RngExt, //
};

/// Longest time that the store is asked to let a watch wait; the shortest is half of it.
pub const WAIT: Duration = Duration::from_secs(6);

/// How much longer than it was asked to a call may take before it counts as silent.
pub const GRACE: Duration = Duration::from_secs(2);

/// Shortest pause after a failure; it doubles with each.
const PAUSE: Duration = Duration::from_millis(250);

/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// What the watch asks its driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read all documents; the answer brings the revision to watch from.
    Read {
        /// Number of this call; its answer must carry it.
        call: u64,
    },
    /// Wait for changes after a revision.
    Watch {
        /// Number of this call; its answer must carry it.
        call: u64,
        /// Revision after which changes are wanted.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
    /// Give up a call, and close its connection rather than use it again.
    Stop {
        /// Number of the call.
        call: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is wanted.
    Idle,
    /// A call waits for its answer, which must come before a time.
    Waiting { call: u64, until: Clock },
    /// The next call begins at a time.
    Paused { until: Clock },
}

/// The reads and waiting watches of one process.
#[derive(Clone, Debug)]
pub struct Watch {
    state: State,
    calls: u64,
    /// Revision up to which the store was read; unknown before the first read.
    after: Option<Revision>,
    failures: u32,
    /// Keep watching after the first read.
    wanted: bool,
}

impl Watch {
    /// Reads the store once; [`Watch::want`] makes it stay.
    pub fn new(now: Clock) -> Self {
        Self {
            state: State::Paused { until: now },
            calls: 0,
            after: None,
            failures: 0,
            wanted: false,
        }
    }

    /// Says whether this process shall watch.
    pub fn want(&mut self, wanted: bool, now: Clock) -> Option<Call> {
        if wanted == self.wanted {
            return None;
        }
        self.wanted = wanted;
        match self.state {
            State::Idle if wanted => {
                self.state = State::Paused { until: now };
                None
            }
            State::Waiting { call, .. } if !wanted && self.after.is_some() => {
                self.state = State::Idle;
                Some(Call::Stop { call })
            }
            State::Paused { .. } if !wanted && self.after.is_some() => {
                self.state = State::Idle;
                None
            }
            State::Idle | State::Waiting { .. } | State::Paused { .. } => None,
        }
    }

    /// Reads the store afresh, since this process may have missed something.
    pub fn restart(&mut self, now: Clock) -> Option<Call> {
        let stop = match self.state {
            State::Waiting { call, .. } => Some(Call::Stop { call }),
            State::Idle | State::Paused { .. } => None,
        };
        self.after = None;
        self.failures = 0;
        self.state = State::Paused { until: now };
        stop
    }

    /// The store answered a call; `after` is the revision to go on from. Answers to a call that was
    /// given up change nothing, and `false` says so.
    pub fn answered(&mut self, call: u64, after: Revision, now: Clock) -> bool {
        if !self.waits_for(call) {
            return false;
        }
        self.failures = 0;
        self.after = Some(self.after.unwrap_or(0).max(after));
        self.state = match self.wanted {
            true => State::Paused { until: now },
            false => State::Idle,
        };
        true
    }

    /// The store has forgotten the revision that the watch went on from.
    pub fn forgotten(&mut self, call: u64, now: Clock) {
        if self.waits_for(call) {
            self.after = None;
            self.state = State::Paused { until: now };
        }
    }

    /// A call failed.
    pub fn failed(&mut self, call: u64, now: Clock, rng: &mut impl Rng) {
        if self.waits_for(call) {
            self.pause(now, rng);
        }
    }

    /// Time passed; tells also whether a call was given up as silent.
    pub fn tick(&mut self, now: Clock, rng: &mut impl Rng) -> Vec<Call> {
        let mut calls = Vec::new();
        if let State::Waiting { call, until } = self.state
            && until <= now
        {
            calls.push(Call::Stop { call });
            // The next one begins at once: new connections work when an old one went silent.
            self.failures += 1;
            self.state = match self.failures {
                1 => State::Paused { until: now },
                _ => State::Paused {
                    until: now + pause(self.failures, rng),
                },
            };
        }
        if let State::Paused { until } = self.state
            && until <= now
        {
            calls.push(self.begin(now, rng));
        }
        calls
    }

    /// Tells whether the store failed to answer lately.
    pub fn fails(&self) -> bool {
        self.failures > 0
    }

    fn waits_for(&self, call: u64) -> bool {
        matches!(self.state, State::Waiting { call: current, .. } if current == call)
    }

    fn pause(&mut self, now: Clock, rng: &mut impl Rng) {
        self.failures += 1;
        self.state = State::Paused {
            until: now + pause(self.failures, rng),
        };
    }

    fn begin(&mut self, now: Clock, rng: &mut impl Rng) -> Call {
        self.calls += 1;
        let call = self.calls;
        let wait = match self.after {
            Some(_) => WAIT.mul_f64(rng.random_range(0.5..1.0)),
            None => Duration::ZERO,
        };
        let until = now + wait + GRACE;
        self.state = State::Waiting { call, until };
        match self.after {
            Some(after) => Call::Watch { call, after, wait },
            None => Call::Read { call },
        }
    }
}

fn pause(failures: u32, rng: &mut impl Rng) -> Duration {
    let longest = (PAUSE * 2u32.saturating_pow(failures.min(10))).min(MAX_PAUSE);
    longest.mul_f64(rng.random_range(0.5..1.0))
}
