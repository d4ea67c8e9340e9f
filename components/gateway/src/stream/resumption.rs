//! Resumes a stream after the loss of its run.

use std::time::Duration;

use admission::Purpose;
use answer::loss::{
    Candidate,
    Loss,
    MIN_PREFILL_AGE, //
};
use environment::document::Repeats;
use events::{
    forwarding,
    note, //
};

use super::{
    MAX_DECLINED_SENDS,
    Session,
    run::{
        Run,
        Start, //
    }, //
};
use crate::{
    fleet::Target,
    meter,
    protocol::{
        KvCopy,
        Protocol, //
    },
    repeat::Repeat, //
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
    /// Another run wouldn't begin before the exit of this process.
    Stopping,
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
            Denial::Stopping => "stopping",
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

impl<P: Protocol + 'static> Session<P> {
    /// Resumes the stream after the loss of a run.
    ///
    /// # Errors
    ///
    /// Returns why no further run can be started.
    pub(super) async fn resume(&mut self, run: Box<Run>, loss: Loss) -> Result<Box<Run>, Denial> {
        let mut resumption = None;
        let mut quiet = self.set_aside(&mut resumption, run, loss).await;
        if self.call.pass.repeats != Repeats::Resumes {
            return Err(Denial::NotResumable);
        }
        self.repeat = Some(Repeat::Resumed);
        self.selection = self.context.select_resumed(&self.call.service);
        let mut declined = 0;
        while !self.timed_out() {
            let chosen = match declined > MAX_DECLINED_SENDS {
                true => None,
                false => self.choose_allowed(&mut resumption, quiet.is_some()).await,
            };
            let denial = match chosen {
                Some(_) => Denial::RetriesSpent,
                None if declined > MAX_DECLINED_SENDS => Denial::Declined,
                None => self.denial(),
            };
            let next = chosen.and_then(|(target, copy)| {
                let permit = self.may_send(false, Purpose::Resume)?;
                Some((target, copy, permit))
            });
            let next = match next {
                None if quiet.is_none() => self.go_back(),
                next => next,
            };
            let started = match (next, quiet.take()) {
                (Some((target, copy, permit)), quiet) => {
                    let ticket = self.ticket.take();
                    let copy = copy.as_ref();
                    self.start_beside(quiet, &target, copy, ticket, permit)
                        .await
                }
                (None, Some(run)) => self.go_on(run).await,
                (None, None) => return Err(denial),
            };
            let started = match started {
                Ok(started) => started,
                Err(run) => return Ok(run),
            };
            match started {
                Start::Running { run, .. } => {
                    self.unreachable_in_row = 0;
                    let same = self.ran_at.last() == Some(&run.target.server);
                    let from = match (run.is_from_copy(), same) {
                        (true, _) => "copy",
                        (false, true) => "same",
                        (false, false) => "anew",
                    };
                    meter::resumed(from, self.last_event.elapsed());
                    note!(
                        forwarding::RESUMED,
                        id = self.call.request.metadata.id.as_str(),
                        server = run.target.server.as_str(),
                        last = self.sequence.last(),
                        from = from,
                        attempts = self.ran_at.len() + 1,
                        gap_ms = self.last_event.elapsed().as_millis() as u64
                    );
                    return Ok(run);
                }
                Start::TimedOut => return Err(Denial::TimedOut),
                Start::Poisonous => return Err(Denial::Poisonous),
                Start::Failed(_) => {}
                Start::Lost(lost) => self.record_loss(&mut resumption, *lost),
                Start::Quiet(run, loss) => {
                    quiet = self.set_aside(&mut resumption, run, loss).await;
                }
                Start::Unreachable | Start::Replaced => self.count_unreachable().await,
                Start::Declined => {
                    declined += 1;
                    if declined > MAX_DECLINED_SENDS && self.left.is_none() {
                        return Err(Denial::Declined);
                    }
                }
            }
        }
        Err(Denial::TimedOut)
    }

    /// Returns why no server was chosen.
    fn denial(&self) -> Denial {
        if self.timed_out() {
            return Denial::TimedOut;
        }
        if self.context.is_poisonous(&self.call) {
            return Denial::Poisonous;
        }
        match self.ran_at.len() >= self.call.pass.attempts as usize {
            true => Denial::AttemptsSpent,
            false => Denial::NoServer,
        }
    }

    /// Records a loss and determines the candidates for the next run. After a second loss in a row
    /// at the same server, the remaining candidates of the first one stay valid: a run that was
    /// lost before its first event has no copy of its own.
    pub(super) fn record_loss(&mut self, resumption: &mut Option<Resumption>, lost: LostRun) {
        self.record_ran(&lost.target);
        let server = lost.target.server.clone();
        let same_server = self.last_lost.replace(server) == Some(lost.target.server.clone());
        if same_server && let Some(resumption) = resumption {
            resumption.skip_same();
            return;
        }
        *resumption = Some(Resumption::new(lost, same_server));
    }
}
