//! Where a stream goes on after a loss.

use std::time::Duration;

use answer::loss::{
    Candidate,
    Loss,
    MIN_PREFILL_AGE, //
};

use crate::{
    edge::Copy,
    fleet::Chosen, //
};

/// A run that was lost, and where its stream can go on.
pub(super) struct Next {
    pub(super) loss: Loss,
    /// Events that the run gave, and how long it ran.
    pub(super) events: u64,
    pub(super) age: Duration,
    pub(super) server: Chosen,
    /// The copy from which it was to go on, if it gave no event: the copy may still be there.
    pub(super) from: Option<Copy>,
    /// The server that holds a copy of its memory, and the copy.
    pub(super) held: Option<(Chosen, Copy)>,
}

/// What is left to try after a loss.
pub(super) struct Resumption {
    pub(super) next: Next,
    left: &'static [Candidate],
}

impl Resumption {
    /// `again` when the run before was lost at the same server.
    pub(super) fn new(next: Next, again: bool) -> Resumption {
        let read = next.events > 0 || next.age >= MIN_PREFILL_AGE || next.from.is_some();
        let worth = !again && read;
        Resumption {
            left: next.loss.candidates(worth),
            next,
        }
    }

    pub(super) fn skip_same(&mut self) {
        if let [Candidate::Same, rest @ ..] = self.left {
            self.left = rest;
        }
    }

    pub(super) fn take(&mut self) -> Option<Candidate> {
        let (first, rest) = self.left.split_first()?;
        self.left = rest;
        Some(*first)
    }
}
