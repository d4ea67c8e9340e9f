//! Causes of a lost run, and where its stream can continue.
//!
//! A processed prompt is worth seconds of engine time. It remains in the cache of the server that
//! broke the connection if that server is alive, and in the copy on another server if the copy is
//! complete. Both are tried before the prompt is processed again.

use std::time::Duration;

/// Cause of a lost run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The server closed the connection before the answer was complete.
    Closed,
    /// The connection was reset.
    Reset,
    /// The server accepts no new connection.
    Unreachable,
    /// The server is no longer registered and accepts no new connection, or another one has its
    /// address.
    Gone,
    /// The server is alive, but the run sends nothing.
    Silent,
    /// The server is alive but no longer has the run, or sent events that didn't arrive.
    Orphaned,
    /// The server is much slower than expected.
    Slow,
    /// The answer ended in the middle of an event.
    Truncated,
    /// The received data isn't a valid answer.
    Malformed,
    /// The received data exceeds a bound.
    Excess,
    /// An event is missing.
    Gap,
}

/// Age from which a run without an event may have processed part of its prompt.
pub const MIN_PREFILL_AGE: Duration = Duration::from_millis(250);

/// Where a stream can continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidate {
    /// The same server, whose cache holds the prompt if it is alive. A crashed server refuses the
    /// connection within a round trip.
    Same,
    /// The server with the copy of the run's memory.
    Copy,
    /// Any server.
    Any,
}

impl Loss {
    /// Returns where the stream can continue, in order of preference. `prompt_cached` states
    /// whether the same server may hold part of the prompt, which it doesn't after a run that was
    /// lost immediately.
    pub fn candidates(self, prompt_cached: bool) -> &'static [Candidate] {
        match self {
            _ if !prompt_cached => &[Candidate::Copy, Candidate::Any],
            Loss::Closed
            | Loss::Reset
            | Loss::Orphaned
            | Loss::Truncated
            | Loss::Malformed
            | Loss::Gap => &[Candidate::Same, Candidate::Copy, Candidate::Any],
            // The old run may still be active behind a connection that is dead on this side only.
            Loss::Unreachable | Loss::Gone | Loss::Silent | Loss::Slow => {
                &[Candidate::Copy, Candidate::Any]
            }
            // A server that sends without end to one run usually does so to the next.
            Loss::Excess => &[Candidate::Copy, Candidate::Any],
        }
    }

    /// Returns whether the loss shows that the server is unreachable. A broken connection doesn't:
    /// servers lose single answers, and only the next connection shows whether the server is gone.
    pub fn is_unreachable(self) -> bool {
        matches!(self, Loss::Unreachable | Loss::Gone)
    }

    /// Returns whether the run may still go on: only its silence tells of the loss.
    pub fn may_go_on(self) -> bool {
        matches!(self, Loss::Unreachable | Loss::Silent | Loss::Slow)
    }

    /// Returns whether the server broke the run off immediately, given the run's `age` and number
    /// of `events`. A server that does so to one run usually does so to the next.
    pub fn is_immediate(self, events: u64, age: Duration) -> bool {
        matches!(self, Loss::Closed | Loss::Reset) && events == 0 && age < MIN_PREFILL_AGE
    }

    /// Returns whether the run is given up at a server that is taken to be alive.
    pub fn leaves_living_server(self) -> bool {
        matches!(self, Loss::Silent | Loss::Slow)
    }

    /// Returns whether the run was given up, as the server sent nothing.
    pub fn is_silent(self) -> bool {
        self.may_go_on() || self == Loss::Gone
    }

    /// Returns whether the server broke off the answer, as it also does when it crashes.
    pub fn is_broken_off(self) -> bool {
        matches!(self, Loss::Closed | Loss::Reset | Loss::Truncated)
    }

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Loss::Closed => "closed",
            Loss::Reset => "reset",
            Loss::Unreachable => "dark",
            Loss::Gone => "gone",
            Loss::Silent => "silent",
            Loss::Orphaned => "mute",
            Loss::Slow => "slow",
            Loss::Truncated => "torn",
            Loss::Malformed => "malformed",
            Loss::Excess => "excess",
            Loss::Gap => "gap",
        }
    }
}
