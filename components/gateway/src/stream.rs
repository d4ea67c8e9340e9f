//! Event streams, which are resumed at another server when theirs is lost.

use std::{
    rc::Rc,
    time::Duration, //
};

use admission::Purpose;
use answer::events::Sequence;
use environment::document::Repeats;
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
    body::Body,
    call::Call,
    context::Context,
    fleet::Target,
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
            Start, //
        },
    },
    trials::Ticket,
};

mod abandon_guard;
mod backup;
mod delivery;
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
        left: None,
        way_back: None,
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
    /// Server that was left although it may go on, while no other run has begun.
    left: Option<Target>,
    /// Permit for the way back to it.
    way_back: Option<Permit>,
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
            let chosen = match declined > MAX_DECLINED_SENDS {
                true => None,
                false => self.choose_allowed(&mut resumption, quiet.is_some()).await,
            };
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
            let next = match next {
                None if quiet.is_none() => self.go_back(),
                next => next,
            };
            let started = match (next, quiet.take()) {
                (Some((target, copy, permit)), quiet) => {
                    first = false;
                    let ticket = self.ticket.take();
                    let copy = copy.as_ref();
                    self.start_beside(quiet, &target, copy, ticket, permit)
                        .await
                }
                (None, Some(run)) => self.go_on(run).await,
                (None, None) => break,
            };
            // Until the caller has the head of an answer, no run has.
            let Ok(started) = started else {
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
                    if declined > MAX_DECLINED_SENDS && self.left.is_none() {
                        break;
                    }
                }
                Start::Failed(response) => failure = Some(response),
                Start::Lost(lost) => self.record_loss(&mut resumption, *lost),
                Start::Quiet(run, loss) => {
                    quiet = self.set_aside(&mut resumption, run, loss).await;
                }
                Start::Poisonous => break,
            }
            if self.timed_out() {
                break;
            }
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
    /// are refused and may return. While a quiet run may go on, nothing waits: its events aren't read
    /// meanwhile.
    async fn choose_allowed(
        &mut self,
        resumption: &mut Option<Resumption>,
        is_quiet: bool,
    ) -> Option<(Target, Option<KvCopy>)> {
        let mut is_separated = false;
        let mut is_checked = false;
        loop {
            if self.context.poisonous_cause(&self.call).await.is_some() {
                return None;
            }
            let occupied = self.context.occupied_servers(&self.call);
            let may_run = self.context.may_run(&self.call, &mut self.ticket);
            // The rollout may have ended since.
            self.context
                .renew_selection(&self.call.service, &mut self.selection);
            let choice = match may_run {
                true => self.choose(resumption, &occupied),
                false => Err(Unplaced::Occupied),
            };
            let unplaced = match choice {
                Ok((target, _)) if self.context.tells_nothing(&self.call, &target) => {
                    Unplaced::Occupied
                }
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
            if self.timed_out() || is_quiet {
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
}
