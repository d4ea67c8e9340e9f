//! Event streams, which are resumed at another server when theirs is lost.

use std::{
    rc::Rc,
    time::Duration, //
};

use admission::{
    Answer,
    Purpose, //
};
use answer::{
    events::Sequence,
    loss::Loss, //
};
use async_stream::stream;
use bytes::Bytes;
use contract::poison::evidence::Observation;
use environment::document::Repeats;
use events::{
    forwarding,
    note, //
};
use futures_util::Stream;
use http::{
    HeaderMap,
    Response,
    StatusCode, //
};
use names::Server;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    body::{
        Abort,
        Body, //
    },
    call::Call,
    context::Context,
    fleet::Target,
    meter,
    probation::{
        self,
        Unplaced, //
    },
    protocol::{
        KvCopy,
        Protocol, //
    },
    queue::Admission,
    queue_admission,
    refuse::Refusal,
    repeat::Repeat,
    retry_budget::Permit,
    rollout::Selection,
    stream::{
        abandon_guard::AbandonGuard,
        resumption::{
            Denial,
            LostRun,
            Resumption, //
        },
        run::{
            Run,
            Start,
            Step, //
        },
    },
    trials::Ticket,
};

mod abandon_guard;
mod backup;
mod replacement;
mod resumption;
mod run;
mod selection;

/// Maximum number of sends that servers decline before a request is rejected.
const MAX_DECLINED_SENDS: u32 = 4;

/// Unreachable servers in a row after which a new request is rejected, and a stream that has begun
/// waits before each further attempt. The state of the other servers is no better known then.
const MAX_UNREACHABLE_SERVERS: u32 = 8;

/// Longest wait for servers that limit their request rates before they are checked again.
const MAX_RATE_LIMIT_WAIT: Duration = Duration::from_millis(200);

/// Wait between attempts while servers are unreachable.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);

