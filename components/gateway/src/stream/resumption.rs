//! Candidates at which a stream is resumed after a loss.

use std::time::Duration;

use answer::loss::{
    Candidate,
    Loss,
    MIN_PREFILL_AGE, //
};

use crate::{
    fleet::Target, //
    protocol::KvCopy,
};

/// A lost run, and the copies from which its stream can be resumed.
pub(super) struct LostRun {
    pub(super) loss: Loss,
    /// Number of events that the run produced, and its age.
    pub(super) events: u64,
    pub(super) age: Duration,
    pub(super) server: Target,
    /// Copy from which the run was resumed, if it produced no event: the copy may still exist.
    pub(super) resumed_from: Option<KvCopy>,
    /// Server that holds a copy of the run's KV cache, and the copy.
    pub(super) backup: Option<(Target, KvCopy)>,
}

/// Remaining candidates after a loss.
pub(super) struct Resumption {
    pub(super) lost: LostRun,
    candidates: &'static [Candidate],
}

impl Resumption {
    /// Creates the candidates; `same_server` if the previous run was lost at the same server.
    pub(super) fn new(lost: LostRun, same_server: bool) -> Resumption {
        let read = lost.events > 0 || lost.age >= MIN_PREFILL_AGE || lost.resumed_from.is_some();
        let worth = !same_server && read;
        Resumption {
            candidates: lost.loss.candidates(worth),
            lost,
        }
    }

    pub(super) fn skip_same(&mut self) {
        if let [Candidate::Same, rest @ ..] = self.candidates {
            self.candidates = rest;
        }
    }

    pub(super) fn take(&mut self) -> Option<Candidate> {
        let (first, rest) = self.candidates.split_first()?;
        self.candidates = rest;
        Some(*first)
    }
}
