//! Requests with a single response that isn't a stream.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use admission::{
    Purpose,
    Reason,
    overload::Ending as ServerEnding, //
};
use async_stream::stream;
use bytes::Bytes;
use contract::{
    attempt::Class,
    poison::evidence::{
        Observation,
        Stage, //
    },
    sends::{
        Ending,
        Sends,
        Step, //
    },
};
use environment::document::Repeats;
use events::{
    forwarding,
    note, //
};
use futures_util::future::{
    Either,
    select, //
};
use gates::Rejection;
use http::Response;
use names::Server;
use routing::{
    Outcome,
    placement::{
        Request,
        Work, //
    },
};
use tokio::time::{
    Instant,
    sleep,
    timeout,
    timeout_at, //
};
use upstream::{
    Bound,
    Collected,
    Connection,
    Head, //
};

use crate::{
    body::{
        Abort,
        Body, //
    },
    call::Call,
    clock,
    context::Context,
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
    overload::{
        self,
        Sent,
        Turn, //
    },
    probation::{
        self,
        Unplaced, //
    },
    protocol::{
        Dispatch,
        Protocol,
        Reply, //
    },
    refuse::{
        DEFAULT_RETRY_AFTER,
        Refusal, //
    },
    repeat::Repeat,
    requests::Closer,
    retry_budget::Permit,
    rollout::{
        Selection,
        Trial, //
    },
    sender::Failure,
    trials::Ticket, //
};

/// Maximum size of a response that is buffered before the caller gets it, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Maximum size of a body whose length the server doesn't state, in bytes.
const MAX_UNSTATED_BODY_BYTES: u64 = 64 << 20;

/// Time for the body of a response whose head states that the request wasn't run. Only the reuse of
/// the connection depends on it.
const DECLINED_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Multiple of the mean response time after which a repeatable request is hedged with a second
/// server.
const HEDGE_DELAY_FACTOR: f64 = 3.0;

/// Bounds of the hedge delay as shares of the latency objective: an earlier hedge costs an attempt
/// for little gain, and a later one can't meet the objective.
const HEDGE_DELAY_BOUNDS: (f64, f64) = (0.2, 0.6);

/// Work of a plain request.
const PLAIN_WORK: Work = Work {
    requests: 1,
    tokens: 0,
    prefill_tokens: 0,
};

/// Handles a plain request.
pub async fn run<P: Protocol + 'static>(context: &Rc<Context<P>>, call: Call) -> Response<Body> {
    let class = match call.pass.repeats {
        Repeats::Always => Class::Repeatable,
        Repeats::Never | Repeats::Resumes => Class::Once,
    };
    let plain = PlainRequest {
        context,
        sends: Sends::new(class, call.pass.attempts),
        selection: context.select(&call.service, &call.route),
        call,
        class,
        tried: Vec::new(),
        unused: Vec::new(),
        ticket: None,
        repeat: None,
        is_checked: false,
        response: None,
    };
    plain.run().await
}

/// A plain request and its attempts.
struct PlainRequest<'a, P> {
    context: &'a Rc<Context<P>>,
    call: Call,
    /// Versions that may serve the request.
    selection: Selection,
    class: Class,
    sends: Sends,
    /// Servers to which the request was sent.
    tried: Vec<Server>,
    /// Permits of sends that reached no server.
    unused: Vec<Permit>,
    /// Ticket of a request that runs beside no other.
    ticket: Option<Ticket>,
    /// Why the next send is one more.
    repeat: Option<Repeat>,
    /// Whether a server was checked for the next send. A second one isn't: all may be slow.
    is_checked: bool,
    /// Last response of a server.
    response: Option<Response<Body>>,
}

/// A server for an attempt, and the permission to send there.
struct Placed {
    target: Target,
    permit: Permit,
    /// Ticket of a request that runs beside no other.
    ticket: Option<Ticket>,
    /// Why the send is one more.
    repeat: Option<Repeat>,
}

/// Result of one attempt, and the server's response if there was one.
struct Attempt {
    ending: Ending,
    response: Option<Response<Body>>,
    /// Takes over the work in flight while the rest of a long response arrives.
    rest: Option<Rest>,
}

/// Work in flight of a response of which a part has arrived.
type Rest = Rc<RefCell<Option<InFlight>>>;