/// Handles a streaming request.
pub async fn run<P: Protocol + 'static>(context: &Rc<Context<P>>, call: Call) -> Response<Body> {
    let mut session = Session {
        abandon_guard: AbandonGuard::new(&call),
        context: context.clone(),
        sequence: Sequence::after(call.request.metadata.after),
        selection: Selection::default(),
        call,
        admission: None,
        tried: Vec::new(),
        ran_at: Vec::new(),
        last_lost: None,
        has_head: false,
        declined_beside: 0,
        unused: Vec::new(),
        ticket: None,
        repeat: None,
        unreachable_in_row: 0,
        last_event: Instant::now(),
        time_to_first: None,
        longest_gap: Duration::ZERO,
    };
    let started = match session.start_first().await {
        Ok(started) => started,
        Err(response) => {
            session.abandon_guard.done = true;
            return response;
        }
    };
    session.has_head = true;
    let (status, headers) = (started.status, started.headers);
    let mut response = Response::new(Body::stream(session.events(started.run)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A started run, and the head for the caller.
struct StartedRun {
    run: Box<Run>,
    status: StatusCode,
    headers: HeaderMap,
}

/// One stream from its request to its end.
struct Session<P> {
    abandon_guard: AbandonGuard,
    context: Rc<Context<P>>,
    call: Call,
    /// Versions that may serve the request.
    selection: Selection,
    sequence: Sequence,
    /// Capacity that the queue granted.
    admission: Option<Admission>,
    /// Servers to which the request was sent.
    tried: Vec<Server>,
    /// Servers at which the request may have run.
    ran_at: Vec<Server>,
    /// Server of the last lost run.
    last_lost: Option<Server>,
    /// Whether the caller has the head of the answer.
    has_head: bool,
    /// Number of sends beside a quiet run that servers declined.
    declined_beside: u32,
    /// Permits of sends that reached no server.
    unused: Vec<Permit>,
    /// Ticket of a request that runs beside no other.
    ticket: Option<Ticket>,
    /// Why the next send is one more.
    repeat: Option<Repeat>,
    /// Number of unreachable servers in a row.
    unreachable_in_row: u32,
    /// Time at which the caller was last sent an event; initially the arrival of the request.
    last_event: Instant,
    /// Time from the request to its first event.
    time_to_first: Option<Duration>,
    /// Longest time between two events.
    longest_gap: Duration,
}

impl<P: Protocol + 'static> Session<P> {
    /// Starts runs until one answers, or no attempt is left.
    async fn start_first(&mut self) -> Result<StartedRun, Response<Body>> {
        self.look_up_prompt().await;
        if let Some(response) = self.context.refuse_poisonous(&self.call).await {
            return Err(response);
        }
        if let Some(refusal) = self.context.backing_off(&self.call.service) {
            return Err(self.call.refuse(&refusal));
        }
        let work = self.remaining_work();
        match queue_admission::admit(&self.context, &self.call, work).await {
            Ok(admission) => self.admission = Some(admission),
            Err(refusal) => return Err(self.call.refuse(&refusal)),
        }
        let (service, route) = (&self.call.service, &self.call.route);
        self.selection = self.context.select(service, route);
        let mut declined = 0;
        let mut failure = None;
        let mut resumption = None;
        let mut quiet = None;
        let mut first = true;
        let mut retries_spent = false;
        loop {
            let chosen = self.choose_allowed(&mut resumption).await;
            if let Some((target, _)) = chosen.as_ref().filter(|_| self.ran_at.is_empty()) {
                if !self.context.may_begin(&self.call) {
                    return Err(self.call.refuse(&self.context.shutting_down()));
                }
                if !self.worth_trying(target) {
                    return Err(self.call.refuse(&Refusal::TooLittleTime));
                }
            }
            let next = chosen.and_then(|(target, copy)| {
                let permit = self.may_send(first, Purpose::Unanswered);
                retries_spent = permit.is_none();
                permit.map(|permit| (target, copy, permit))
            });
            let started = match (next, quiet.take()) {
                (Some((target, copy, permit)), quiet) => {
                    first = false;
                    let ticket = self.ticket.take();
                    let sent = self.start_beside(quiet, &target, copy.as_ref(), ticket, permit);
                    sent.await.map(|started| (started, target))
                }
                (None, Some(run)) => {
                    let target = run.target.clone();
                    self.go_on(run).await.map(|started| (started, target))
                }
                (None, None) => break,
            };
            // Until the caller has the head of an answer, no run has.
            let Ok((started, target)) = started else {
                break;
            };
            self.repeat = started.repeat();
            match started {
                Start::Running {
                    run,
                    status,
                    headers,
                } => {
                    self.unreachable_in_row = 0;
                    return Ok(StartedRun {
                        run,
                        status,
                        headers,
                    });
                }
                Start::TimedOut => {
                    return Err(
                        failure.unwrap_or_else(|| self.call.refuse(&Refusal::DeadlineExceeded))
                    );
                }
                Start::Unreachable | Start::Replaced
                    if self.ran_at.is_empty()
                        && self.unreachable_in_row >= MAX_UNREACHABLE_SERVERS =>
                {
                    break;
                }
                Start::Unreachable | Start::Replaced => self.count_unreachable().await,
                Start::Declined => {
                    declined += 1;
                    if declined > MAX_DECLINED_SENDS {
                        break;
                    }
                }
                Start::Failed(response) => {
                    self.record_ran(&target);
                    failure = Some(response);
                }
                Start::Lost(lost) => self.record_loss(&mut resumption, *lost),
                Start::Quiet(run, loss) => {
                    quiet = self.set_aside(&mut resumption, run, loss).await;
                }
                Start::Poisonous => {
                    self.record_ran(&target);
                    break;
                }
            }
            if self.timed_out() {
                break;
            }
            // The rollout may have ended since, which changes the allowed versions.
            self.selection = self.context.select_resumed(&self.call.service);
        }
        if failure.is_none()
            && self.ran_at.is_empty()
            && let Some(response) = self.context.refuse_poisonous(&self.call).await
        {
            return Err(response);
        }
        Err(match failure {
            Some(response) => response,
            None if self.ran_at.is_empty() && retries_spent => {
                self.call.refuse(&Refusal::RetriesSpent)
            }
            None if self.ran_at.is_empty() && self.timed_out() => {
                self.call.refuse(&Refusal::Expired)
            }
            None if self.ran_at.is_empty() => {
                let refusal = self.context.unplaced_refusal(&self.call.service);
                self.call.refuse(&refusal)
            }
            None => self.call.refuse(&Refusal::Lost),
        })
    }

    /// Chooses a server like [`Session::choose`]. A request that must not be sent gets none; it waits
    /// while that isn't certain, and while runs are separated and each server has one. A request that
    /// has run also waits while the limits on the servers' request rates prevent its next run; others
    /// are refused and may return.
    async fn choose_allowed(
        &mut self,
        resumption: &mut Option<Resumption>,
    ) -> Option<(Target, Option<KvCopy>)> {
        let mut is_separated = false;
        let mut is_checked = false;
        loop {
            if self.context.poisonous_cause(&self.call).await.is_some() {
                return None;
            }
            let occupied = self.context.occupied_servers(&self.call);
            let may_run = self.context.may_run(&self.call, &mut self.ticket);
            let choice = match may_run {
                true => self.choose(resumption, &occupied),
                false => Err(Unplaced::Occupied),
            };
            let unplaced = match choice {
                // A second server isn't checked: all may be slow.
                Ok((target, _))
                    if !std::mem::replace(&mut is_checked, true)
                        && !self.context.may_send_to(&self.call, &target).await =>
                {
                    continue;
                }
                Ok(choice) => return Some(choice),
                Err(unplaced) => unplaced,
            };
            if self.timed_out() {
                return None;
            }
            match unplaced {
                Unplaced::NoServer if self.ran_at.is_empty() => return None,
                Unplaced::NoServer => {
                    let fleet = self.context.fleet.clone();
                    let wait = fleet.borrow().next_request_in(&self.call.service)?;
                    sleep(wait.min(MAX_RATE_LIMIT_WAIT)).await;
                }
                Unplaced::Occupied => {
                    if !is_separated {
                        is_separated = true;
                        self.call.log_separated(&occupied);
                    }
                    sleep(probation::POLL_INTERVAL).await;
                }
            }
        }
    }

    fn timed_out(&self) -> bool {
        Instant::now() >= self.call.until
    }

    /// Counts a send; returns `None` when it is a retry and the budget is used up. A send that
    /// can't have reached a server doesn't count.
    fn may_send(&mut self, first: bool, purpose: Purpose) -> Option<Permit> {
        let unused = self.unused.pop();
        unused.or_else(|| self.context.may_send(&self.call.service, first, purpose))
    }

    /// Counts a server that was unreachable or replaced, and waits when there are many in a row.
    async fn count_unreachable(&mut self) {
        self.unreachable_in_row += 1;
        if self.unreachable_in_row > MAX_UNREACHABLE_SERVERS {
            sleep(UNREACHABLE_BACKOFF).await;
        }
    }

    /// Records that the request may have run at a server.
    fn record_ran(&mut self, target: &Target) {
        if !self.ran_at.contains(&target.server) {
            self.ran_at.push(target.server.clone());
        }
    }

    /// Returns whether the limits on repetition allow a send to a server.
    fn may_send_to(&self, server: &Server) -> bool {
        if self.ran_at.is_empty() {
            return true;
        }
        let repeats = self.call.pass.repeats != Repeats::Never;
        let known = self.ran_at.contains(server);
        repeats && (known || self.ran_at.len() < self.call.pass.attempts as usize)
    }

    /// Yields events until the answer is complete, from as many runs as needed.
    fn events(mut self, run: Box<Run>) -> impl Stream<Item = Result<Bytes, Abort>> {
        stream! {
            let mut run = run;
            let reason = loop {
                match self.step(&mut run).await {
                    Step::Events(bytes) => {
                        self.record_delivery(&mut run);
                        yield Ok(bytes);
                    }
                    Step::End => {
                        self.abandon_guard.done = true;
                        self.finish(*run);
                        return;
                    }
                    Step::TimedOut => break "late",
                    Step::Lost(loss) => match self.resume(run, loss).await {
                        Ok(next) => run = next,
                        Err(denial) => break denial.name(),
                    },
                }
            };
            self.abandon_guard.done = true;
            meter::outcome("cut", self.call.arrived.elapsed());
            note!(
                forwarding::INCOMPLETE,
                id = self.call.request.metadata.id.as_str(),
                reason = reason,
                attempts = self.ran_at.len(),
                last = self.sequence.last(),
                ms = self.call.arrived.elapsed().as_millis() as u64
            );
            yield Err(Abort);
        }
    }

    /// Updates the timing when events are sent to the caller.
    fn record_delivery(&mut self, run: &mut Run) {
        let now = Instant::now();
        match self.time_to_first {
            None => {
                let first = now - self.call.arrived;
                meter::first_event(first);
                if let Some(trial) = &mut run.trial {
                    trial.answered();
                }
                self.time_to_first = Some(first);
                if let Some(admission) = &self.admission {
                    admission.record_first_event();
                }
            }
            Some(_) => self.longest_gap = self.longest_gap.max(now - self.last_event),
        }
        self.last_event = now;
    }

    /// Records the end of a complete answer.
    fn finish(&self, run: Run) {
        if run.is_certainly_complete() {
            let survived = Observation::Survived;
            self.context.record_life(&self.call, survived);
        }
        note!(
            forwarding::ANSWERED,
            id = self.call.request.metadata.id.as_str(),
            server = run.target.server.as_str(),
            attempts = self.ran_at.len() + 1,
            first_ms = self.time_to_first.map(|first| first.as_millis() as u64),
            gap_ms = self.longest_gap.as_millis() as u64,
            ms = self.call.arrived.elapsed().as_millis() as u64
        );
        let shutdown = &self.context.shutdown;
        shutdown.record_duration(&self.call.route, self.call.arrived.elapsed());
        if let (None, Some(first), Some(events)) = (
            self.call.request.metadata.after,
            self.time_to_first,
            self.sequence.last(),
        ) {
            let time = self.call.arrived.elapsed().saturating_sub(first);
            let answer = Answer { events, time };
            self.context
                .forecast
                .borrow_mut()
                .record(&self.call.route, answer);
        }
        meter::outcome("answered", self.call.arrived.elapsed());
        meter::event_gap(self.longest_gap);
        if let Some(connection) = run.finish() {
            self.context.sender.release(connection);
        }
    }

    /// Resumes the stream after the loss of a run.
    ///
    /// # Errors
    ///
    /// Returns why no further run can be started.
    async fn resume(&mut self, run: Box<Run>, loss: Loss) -> Result<Box<Run>, Denial> {
        let mut resumption = None;
        let mut quiet = self.set_aside(&mut resumption, run, loss).await;
        if self.call.pass.repeats != Repeats::Resumes {
            return Err(Denial::NotResumable);
        }
        self.repeat = Some(Repeat::Resumed);
        self.selection = self.context.select_resumed(&self.call.service);
        let mut declined = 0;
        while !self.timed_out() {
            let chosen = self.choose_allowed(&mut resumption).await;
            let denial = match chosen {
                Some(_) => Denial::RetriesSpent,
                None => self.denial(),
            };
            let next = chosen.and_then(|(target, copy)| {
                let permit = self.may_send(false, Purpose::Resume)?;
                Some((target, copy, permit))
            });
            let started = match (next, quiet.take()) {
                (Some((target, copy, permit)), quiet) => {
                    let ticket = self.ticket.take();
                    let sent = self.start_beside(quiet, &target, copy.as_ref(), ticket, permit);
                    sent.await.map(|started| (started, target, copy))
                }
                (None, Some(run)) => {
                    let target = run.target.clone();
                    self.go_on(run).await.map(|started| (started, target, None))
                }
                (None, None) => return Err(denial),
            };
            let (started, target, copy) = match started {
                Ok(started) => started,
                Err(run) => return Ok(run),
            };
            match started {
                Start::Running { run, .. } => {
                    self.unreachable_in_row = 0;
                    let same = self.ran_at.last() == Some(&target.server);
                    let from = match (copy.is_some(), same) {
                        (true, _) => "copy",
                        (false, true) => "same",
                        (false, false) => "anew",
                    };
                    meter::resumed(from, self.last_event.elapsed());
                    note!(
                        forwarding::RESUMED,
                        id = self.call.request.metadata.id.as_str(),
                        server = target.server.as_str(),
                        last = self.sequence.last(),
                        from = from,
                        attempts = self.ran_at.len() + 1,
                        gap_ms = self.last_event.elapsed().as_millis() as u64
                    );
                    return Ok(run);
                }
                Start::TimedOut => return Err(Denial::TimedOut),
                Start::Poisonous => return Err(Denial::Poisonous),
                Start::Failed(_) => self.record_ran(&target),
                Start::Lost(lost) => self.record_loss(&mut resumption, *lost),
                Start::Quiet(run, loss) => {
                    quiet = self.set_aside(&mut resumption, run, loss).await;
                }
                Start::Unreachable | Start::Replaced => self.count_unreachable().await,
                Start::Declined => {
                    declined += 1;
                    if declined > MAX_DECLINED_SENDS {
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
    fn record_loss(&mut self, resumption: &mut Option<Resumption>, lost: LostRun) {
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
