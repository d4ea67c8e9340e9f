//! Starts runs, and decides by the head of a response whether one has begun.

use std::{
    rc::Rc,
    time::Duration, //
};

use answer::{
    events::Splitter,
    loss::Loss,
    progress::Progress,
    silence::{
        Detector,
        Expectation, //
    },
    threshold::Gaps, //
};
use bytes::Bytes;
use contract::poison::evidence::Stage;
use environment::document::Repeats;
use events::{
    forwarding,
    note, //
};
use http::{
    HeaderMap,
    Response,
    StatusCode, //
};
use routing::{
    Outcome,
    placement::Work, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};
use upstream::Head;

use super::{
    Earlier,
    Received,
    Run, //
};
use crate::{
    body::Body,
    clock,
    crashes::{
        OpenRun,
        Unanswered, //
    },
    fleet::{
        InFlight,
        Suspicion,
        Target,
        round_load,
        suspicion_for, //
    },
    meter,
    protocol::{
        Dispatch,
        KvCopy,
        Protocol,
        Reply, //
    },
    queue,
    refuse::DEFAULT_RETRY_AFTER,
    repeat::Repeat,
    retry_budget::Permit,
    rollout::Trial,
    sender::Failure,
    stream::{
        LostRun,
        Session,
        backup::Backup, //
    },
    trials::Ticket,
};

/// Maximum size of an error response that is read, in bytes.
const MAX_FAILURE_BODY_BYTES: usize = 64 * 1024;

/// Bytes of a request per second that the slowest healthy servers read. Before it has read the whole
/// request, a server neither answers nor reports the run.
const MIN_READ_RATE: f64 = 500_000.0;

/// Timeout of the body of an error response.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of starting a run.
pub(in crate::stream) enum Start {
    /// The server responded with a stream.
    Running {
        run: Box<Run>,
        status: StatusCode,
        headers: HeaderMap,
    },
    /// The server responded with an error.
    Failed(Response<Body>),
    /// The server didn't run the request.
    Declined,
    /// The server is unreachable, and no byte was sent.
    Unreachable,
    /// The server is gone: another one at its address received the request, and didn't run it.
    Replaced,
    /// The server may have run the request, or a part of it.
    Lost(Box<LostRun>),
    /// The server sends nothing and may still answer; another one may be tried.
    Quiet(Box<Run>, Loss),
    /// The deadline of the answer passed.
    TimedOut,
    /// The request was found to crash servers before this one began to answer.
    Poisonous,
}

impl Start {
    /// Returns why the request is sent once more, if it is.
    pub(in crate::stream) fn repeat(&self) -> Option<Repeat> {
        match self {
            Start::Running { .. } | Start::TimedOut | Start::Poisonous => None,
            Start::Failed(_) => Some(Repeat::Failed),
            Start::Declined => Some(Repeat::Declined),
            Start::Unreachable => Some(Repeat::Unsent),
            Start::Replaced => Some(Repeat::Misdirected),
            Start::Lost(_) | Start::Quiet(..) => Some(Repeat::Lost),
        }
    }
}

