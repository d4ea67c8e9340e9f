//! Starting and attaching to the epochs of an answer.

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
        Attempt, //
    },
    pool::Wish,
};

impl Driver {
    pub(super) fn start(&mut self, epoch: Epoch, avoid: &[Server], cause: Cause) -> Option<Event> {
        match self.state.suspects.verdict(self.ask.fingerprint()) {
            Verdict::Refused { remaining } => {
                return Some(Event::NoPlace {
                    epoch,
                    retry_after: remaining,
                });
            }
            // A suspect that waits for its place would be started at a second one as well, and
            // bring both engines down at once.
            Verdict::Suspect | Verdict::Isolated if cause == Cause::Suspicion => {
                return Some(Event::Denied { epoch });
            }
            Verdict::Clear | Verdict::Suspect | Verdict::Isolated => {}
        }
        match cause {
            Cause::First => {}
            Cause::Loss => self.state.gates.resume(),
            Cause::Suspicion if self.evidence() => self.state.gates.resume(),
            Cause::Suspicion if self.state.gates.retry() => {}
            Cause::Suspicion => return Some(Event::Denied { epoch }),
        }
        let wish = Wish {
            service: &self.ask.target.service,
            release: &self.ask.release,
            prefix: Some(self.ask.prefix),
            avoid,
            resume: cause != Cause::First,
        };
        let replica = match self.state.replica(&wish) {
            Ok(replica) => replica,
            Err(retry_after) => return Some(Event::NoPlace { epoch, retry_after }),
        };
        if cause != Cause::First {
            events::emit!(
                answers::RESUMED,
                "request={} epoch={epoch} cause={cause:?} tokens={}",
                self.ask.request,
                self.kept.len()
            );
            metrics::counter!("medlarhatch_resumes_total", "cause" => name(cause)).increment(1);
            self.count(cause);
        }
        let joined = replica.joined;
        let attempt = Arc::new(Attempt {
            epoch,
            nonce: rand::random(),
            server: replica.server,
            peer: replica.peer,
            sent: replica.sent,
            suspects: self.state.suspects.clone(),
            cancel: CancellationToken::new(),
            turn: AtomicU32::new(0),
            usage: Mutex::default(),
            refused: Mutex::default(),
        });
        let start = self.frame(&attempt);
        self.attempts.insert(epoch, attempt.clone());
        tokio::spawn(attempt::start(attempt, joined, start, self.events.clone()));
        if cause == Cause::First {
            self.point(epoch);
        }
        None
    }

    /// Counts a resume for the report.
    fn count(&mut self, cause: Cause) {
        let cause = match cause {
            Cause::First => return,
            Cause::Loss => resumes::Cause::Loss,
            Cause::Suspicion => resumes::Cause::Suspicion,
        };
        let first = !std::mem::replace(&mut self.resumed, true);
        let now = self.state.now();
        let tokens = self.kept.len();
        let target = &self.ask.target;
        self.state
            .resumes
            .resumed(target, cause, first, tokens, now);
    }

    fn frame(&self, attempt: &Attempt) -> Start {
        Start {
            request: self.ask.request.clone(),
            epoch: attempt.epoch,
            nonce: attempt.nonce,
            team: self.ask.team.clone(),
            service: self.ask.target.service.clone(),
            version: self.ask.target.version.clone(),
            model: self.ask.model.clone(),
            prompt: self.ask.prompt.clone(),
            max_tokens: self.ask.max_tokens,
            seed: self.ask.seed,
            temperature: self.ask.temperature,
            priority: self.ask.priority,
            suspects: self.suspects(),
            delivered: self.kept.iter().map(|(_, token)| token.clone()).collect(),
        }
    }

    /// Facts for the sidecar, when the request is under suspicion.
    fn suspects(&self) -> Option<Box<Facts>> {
        let suspects = &self.state.suspects;
        let clear = suspects.verdict(self.ask.fingerprint()) == Verdict::Clear;
        (!clear).then(|| Box::new(suspects.facts()))
    }

    pub(super) fn attach(&mut self, epoch: Epoch, from: Index) {
        let Some(attempt) = self.attempts.get(&epoch) else {
            return;
        };
        tokio::spawn(attempt::attach(
            self.state.clone(),
            attempt.clone(),
            self.ask.request.clone(),
            from,
            self.events.clone(),
        ));
    }
}

fn name(cause: Cause) -> &'static str {
    match cause {
        Cause::First => "first",
        Cause::Loss => "loss",
        Cause::Suspicion => "suspicion",
    }
}