impl<P: Protocol + 'static> PlainRequest<'_, P> {
    /// Sends the request until a response is final or no attempt is left.
    async fn run(mut self) -> Response<Body> {
        if let Some(response) = self.context.refuse_poisonous(&self.call).await {
            return response;
        }
        if let Some(refusal) = self.context.backing_off(&self.call.service) {
            self.context.demands.count_request(&self.call.service);
            return self.call.refuse(&refusal);
        }
        if let Err(refusal) = self.wait_for_room().await {
            return self.call.refuse(&refusal);
        }
        while let Some(placed) = self.next_allowed().await {
            if self.tried.len() == 1 && !self.context.may_begin(&self.call) {
                return self.call.refuse(&self.context.shutting_down());
            }
            let until = self.call.until;
            let Ok(results) = timeout_at(until, self.race(placed)).await else {
                return self.timed_out();
            };
            let mut step = Step::Send;
            for (result, permit) in results {
                if result.ending == Ending::Unsent {
                    self.unused.push(permit);
                }
                self.repeat = repeat_after(result.ending);
                self.response = result.response.or(self.response.take());
                step = self.sends.record(result.ending);
            }
            if step != Step::Send {
                return self.finish(step);
            }
        }
        let step = self.sends.final_step();
        self.finish(step)
    }

    /// Waits for the request's turn while its service is over capacity.
    async fn wait_for_room(&self) -> Result<(), Refusal> {
        let call = &self.call;
        let turn = Turn {
            id: &call.request.metadata.id,
            service: &call.service,
            route: &call.route,
            team: call.team.as_ref(),
            deadline: call.request.metadata.deadline,
            rank: call.pass.rank,
            objective: call.pass.objective,
            elapsed: call.arrived.elapsed(),
        };
        let admitted = overload::admit(&self.context.demands, &self.context.fleet, &turn);
        match timeout_at(call.until, admitted).await {
            Ok(admitted) => admitted.map_err(overloaded),
            Err(_) => Err(Refusal::Expired),
        }
    }

    /// Chooses a server like [`PlainRequest::next`]. A request that must not be sent gets none; it
    /// waits while that isn't certain, while runs are separated and each server has one, and while
    /// another one is in flight that may have crashed servers too.
    async fn next_allowed(&mut self) -> Option<Placed> {
        let mut is_separated = false;
        self.is_checked = false;
        loop {
            if self.context.poisonous_cause(&self.call).await.is_some() {
                return None;
            }
            let occupied = self.context.occupied_servers(&self.call);
            let may_run = self.context.may_run(&self.call, &mut self.ticket);
            let next = match !may_run || self.context.must_wait(&self.call) {
                true => Err(Unplaced::Occupied),
                false => self.next(&occupied),
            };
            let next = match next {
                Ok(placed) if self.context.tells_nothing(&self.call, &placed.target) => {
                    self.tried.pop();
                    self.unused.push(placed.permit);
                    Err(Unplaced::Occupied)
                }
                next => next,
            };
            match next {
                Ok(placed)
                    if !std::mem::replace(&mut self.is_checked, true)
                        && (!self.context.may_send_to(&self.call, &placed.target).await
                            // Another one may have begun meanwhile.
                            || self.context.must_wait(&self.call)) =>
                {
                    self.tried.pop();
                    self.unused.push(placed.permit);
                    continue;
                }
                Ok(placed) => {
                    return Some(Placed {
                        ticket: self.ticket.take(),
                        ..placed
                    });
                }
                Err(Unplaced::Occupied) if Instant::now() < self.call.until => {}
                Err(_) => return None,
            }
            if !is_separated {
                is_separated = true;
                self.call.log_separated(&occupied);
            }
            sleep(probation::POLL_INTERVAL).await;
        }
    }

