//! Candidates at which a stream is resumed after a loss.

use std::time::Duration;

use answer::loss::{
    Candidate,
    Loss,
    MIN_PREFILL_AGE, //
};

use crate::{
    fleet::Target,
    protocol::KvCopy, //
};

/// Why a stream can't go on with another run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// Its route doesn't resume streams.
    NotResumable,
    /// It ran at as many servers as its route allows.
    AttemptsSpent,
    /// The retry budget of its service is spent.
    RetriesSpent,
    /// No server takes it.
    NoServer,
    /// Too many servers declined it.
    Declined,
    /// It may crash servers.
    Poisonous,
    /// It may only run beside no other, or each server has a run that must live first.
    Occupied,
    /// Its time is over.
    TimedOut,
}

impl Denial {
    /// Returns the name for logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Denial::NotResumable => "not_resumable",
            Denial::AttemptsSpent => "attempts_spent",
            Denial::RetriesSpent => "retries_spent",
            Denial::NoServer => "no_server",
            Denial::Declined => "declined",
            Denial::Poisonous => "poisonous",
            Denial::Occupied => "occupied",
            Denial::TimedOut => "late",
        }
    }
}

/// A lost run, and the copies from which its stream can be resumed.
pub(super) struct LostRun {
    pub(super) loss: Loss,
    /// Number of events that the run produced.
    pub(super) events: u64,
    /// Age of the run.
    pub(super) age: Duration,
    /// Server of the run.
    pub(super) target: Target,
    /// Copy from which the run was resumed, if the run produced no event. The copy may still exist.
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
    /// Determines the candidates; `same_server` if the previous run was lost at the same server.
    pub(super) fn new(lost: LostRun, same_server: bool) -> Resumption {
        let processed =
            lost.events > 0 || lost.age >= MIN_PREFILL_AGE || lost.resumed_from.is_some();
        let prompt_cached = !same_server && processed;
        Resumption {
            candidates: lost.loss.candidates(prompt_cached),
            lost,
        }
    }

    /// Drops the candidate that resumes at the server of the lost run, if it comes next.
    pub(super) fn skip_same(&mut self) {
        if let [Candidate::Same, rest @ ..] = self.candidates {
            self.candidates = rest;
        }
    }

    /// Takes the next candidate.
    pub(super) fn take(&mut self) -> Option<Candidate> {
        let (first, rest) = self.candidates.split_first()?;
        self.candidates = rest;
        Some(*first)
    }
}