impl<P: Protocol + 'static> Session<P> {
    /// Starts a run, and waits for the head of its answer.
    pub(in crate::stream) async fn start(
        &mut self,
        target: &Target,
        copy: Option<&KvCopy>,
        ticket: Option<Ticket>,
        permit: &Permit,
    ) -> Start {
        match self.send(target, copy, ticket, permit).await {
            Ok(run) => self.await_head(run).await,
            Err(failed) => failed,
        }
    }

    /// Sends the request to a server.
    ///
    /// # Errors
    ///
    /// Returns the result of the start if it can't be sent.
    pub(in crate::stream) async fn send(
        &self,
        target: &Target,
        copy: Option<&KvCopy>,
        ticket: Option<Ticket>,
        permit: &Permit,
    ) -> Result<Box<Run>, Start> {
        let began = Instant::now();
        let work = self.work_at(target, copy);
        if self.sequence.last().is_none() {
            self.context.queue.record_work(&self.call.service, work);
        }
        let backup = self.choose_backup(target).map(|(holder, in_flight)| {
            Backup::continuous(holder, in_flight, &self.call.request.metadata.id)
        });
        let mut in_flight = InFlight::new(&self.context.fleet, &target.server, work);
        let probation = self.context.suspects.probation.begin(&target.server);
        let dispatch = Dispatch {
            server: &target.server,
            remaining: self.call.time_left(),
            team: self.call.team.as_ref(),
            after: self.sequence.last(),
            backup: backup.as_ref().map(|backup| backup.holder.address),
            copy,
            urgency: self.call.standing.as_ref().map(queue::urgency),
        };
        self.log_sent(target, &dispatch, backup.as_ref(), permit);
        self.call.progress.sent(&target.server);
        let sent = self
            .context
            .sender
            .send(&self.call.request, target, &dispatch);
        let connection = match timeout_at(self.call.until, sent).await {
            Err(_) => return Err(Start::TimedOut),
            Ok(Err(Failure::Unsent(error))) => {
                in_flight.set_outcome(Outcome::Failed);
                self.record_unsent(target, &error);
                return Err(Start::Unreachable);
            }
            Ok(Ok(connection)) => connection,
        };
        let pass = &self.call.pass;
        let expected = self.expectation(target, work);
        let open = OpenRun {
            call: self.call.clone(),
            target: target.clone(),
            stage: Stage::Pending,
            sent_at: clock::now(),
            ticket: ticket.map(Rc::new),
        };
        let run = Run {
            target: target.clone(),
            connection,
            earlier: Earlier::default(),
            in_flight,
            backup,
            splitter: Splitter::default(),
            progress: Progress::new(pass.repeats == Repeats::Resumes),
            silence: Detector::new(pass.objective, pass.gap, Gaps::default(), expected),
            began,
            last_received: began,
            silent_since: began + read_time(self.call.request.body.len()),
            answered: None,
            last_alive: began,
            backup_checked: began,
            events: 0,
            has_gap: false,
            recorded: (false, false),
            probation: Some(probation),
            unanswered: Unanswered::new(&self.context.crashes, open),
            is_delimited: true,
            complete: false,
            kept: None,
            trial: self.begin_trial(target),
            copy: copy.cloned(),
        };
        Ok(Box::new(run))
    }

    /// Waits for the head of a run's answer.
    pub(in crate::stream) async fn await_head(&mut self, mut run: Box<Run>) -> Start {
        match self.receive(&mut run, true).await {
            Received::Head(head, reply) => self.handle_head(run, head, reply).await,
            Received::TimedOut => Start::TimedOut,
            Received::Poisonous => {
                self.record_ran(&run.target);
                Start::Poisonous
            }
            Received::Lost(loss) if loss.may_go_on() => {
                self.log_loss(&run, loss);
                Start::Quiet(run, loss)
            }
            Received::Lost(loss) => self.lose(run, loss).await,
            Received::Data(_) | Received::End => self.lose(run, Loss::Malformed).await,
        }
    }

    /// Begins the trial of the version of a server, unless the caller has events already.
    fn begin_trial(&self, target: &Target) -> Option<Trial> {
        let is_first = self.sequence.last().is_none();
        is_first.then(|| Trial::begin(&self.context.rollouts, &self.call, target))
    }

    /// Returns the work that the rest of the stream is for a server, without the part of the prompt
    /// that it has in its cache or in a copy.
    fn work_at(&self, target: &Target, copy: Option<&KvCopy>) -> Work {
        let mut work = self.remaining_work();
        let fleet = self.context.fleet.borrow();
        let cached = fleet.cached_tokens(self.parts(), &target.server);
        // The copy of a run without events may contain hardly any of the prompt.
        work.prefill_tokens = match copy {
            Some(_) if self.sequence.last().is_some() => 0,
            _ => work.prefill_tokens.saturating_sub(cached),
        };
        work
    }

    /// Returns when a server with `work` should send the first event; `None` if the caller already
    /// has events.
    fn expectation(&self, target: &Target, work: Work) -> Option<Expectation> {
        if self.sequence.last().is_some() {
            return None;
        }
        let fleet = self.context.fleet.borrow();
        Some(Expectation {
            here: fleet.expected_first_event(target),
            elsewhere: fleet.unloaded_first_event(target, work.prefill_tokens),
            waited: self.call.arrived.elapsed(),
        })
    }

    fn log_sent(
        &self,
        target: &Target,
        dispatch: &Dispatch<'_>,
        backup: Option<&Backup>,
        permit: &Permit,
    ) {
        if let Some(repeat) = self.repeat {
            meter::repeat(&self.call.service, repeat.name());
        }
        note!(
            forwarding::SENT,
            id = self.call.request.metadata.id.as_str(),
            server = target.server.as_str(),
            data_centre = target.data_centre.as_str(),
            load = round_load(target.score.load),
            against = target.score.penalties,
            among = target.score.candidates,
            document = self.call.document.version,
            prompt = self.parts().last().map(|(part, _)| *part),
            parts = self.call.part_ids().as_deref(),
            attempt = self.ran_at.len() + 1,
            repeat = self.repeat.map(Repeat::name),
            retries_left = permit.left(),
            after = dispatch.after,
            left_ms = dispatch.remaining.map(|left| left.as_millis() as u64),
            copy = dispatch.copy.is_some(),
            urgency = dispatch.urgency,
            backup = backup.map(|backup| backup.holder.server.as_str())
        );
    }

    /// Records a send of which no byte left against its server.
    fn record_unsent(&self, target: &Target, error: &upstream::Error) {
        meter::send("unsent");
        let mut fleet = self.context.fleet.borrow_mut();
        fleet.suspect(&target.server, suspicion_for(error));
        note!(
            forwarding::DECLINED,
            id = self.call.request.metadata.id.as_str(),
            server = target.server.as_str(),
            reason = error.to_string().as_str()
        );
    }

    /// Logs the loss of a run that had not begun to answer.
    async fn lose(&self, mut run: Box<Run>, loss: Loss) -> Start {
        self.log_loss(&run, loss);
        self.check_crash(&mut run, loss).await;
        let lost = run.lost(loss);
        run.give_up(loss);
        Start::Lost(Box::new(lost))
    }

    /// Decides by the head of its answer whether a run has started.
    async fn handle_head(&mut self, mut run: Box<Run>, head: Head, reply: Reply) -> Start {
        let id = self.call.request.metadata.id.clone();
        let id = id.as_str();
        let server = run.target.server.clone();
        let status = head.status.as_u16();
        self.context.record_heard(&server);
        self.context
            .record_reply(&run.target, head.status, &reply, run.unanswered.run.sent_at);
        if reply.not_run {
            self.call.progress.left();
            run.unanswered.close();
            if let Some(trial) = &mut run.trial {
                trial.cancel();
            }
            meter::send("declined");
            run.in_flight.set_outcome(Outcome::Refused {
                retry_after: reply.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            });
            note!(
                forwarding::DECLINED,
                id = id,
                server = server.as_str(),
                status = status,
                retry_after_ms = reply.retry_after_ms(),
                leaving = reply.leaving
            );
            if head.status == StatusCode::SERVICE_UNAVAILABLE && run.copy.is_none() {
                self.context
                    .fleet
                    .borrow_mut()
                    .suspect(&server, Suspicion::Full);
            }
            if reply.misdirected {
                // Servers that failed together restart together, under names that are unknown while
                // the store is unavailable.
                let mut fleet = self.context.fleet.borrow_mut();
                fleet.suspect(&server, Suspicion::Refused);
                drop(fleet);
                self.context.record_denial(&run.target);
            }
            if self.read_body(&mut run).await.is_some() && !reply.misdirected {
                self.context.sender.release(run.connection);
            }
            return match reply.misdirected {
                true => Start::Replaced,
                false => Start::Declined,
            };
        }
        let usable = reply.signed && !reply.encoded;
        if usable && head.status.is_success() {
            meter::send("answered");
            run.answered = Some(Instant::now());
            run.unanswered.run.stage = Stage::Started;
            run.is_delimited = head.is_delimited();
            let headers = self
                .context
                .sender
                .protocol()
                .response_headers(head.headers);
            return Start::Running {
                run,
                status: head.status,
                headers,
            };
        }
        run.unanswered.close();
        if let Some(trial) = &mut run.trial {
            trial.failed();
        }
        meter::send("failed");
        run.in_flight.set_outcome(Outcome::Failed);
        note!(
            forwarding::FAILED,
            id = id,
            server = server.as_str(),
            status = status,
            signed = reply.signed
        );
        let body = self.read_body(&mut run).await;
        let (Some(body), true) = (body, usable) else {
            let lost = run.lost(Loss::Malformed);
            run.give_up(Loss::Malformed);
            return Start::Lost(Box::new(lost));
        };
        self.record_ran(&run.target);
        self.context.sender.release(run.connection);
        let mut response = Response::new(Body::whole(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = self
            .context
            .sender
            .protocol()
            .response_headers(head.headers);
        Start::Failed(response)
    }

    /// Reads the body of an error response.
    async fn read_body(&self, run: &mut Run) -> Option<Bytes> {
        let read = run.connection.read_body(MAX_FAILURE_BODY_BYTES);
        let read = timeout_at(Instant::now() + FAILURE_BODY_TIMEOUT, read).await;
        read.ok()?.ok()?.complete()
    }
}

/// Returns the time that a slow server takes to read a body of `bytes`.
fn read_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_READ_RATE)
}