    /// Chooses the next server, if there is one and the retry budget allows another send. `occupied`
    /// servers take no further run now.
    fn next(&mut self, occupied: &[Server]) -> Result<Placed, Unplaced> {
        let first = self.tried.is_empty();
        let service = &self.call.service;
        // The rollout may have ended since.
        match first {
            true => self.context.renew_selection(service, &mut self.selection),
            false => self.selection = self.context.select_resumed(service),
        }
        let overloads = &self.context.demands.overloads;
        // A send that reached no server took no capacity.
        let is_repeat = !first && self.unused.is_empty();
        if is_repeat && !overloads.may_repeat(&self.call.service) {
            let id = self.call.request.metadata.id.as_str();
            note!(forwarding::REPEAT_GAVE_WAY, id = id);
            return Err(Unplaced::NoServer);
        }
        let data_centre = self.context.settings.borrow().data_centre.clone();
        let unwanted: Vec<Server> = self.tried.iter().chain(occupied).cloned().collect();
        let request = Request {
            service: &self.call.service,
            data_centre: &data_centre,
            work: PLAIN_WORK,
            parts: &[],
            versions: self.selection.versions(),
            avoid: &unwanted,
            avoid_data_centre: None,
            within: None,
        };
        let mut target = self.context.fleet.borrow_mut().choose(&request);
        let mut avoid = overloads.full_servers(&self.call.service);
        if !avoid.is_empty() {
            avoid.extend_from_slice(&unwanted);
            let request = Request {
                avoid: &avoid,
                ..request
            };
            let other = self.context.fleet.borrow_mut().choose(&request);
            let penalties =
                |target: &Option<Target>| target.as_ref().map(|target| target.score.penalties);
            if penalties(&other) <= penalties(&target) {
                target = other;
            }
        }
        let service = &self.call.service;
        if target.is_none() && first {
            // Demand that the servers' limits exceed counts too.
            self.context.may_send(service, first, Purpose::Unanswered);
        }
        let target = target.ok_or(Unplaced::NoServer)?;
        if occupied.contains(&target.server) {
            return Err(Unplaced::Occupied);
        }
        // A send that can't have reached a server doesn't count.
        let unused = self.unused.pop();
        let permit = unused.or_else(|| self.context.may_send(service, first, Purpose::Unanswered));
        let permit = permit.ok_or(Unplaced::NoServer)?;
        self.tried.push(target.server.clone());
        Ok(Placed {
            target,
            permit,
            ticket: None,
            repeat: self.repeat,
        })
    }

    /// Sends the request to a server, and to a second one too when it is repeatable and the first
    /// response takes long.
    async fn race(&mut self, placed: Placed) -> Vec<(Attempt, Permit)> {
        let (context, call) = (self.context.clone(), self.call.clone());
        let first = attempt(&context, &call, placed);
        let mut first = std::pin::pin!(first);
        if self.class == Class::Once || self.sends.remaining() < 2 {
            return vec![first.await];
        }
        let hedge = sleep(self.hedge_delay());
        if let Either::Left((result, _)) = select(first.as_mut(), std::pin::pin!(hedge)).await {
            return vec![result];
        }
        // The first response must not wait until it is certain that the request is refused. A second
        // server isn't put at risk by a request that may have crashed others.
        if self.context.is_suspect(&self.call) {
            return vec![first.await];
        }
        let occupied = self.context.occupied_servers(&self.call);
        self.repeat = Some(Repeat::Hedge);
        let Ok(placed) = self.next(&occupied) else {
            return vec![first.await];
        };
        let second = attempt(&context, &call, placed);
        let second = std::pin::pin!(second);
        let (result, other) = match select(first, second).await {
            Either::Left((result, other)) => (result, Either::Left(other)),
            Either::Right((result, other)) => (result, Either::Right(other)),
        };
        if result.0.ending == Ending::Answered {
            return vec![result];
        }
        let last = match other {
            Either::Left(other) => other.await,
            Either::Right(other) => other.await,
        };
        vec![result, last]
    }

    fn hedge_delay(&self) -> Duration {
        let objective = self.call.pass.objective;
        let mean = self.context.fleet.borrow().mean_time(&self.call.service);
        let (min_share, max_share) = HEDGE_DELAY_BOUNDS;
        mean.mul_f64(HEDGE_DELAY_FACTOR)
            .clamp(objective.mul_f64(min_share), objective.mul_f64(max_share))
    }

    fn timed_out(mut self) -> Response<Body> {
        // An attempt that was in progress at the deadline may have run.
        let step = self.sends.record(Ending::Lost);
        match (step, self.response.take()) {
            (Step::Answer, Some(response)) => response,
            _ => self.call.refuse(&Refusal::DeadlineExceeded),
        }
    }

