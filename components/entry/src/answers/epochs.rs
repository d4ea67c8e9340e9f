//! Starts the epochs of an answer and attaches to them.

use std::sync::{
    Arc,
    Mutex,
    atomic::AtomicU32, //
};

use answer::resume::{
    Cause,
    Event, //
};
use contract::poison::{
    Facts,
    Verdict, //
};
use events::answers;
use names::{
    Epoch,
    Index,
    Server, //
};
use report::resumes;
use tokio_util::sync::CancellationToken;
use wire::frame::Start;

use crate::{
    answers::Driver,
    attempt::{
        self,
        EpochHandle, //
    },
    pool::Criteria,
};

impl Driver {
    /// Starts an epoch on a replica; returns the event that follows if it can't be started.
    pub(super) fn start(&mut self, epoch: Epoch, avoid: &[Server], cause: Cause) -> Option<Event> {
        match self.state.suspects.verdict(self.query.fingerprint()) {
            Verdict::Refused { remaining } => {
                return Some(Event::NoPlace {
                    epoch,
                    retry_after: remaining,
                });
            }
            // A suspect request may still be queued at the sidecar of the first engine. Started on
            // a second engine as well, it could crash both at once.
            Verdict::Suspect | Verdict::Isolated if cause == Cause::Suspicion => {
                return Some(Event::Denied { epoch });
            }
            Verdict::Clear | Verdict::Suspect | Verdict::Isolated => {}
        }
        match cause {
            Cause::First => {}
            Cause::Loss => self.state.gates.take_resume(),
            Cause::Suspicion if self.all_unresponsive() => self.state.gates.take_resume(),
            Cause::Suspicion if self.state.gates.take_retry() => {}
            Cause::Suspicion => return Some(Event::Denied { epoch }),
        }
        let criteria = Criteria {
            service: &self.query.target.service,
            release: &self.query.release,
            prefix: Some(self.query.prefix),
            avoid,
            resume: cause != Cause::First,
        };
        let replica = match self.state.choose_replica(&criteria) {
            Ok(replica) => replica,
            Err(retry_after) => return Some(Event::NoPlace { epoch, retry_after }),
        };
        if cause != Cause::First {
            events::emit!(
                answers::RESUMED,
                "request={} epoch={epoch} cause={cause:?} tokens={}",
                self.query.request,
                self.tokens.len()
            );
            metrics::counter!("medlarhatch_resumes_total", "cause" => cause_label(cause))
                .increment(1);
            self.count_resume(cause);
        }
        let connection = replica.connection;
        let attempt = Arc::new(EpochHandle {
            epoch,
            nonce: rand::random(),
            server: replica.server,
            peer: replica.peer,
            in_flight: replica.in_flight,
            suspects: self.state.suspects.clone(),
            cancel: CancellationToken::new(),
            stream_number: AtomicU32::new(0),
            usage: Mutex::default(),
            refused: Mutex::default(),
        });
        let start = self.start_frame(&attempt);
        self.attempts.insert(epoch, attempt.clone());
        tokio::spawn(attempt::start(
            attempt,
            connection,
            start,
            self.events.clone(),
        ));
        if cause == Cause::First {
            self.publish_pointer(epoch);
        }
        None
    }

    /// Counts a resume for the report.
    fn count_resume(&mut self, cause: Cause) {
        let cause = match cause {
            Cause::First => return,
            Cause::Loss => resumes::Cause::Loss,
            Cause::Suspicion => resumes::Cause::Suspicion,
        };
        let first = !std::mem::replace(&mut self.resumed, true);
        let now = self.state.now();
        let tokens = self.tokens.len();
        let target = &self.query.target;
        self.state
            .resumes
            .resumed(target, cause, first, tokens, now);
    }

    /// Returns the frame that starts an epoch at its sidecar.
    fn start_frame(&self, attempt: &EpochHandle) -> Start {
        Start {
            request: self.query.request.clone(),
            epoch: attempt.epoch,
            nonce: attempt.nonce,
            team: self.query.team.clone(),
            service: self.query.target.service.clone(),
            version: self.query.target.version.clone(),
            model: self.query.model.clone(),
            prompt: self.query.prompt.clone(),
            max_tokens: self.query.max_tokens,
            seed: self.query.seed,
            temperature: self.query.temperature,
            priority: self.query.priority,
            suspects: self.suspicion_facts(),
            delivered: self.tokens.iter().map(|(_, token)| token.clone()).collect(),
        }
    }

    /// Returns the known facts about crashes for the sidecar, if the request is suspected to crash
    /// servers.
    fn suspicion_facts(&self) -> Option<Box<Facts>> {
        let suspects = &self.state.suspects;
        let is_clear = suspects.verdict(self.query.fingerprint()) == Verdict::Clear;
        (!is_clear).then(|| Box::new(suspects.facts()))
    }

    /// Attaches to an epoch, from token `from` on.
    pub(super) fn attach(&mut self, epoch: Epoch, from: Index) {
        let Some(attempt) = self.attempts.get(&epoch) else {
            return;
        };
        tokio::spawn(attempt::attach(
            self.state.clone(),
            attempt.clone(),
            self.query.request.clone(),
            from,
            self.events.clone(),
        ));
    }
}

/// Returns the metric label of a cause.
fn cause_label(cause: Cause) -> &'static str {
    match cause {
        Cause::First => "first",
        Cause::Loss => "loss",
        Cause::Suspicion => "suspicion",
    }
}
