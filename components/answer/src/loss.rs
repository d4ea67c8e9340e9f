//! How a run is lost, and where its stream goes on.
//!
//! A prompt that was read is worth seconds of an engine. It is still there, in the cache of the
//! server that broke the connection if the server lives, and in the copy at another server if that
//! has got it already. Both are tried before the prompt is read anew.

use std::time::Duration;

/// How a run was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The server closed the connection before the answer was complete.
    Closed,
    /// The connection was reset.
    Reset,
    /// The server opens no new connection.
    Dark,
    /// The server is alive, and the run says nothing.
    Silent,
    /// The server is alive and has the run no more, or has given events that didn't come.
    Mute,
    /// The server is much slower than expected.
    Slow,
    /// The answer ended in the middle of an event.
    Torn,
    /// What came isn't an answer.
    Malformed,
    /// An event is missing.
    Gap,
}

/// Age from which on a run that gave no event may have read some of its prompt.
pub const MIN_PREFILL_AGE: Duration = Duration::from_millis(250);

/// Where a stream can go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidate {
    /// At the same server, whose cache has the prompt if it lives. A server that crashed refuses
    /// the connection within a round trip.
    Same,
    /// At the server with the copy of the run's memory.
    Copy,
    /// At any server.
    Any,
}

impl Loss {
    /// Where the stream goes on, in the order in which it is tried. `worth` tells whether the same
    /// server may have something of the prompt: it hasn't after a run that was lost at once.
    pub fn candidates(self, worth: bool) -> &'static [Candidate] {
        match self {
            _ if !worth => &[Candidate::Copy, Candidate::Any],
            Loss::Closed | Loss::Reset | Loss::Mute | Loss::Torn | Loss::Malformed | Loss::Gap => {
                &[Candidate::Same, Candidate::Copy, Candidate::Any]
            }
            // The old run may still be at work behind a connection that is dead on this side only.
            Loss::Dark | Loss::Silent | Loss::Slow => &[Candidate::Copy, Candidate::Any],
        }
    }

    /// Whether the loss shows that the server can't be reached. A connection that breaks doesn't:
    /// servers lose single answers, and the next connection tells.
    pub fn is_unreachable(self) -> bool {
        self == Loss::Dark
    }

    /// Whether the server broke the run off as soon as it had it, when it lasted `age` and gave
    /// `events`. A server that does so to one run does so to the next, as a rule.
    pub fn is_immediate(self, events: u64, age: Duration) -> bool {
        matches!(self, Loss::Closed | Loss::Reset) && events == 0 && age < MIN_PREFILL_AGE
    }

    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Loss::Closed => "closed",
            Loss::Reset => "reset",
            Loss::Dark => "dark",
            Loss::Silent => "silent",
            Loss::Mute => "mute",
            Loss::Slow => "slow",
            Loss::Torn => "torn",
            Loss::Malformed => "malformed",
            Loss::Gap => "gap",
        }
    }
}