    fn finish(mut self, step: Step) -> Response<Body> {
        match (step, self.response.take()) {
            (Step::Answer, Some(response)) => {
                let shutdown = &self.context.shutdown;
                let time = self.call.arrived.elapsed();
                shutdown.record_duration(&self.call.route, time);
                meter::outcome("answered", time);
                response
            }
            (Step::NotRun, _) => {
                let service = &self.call.service;
                let retry_after = || self.context.demands.overloads.retry_after(service);
                let refusal = self.context.backing_off(service);
                let refusal = refusal.or_else(|| retry_after().map(overloaded));
                let refusal = refusal.unwrap_or_else(|| self.context.unplaced_refusal(service));
                self.call.refuse(&refusal)
            }
            _ => self.call.refuse(&Refusal::Lost),
        }
    }
}

/// Returns why a request is sent once more after an attempt with an ending.
fn repeat_after(ending: Ending) -> Option<Repeat> {
    match ending {
        Ending::Answered => None,
        Ending::Failed => Some(Repeat::Failed),
        Ending::Declined => Some(Repeat::Declined),
        Ending::Misdirected => Some(Repeat::Misdirected),
        Ending::Unsent => Some(Repeat::Unsent),
        Ending::Lost => Some(Repeat::Lost),
    }
}

/// Returns the refusal of a request whose service is over capacity.
fn overloaded(retry_after: Duration) -> Refusal {
    Refusal::Overloaded(Rejection {
        reason: Reason::Late,
        retry_after,
    })
}

/// Sends the request to a server and reads its response. Returns the permit with the result.
async fn attempt<P: Protocol + 'static>(
    context: &Rc<Context<P>>,
    call: &Call,
    placed: Placed,
) -> (Attempt, Permit) {
    let Placed {
        target,
        permit,
        ticket,
        repeat,
    } = placed;
    let target = &target;
    let ticket = ticket.map(Rc::new);
    if let Some(repeat) = repeat {
        meter::repeat(&call.service, repeat.name());
    }
    let mut in_flight = InFlight::new(&context.fleet, &target.server, PLAIN_WORK);
    let _probation = context.suspects.probation.begin(&target.server);
    let _plain = context.begin_plain(call);
    let overloads = &context.demands.overloads;
    let objective = call.pass.objective;
    let mut sent = Sent::new(overloads, &call.service, &target.server, objective);
    // Dropping the attempt at the caller's deadline counts as a failure of the server.
    in_flight.set_outcome(Outcome::Failed);
    note!(
        forwarding::SENT,
        id = call.request.metadata.id.as_str(),
        server = target.server.as_str(),
        load = round_load(target.score.load),
        against = target.score.penalties,
        among = target.score.candidates,
        repeat = repeat.map(Repeat::name),
        retries_left = permit.left(),
        document = call.document.version
    );
    call.progress.sent(&target.server);
    let began = Instant::now();
    let mut trial = Trial::begin(&context.rollouts, call, target);
    let run = OpenRun {
        call: call.clone(),
        target: target.clone(),
        stage: Stage::Started,
        sent_at: clock::now(),
        ticket,
    };
    let mut unanswered = Unanswered::new(&context.crashes, run);
    let result = {
        let mut result = std::pin::pin!(send_and_read(context, &unanswered.run));
        match trial.overdue_at() {
            None => result.await,
            Some(at) => match timeout_at(at, result.as_mut()).await {
                Ok(result) => result,
                Err(_) => {
                    trial.check();
                    result.await
                }
            },
        }
    };
    unanswered.close();
    meter::send(match result.ending {
        Ending::Answered => "answered",
        Ending::Failed => "failed",
        Ending::Declined | Ending::Misdirected => "declined",
        Ending::Unsent => "unsent",
        Ending::Lost => "lost",
    });
    sent.set_ending(match result.ending {
        Ending::Answered | Ending::Failed => ServerEnding::Answered(began.elapsed()),
        // A faulty server may reject requests while it has room.
        Ending::Declined if context.fleet.borrow().is_full(&target.server) => {
            ServerEnding::Rejected
        }
        _ => ServerEnding::Other,
    });
    match result.ending {
        Ending::Answered => trial.answered(),
        Ending::Failed => trial.failed(),
        Ending::Declined | Ending::Misdirected | Ending::Unsent => trial.cancel(),
        Ending::Lost => {}
    }
    in_flight.set_outcome(match result.ending {
        Ending::Answered => Outcome::Served {
            time: began.elapsed(),
        },
        Ending::Failed | Ending::Lost | Ending::Unsent => Outcome::Failed,
        Ending::Declined | Ending::Misdirected => Outcome::Refused {
            retry_after: DEFAULT_RETRY_AFTER,
        },
    });
    if let Some(rest) = &result.rest {
        // The rest of the response decides.
        in_flight.set_outcome(Outcome::Cancelled);
        *rest.borrow_mut() = Some(in_flight);
    }
    (result, permit)
}

