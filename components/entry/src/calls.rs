//! Calls plain services through their sidecars: drives the decisions in [`contract::attempt`].

use std::{
    sync::Arc,
    time::Duration, //
};

use contract::{
    Outcome,
    attempt::{
        Action,
        Attempt,
        Class,
        Event,
        Settings, //
    },
    forwarder,
    outcome::Reason,
    poison::{
        self,
        Verdict, //
    },
    record,
    store::{
        Read,
        Write, //
    },
};
use environment::document::{
    Provision,
    Release, //
};
use events::calls;
use names::{
    Revision,
    Server, //
};
use tokio::time::timeout;
use wire::{
    Frame,
    frame::{
        Call,
        Recording,
        Reply, //
    },
};

use crate::{
    outage::COOLDOWN,
    pool::{
        Criteria,
        Replica, //
    },
    problem::{
        Code,
        Problem,
        Run, //
    },
    state::State,
};

/// Answer of a service.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
    /// Whether the answer comes from the record of an earlier call with the same key.
    pub(crate) replayed: bool,
}

/// Makes a call to a version of a service.
///
/// # Errors
///
/// Returns a problem when the call was not run or its outcome is unknown.
pub(crate) async fn call(
    state: &Arc<State>,
    provision: &Provision,
    version: &str,
    call: Call,
) -> Result<Answer, Problem> {
    let release = provision
        .versions
        .iter()
        .find(|release| release.name == version)
        .ok_or_else(|| Problem::new(Code::Unavailable, "the route has no such version"))?;
    let mut driver = Driver::new(state, provision, release, call);
    if let Verdict::Refused { remaining } = driver.verdict() {
        return Err(refusal(Reason::Poisonous, Some(remaining)));
    }
    let outcome = driver.run().await;
    if matches!(outcome, Outcome::Unknown { .. }) {
        events::emit!(
            calls::UNKNOWN,
            "service={} key={:?}",
            provision.name,
            driver.call.key
        );
    }
    into_answer(outcome)
}

/// Returns the outcome of a recorded call, for `GET /v1/calls/<key>`; `None` without a record.
///
/// The record is read from the store anew for each request: a read that began before the request,
/// or one shared with another caller, could return a state older than the caller has seen already.
pub(crate) async fn status(
    state: &State,
    service: &str,
    team: &str,
    key: &str,
) -> Result<Option<Outcome>, Problem> {
    match state.records.read(&record::key(service, team, key)).await {
        Read::Found(stored) => Ok(Some(stored.record.status(&status_path(service, key)))),
        Read::Absent => Ok(None),
        Read::Failed => {
            state.outage.record();
            let message = "the store that holds the call's record doesn't answer";
            Err(Problem::new(Code::Unavailable, message)
                .run(Run::Unknown)
                .retry(COOLDOWN * 2))
        }
    }
}

/// Returns the path of the outcome of a call.
fn status_path(service: &str, key: &str) -> String {
    format!(
        "/v1/calls/{}?service={}",
        record::escape(key),
        record::escape(service)
    )
}

/// Drives one call: passes events to [`Attempt`] and executes the resulting actions.
struct Driver<'a> {
    state: &'a State,
    provision: &'a Provision,
    release: &'a Release,
    call: Call,
    class: Class,
    digest: String,
    status_path: String,
    attempt: Attempt,
    /// Servers that the call was sent to.
    avoid: Vec<Server>,
}

impl<'a> Driver<'a> {
    fn new(
        state: &'a State,
        provision: &'a Provision,
        release: &'a Release,
        mut call: Call,
    ) -> Self {
        let drops_repeats = provision.contract.drops_repeats;
        let class = Class::of(call.repeatable, drops_repeats, call.key.is_some());
        call.repeatable = class == Class::Repeatable;
        let digest = record::digest(&call.method, &call.path, &call.body);
        let status_path = status_path(&call.service, call.key.as_deref().unwrap_or_default());
        let decisions = contract::attempt::Call {
            class,
            digest: digest.clone(),
            status_path: status_path.clone(),
            nonce: rand::random(),
        };
        Self {
            state,
            provision,
            release,
            call,
            class,
            digest,
            status_path,
            attempt: Attempt::new(decisions, Settings::default()),
            avoid: Vec::new(),
        }
    }

    /// Returns whether the call is suspected to crash backend servers.
    fn verdict(&self) -> Verdict {
        let call = &self.call;
        let fingerprint = poison::call_fingerprint(&call.team, &call.service, &self.digest);
        self.state.suspects.verdict(fingerprint)
    }

    /// Runs the call until its outcome is known.
    async fn run(&mut self) -> Outcome {
        let store_available = self.state.outage.is_over();
        let mut event = Event::Start { store_available };
        loop {
            let mut actions = self.attempt.handle(event).into_iter();
            event = match actions.next() {
                Some(Action::Send { base_revision }) => self.send(base_revision).await,
                Some(Action::Void { expect, record }) => {
                    let key = self.key();
                    let write = self.state.records.write(&key, expect, &record).await;
                    if matches!(write, Write::Applied(_)) {
                        events::emit!(calls::VOIDED, "key={key}");
                    }
                    Event::Voided(write)
                }
                Some(Action::ReadBack) => Event::Read(self.state.records.read(&self.key()).await),
                Some(Action::Reply(outcome)) => return self.record_outage(outcome),
                None => unreachable!("each event of an open attempt is followed by an action"),
            };
        }
    }

    /// Logs and records an outage of the store, if that is the reason for the outcome.
    fn record_outage(&self, outcome: Outcome) -> Outcome {
        if let Outcome::NotRun {
            reason: Reason::StoreUnavailable,
            ..
        } = &outcome
        {
            self.state.outage.record();
            events::emit!(calls::REFUSED, "service={}", self.provision.name);
        }
        outcome
    }