/// Waits for the response to a run, and meanwhile for the silence of its server.
async fn read_reply<P: Protocol + 'static>(
    context: &Rc<Context<P>>,
    run: &OpenRun,
    connection: &mut Connection,
) -> Result<(Head, Reply), upstream::Error> {
    let reply = context.sender.read_reply(&run.call.request, connection);
    let mut reply = std::pin::pin!(reply);
    let mut since = run.sent_at;
    loop {
        tokio::select! {
            biased;
            reply = reply.as_mut() => return reply,
            () = context.await_silence(run, since) => {}
        }
        context.check_silence(run.clone());
        since = clock::now();
    }
}

async fn send_and_read<P: Protocol + 'static>(context: &Rc<Context<P>>, run: &OpenRun) -> Attempt {
    let (call, target, sent_at) = (&run.call, &run.target, run.sent_at);
    let id = call.request.metadata.id.as_str();
    let server = target.server.as_str();
    let dispatch = Dispatch {
        server: &target.server,
        remaining: call.time_left(),
        team: call.team.as_ref(),
        after: None,
        backup: None,
        copy: None,
        urgency: None,
    };
    let sent = context.sender.send(&call.request, target, &dispatch).await;
    let mut connection = match sent {
        Ok(connection) => connection,
        Err(Failure::Unsent(error)) => {
            context
                .fleet
                .borrow_mut()
                .suspect(&target.server, suspicion_for(&error));
            let reason = error.to_string();
            note!(
                forwarding::DECLINED,
                id = id,
                server = server,
                reason = reason.as_str()
            );
            return Attempt::without_response(Ending::Unsent);
        }
    };
    let (head, reply) = match read_reply(context, run, &mut connection).await {
        Ok(reply) => reply,
        Err(error) => return lost_exchange(context, run, &error).await,
    };
    let status = head.status;
    context.record_heard(&target.server);
    context.record_reply(target, status, &reply, sent_at);
    if reply.not_run {
        // The head states that the server didn't run the request, which holds even if the body is
        // cut off.
        note!(
            forwarding::DECLINED,
            id = id,
            server = server,
            status = status.as_u16(),
            retry_after_ms = reply.retry_after_ms(),
            leaving = reply.leaving
        );
        let read = connection.read_body(MAX_BUFFERED_RESPONSE_BYTES);
        if let Ok(Ok(_)) = timeout(DECLINED_BODY_TIMEOUT, read).await {
            context.sender.release(connection);
        }
        if !reply.misdirected {
            return Attempt::without_response(Ending::Declined);
        }
        context.record_denial(target);
        return Attempt::without_response(Ending::Misdirected);
    }
    if !reply.signed || reply.encoded {
        return lost_attempt(call, server, "response not from the server");
    }
    let collected = match connection.read_body(MAX_BUFFERED_RESPONSE_BYTES).await {
        Ok(collected) => collected,
        Err(error) => return lost_exchange(context, run, &error).await,
    };
    context.record_heard(&target.server);
    let mut rest = None;
    let body = match collected {
        Collected::Complete(body) => {
            context.fleet.borrow_mut().mark_alive(&target.server);
            if status.is_success() && head.is_delimited() {
                context.record_life(call, Observation::Survived);
            }
            context.sender.release(connection);
            Body::whole(body)
        }
        Collected::Partial(first) => {
            let limit = match head.body_length() {
                Some(_) => u64::MAX,
                None => MAX_UNSTATED_BODY_BYTES,
            };
            let in_flight = rest.get_or_insert_with(Rest::default).clone();
            let body = LongBody {
                connection,
                first,
                limit,
                in_flight,
                survives: status.is_success() && head.is_delimited(),
            };
            body.pass_on(context, call, target)
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = context.sender.protocol().response_headers(head.headers);
    let ending = match status.is_server_error() {
        true => Ending::Failed,
        false => Ending::Answered,
    };
    let event = match ending {
        Ending::Failed => forwarding::FAILED,
        _ => forwarding::ANSWERED,
    };
    note!(
        event,
        id = id,
        server = server,
        status = status.as_u16(),
        ms = call.arrived.elapsed().as_millis() as u64
    );
    Attempt {
        ending,
        response: Some(response),
        rest,
    }
}

/// Body of a long response, of which a part was read.
struct LongBody {
    connection: Connection,
    first: Bytes,
    /// Maximum length, in bytes.
    limit: u64,
    in_flight: Rest,
    /// Whether its end shows that the run survived.
    survives: bool,
}

impl LongBody {
    /// Returns the part that was read, then the rest as it arrives. A server whose body breaks off or
    /// exceeds the limit counts as failed, although its head came in time.
    fn pass_on<P: Protocol + 'static>(
        self,
        context: &Rc<Context<P>>,
        call: &Call,
        target: &Target,
    ) -> Body {
        let LongBody {
            mut connection,
            first,
            limit,
            in_flight,
            survives,
        } = self;
        let (context, call) = (context.clone(), call.clone());
        let server = target.server.clone();
        let began = Instant::now();
        let end = move |outcome| {
            if let Some(in_flight) = in_flight.borrow_mut().as_mut() {
                in_flight.set_outcome(outcome);
            }
            in_flight.take();
        };
        Body::stream(stream! {
            let mut sent = first.len() as u64;
            yield Ok(first);
            let error = loop {
                match timeout_at(call.until, connection.data()).await {
                    Ok(Ok(Some(data))) if sent + data.len() as u64 <= limit => {
                        sent += data.len() as u64;
                        call.progress.heard();
                        yield Ok(data);
                    }
                    Ok(Ok(Some(_))) => break Some(upstream::Error::Excess(Bound::Body)),
                    Ok(Ok(None)) => break None,
                    Ok(Err(error)) => break Some(error),
                    Err(_) => break Some(upstream::Error::Timeout),
                }
            };
            let Some(error) = error else {
                call.progress.complete();
                let time = began.elapsed();
                end(Outcome::Served { time });
                context.fleet.borrow_mut().mark_alive(&server);
                if survives {
                    context.record_life(&call, Observation::Survived);
                }
                context.sender.release(connection);
                return;
            };
            let id = call.request.metadata.id.as_str();
            context.sender.report_excess(Some(id), &server, &error);
            end(Outcome::Failed);
            context.fleet.borrow_mut().suspect(&server, Suspicion::Disconnected);
            call.progress.left();
            let progress = &call.progress;
            meter::answer_cut(Closer::Response, progress.work());
            let stopping = context.shutdown.elapsed_until(Instant::now());
            note!(
                forwarding::INCOMPLETE,
                id = id,
                reason = error.to_string().as_str(),
                server = server.as_str(),
                work = progress.work().name(),
                silence_ms = progress.silence().map(|time| time.as_millis() as u64),
                stopping_ms = stopping.map(|time| time.as_millis() as u64),
                ms = call.arrived.elapsed().as_millis() as u64
            );
            yield Err(Abort);
        })
    }
}

/// Ends an attempt whose exchange failed.
async fn lost_exchange<P: Protocol + 'static>(
    context: &Rc<Context<P>>,
    run: &OpenRun,
    error: &upstream::Error,
) -> Attempt {
    let (call, target) = (&run.call, &run.target);
    let id = call.request.metadata.id.as_str();
    let excess = context
        .sender
        .report_excess(Some(id), &target.server, error);
    if !excess {
        context.check_crash(run.clone()).await;
    }
    lost_attempt(call, target.server.as_str(), &error.to_string())
}

fn lost_attempt(call: &Call, server: &str, reason: &str) -> Attempt {
    note!(
        forwarding::LOST,
        id = call.request.metadata.id.as_str(),
        server = server,
        fingerprint = format!("{:032x}", call.fingerprint()).as_str(),
        parts = call.part_ids().as_deref(),
        reason = reason
    );
    Attempt::without_response(Ending::Lost)
}

impl Attempt {
    fn without_response(ending: Ending) -> Attempt {
        Attempt {
            ending,
            response: None,
            rest: None,
        }
    }
}