    /// Returns the key of the call's record in the store.
    fn key(&self) -> String {
        let key = self.call.key.as_deref().unwrap_or_default();
        record::key(&self.call.service, &self.call.team, key)
    }

    /// Sends the call to a replica that has not been tried yet, and waits for the result.
    async fn send(&mut self, base_revision: Revision) -> Event {
        let criteria = Criteria {
            service: &self.provision.name,
            release: self.release,
            prefix: None,
            avoid: &self.avoid,
            resume: false,
        };
        let Ok(replica) = self.state.choose_replica(&criteria) else {
            return Event::Unsent;
        };
        self.avoid.push(replica.server.clone());
        self.call.recording = (self.class == Class::Recorded).then(|| Recording {
            send_id: rand::random(),
            base_revision,
            digest: self.digest.clone(),
            status_path: self.status_path.clone(),
        });
        self.exchange(&replica).await
    }

    /// Sends the call over the link of a replica, and records the outcome for the replica choice.
    async fn exchange(&self, replica: &Replica) -> Event {
        let Ok(mut stream) = replica.connection.link.open().await else {
            return Event::Unsent;
        };
        let replied = async {
            let frame = Frame::Call(Box::new(self.call.clone()));
            stream.send(&frame).await.ok()?;
            match stream.receive().await {
                Ok(Some(Frame::Reply(reply))) => Some(reply),
                Ok(_) | Err(_) => None,
            }
        };
        let replied = timeout(self.state.settings.times.call, replied).await;
        let event = replied.ok().flatten().and_then(reply_event);
        match health(event.as_ref()) {
            Health::Served => replica.in_flight.set_served(),
            Health::Failed => replica.in_flight.set_outcome(routing::Outcome::Failed),
            Health::Unknown => {}
        }
        event.unwrap_or_else(|| Event::TimedOut {
            retry_allowed: self.class == Class::Repeatable && self.state.gates.take_retry(),
        })
    }
}

/// State of a backend server, as judged by a reply.
enum Health {
    Served,
    Failed,
    Unknown,
}

/// Returns whether an event shows the server as serving or failing. A dead service refuses
/// connections within a millisecond: if that counted as served, the server would look like the
/// fastest one and attract all calls.
fn health(event: Option<&Event>) -> Health {
    let Some(event) = event else {
        return Health::Failed;
    };
    let Event::Replied(forwarder::Reply::Outcome(outcome)) = event else {
        return Health::Unknown;
    };
    match outcome {
        Outcome::Ran { status, .. } if *status < 500 => Health::Served,
        Outcome::Ran { .. } | Outcome::Unknown { .. } => Health::Failed,
        Outcome::NotRun { reason, .. } if *reason == Reason::Unreachable => Health::Failed,
        Outcome::NotRun { .. } => Health::Unknown,
    }
}

/// Converts the reply of a sidecar to an event; returns `None` when the service may have run a call
/// that has no record.
fn reply_event(reply: Reply) -> Option<Event> {
    match reply {
        Reply::Kept(reply) => Some(Event::Replied(*reply)),
        Reply::NotRun(refused) if refused.reason == wire::frame::Reason::Poisonous => {
            let outcome = Outcome::not_run(Reason::Poisonous, refused.retry_after);
            Some(Event::Replied(forwarder::Reply::Outcome(outcome)))
        }
        // The sidecar refused before it sent anything to the service.
        Reply::NotRun(_) => Some(Event::Unsent),
        Reply::Unknown => None,
        Reply::Ran {
            status,
            content_type,
            body,
            replayed,
        } => Some(Event::Replied(forwarder::Reply::Outcome(Outcome::Ran {
            status,
            content_type: content_type.unwrap_or_default(),
            body,
            replayed,
        }))),
    }
}

/// Converts an outcome to an answer or a problem.
fn into_answer(outcome: Outcome) -> Result<Answer, Problem> {
    match outcome {
        Outcome::Ran {
            status,
            content_type,
            body,
            replayed,
        } => Ok(Answer {
            status,
            content_type: (!content_type.is_empty()).then_some(content_type),
            body,
            replayed,
        }),
        Outcome::NotRun {
            reason,
            retry_after,
        } => Err(refusal(reason, retry_after)),
        Outcome::Unknown { status_path } => {
            let message = "the call may have run, and its answer was lost";
            let mut problem = Problem::new(Code::Unknown, message).run(Run::Unknown);
            problem.status_path = status_path;
            Err(problem)
        }
    }
}

/// Creates the problem for a call or request that was not run.
pub(crate) fn refusal(reason: Reason, retry_after: Option<Duration>) -> Problem {
    let (code, message) = match reason {
        Reason::StoreUnavailable => (Code::Unavailable, "the call can't be recorded now"),
        Reason::Unresponsive => (Code::Unavailable, "the replica fell silent before the call"),
        Reason::NoServer => (
            Code::Unavailable,
            "no replica of the service takes the call",
        ),
        Reason::Unreachable => (Code::Unavailable, "the service refuses connections"),
        Reason::Leaving => (Code::Unavailable, "the replica is leaving"),
        Reason::Late => (Code::Unavailable, "the store was too slow for the call"),
        Reason::CallerGone => (Code::Unavailable, "the caller was gone before the call"),
        Reason::KeyReused => (Code::KeyReused, "the key came with another request before"),
        Reason::Poisonous => (
            Code::Refused,
            "the request is known to bring backend servers down",
        ),
    };
    let problem = Problem::new(code, message);
    match retry_after {
        Some(after) => problem.retry(after),
        None => problem,
    }
}
