//! One run of a stream at one backend server.

use std::time::Duration;

use answer::{
    events::Splitter,
    loss::Loss,
    silence::{
        Advice,
        Expectation,
        Silence, //
    },
    threshold::Gaps, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use events::{
    direct,
    note, //
};
use http::{
    HeaderMap,
    Response,
    StatusCode, //
};
use routing::Outcome;
use tokio::time::{
    Instant,
    timeout_at, //
};
use upstream::{
    Connection,
    Data,
    Error,
    Head, //
};

use crate::{
    body::Body,
    edge::{
        Copy,
        Edge,
        Reply,
        Sending, //
    },
    fleet::{
        Charge,
        Chosen,
        Suspicion,
        rounded,
        suspicion, //
    },
    meter,
    refuse::COME_BACK,
    sender::Failure,
    stream::{
        Next,
        Story,
        backup::Backup, //
    },
};

/// Longest body of a failure that is read whole, in bytes.
const MAX_FAILURE_BODY: usize = 64 * 1024;

/// Longest wait for a server's next bytes before it is looked whether it is known to be over.
const MAX_FILL_WAIT: Duration = Duration::from_millis(400);

/// Pace at which it is looked whether the copy's holder is still there.
const BACKUP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for the body of a failure.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A run that gives events.
pub(super) struct Run {
    pub(super) chosen: Chosen,
    connection: Connection,
    charge: Charge,
    held: Option<Backup>,
    splitter: Splitter,
    silence: Silence,
    pub(super) began: Instant,
    heard: Instant,
    /// When its server last gave a sign of life.
    sound: Instant,
    /// When it was last seen to that there is a copy.
    looked: Instant,
    events: u64,
    complete: bool,
    /// The copy from which it was to go on; a server refuses it too when the copy isn't there.
    copy: Option<Copy>,
}

/// What the next look at a run gave.
pub(super) enum Step {
    /// Whole events, in order.
    Events(Bytes),
    /// The answer is complete.
    End,
    /// The run is lost.
    Lost(Loss),
    /// The time of the whole answer is over.
    Late,
}

/// What came of starting a run.
pub(super) enum Start {
    /// It answers.
    Running {
        run: Box<Run>,
        status: StatusCode,
        headers: HeaderMap,
    },
    /// The server answered with a failure of its own.
    Failed(Response<Body>),
    /// The server didn't run it.
    Declined,
    /// The server can't be reached, and no byte left.
    Unreachable,
    /// The server is over: another one got the request at its address, and didn't run it.
    Replaced,
    /// It may have run, or have begun to.
    Lost(Box<Next>),
    /// The time of the whole answer is over.
    Late,
}

/// What was waited for.
enum Heard {
    Head(Head, Reply),
    Data(Bytes),
    End,
    Lost(Loss),
    Late,
}

impl Run {
    /// Gives up the run; tells where its stream can go on.
    pub(super) fn lost(mut self, loss: Loss) -> Next {
        self.charge.end(Outcome::Failed);
        Next {
            loss,
            events: self.events,
            age: self.began.elapsed(),
            server: self.chosen.clone(),
            from: self.copy.take().filter(|_| self.events == 0),
            held: self.held.take().and_then(|held| {
                let copy = held.copy()?;
                Some((held.holder, copy))
            }),
        }
    }

    /// Ends the run after its whole answer; returns the connection.
    pub(super) fn finish(mut self) -> Option<Connection> {
        self.charge.end(Outcome::Served {
            time: self.began.elapsed(),
        });
        self.complete.then_some(self.connection)
    }

    /// Takes what was read of the answer.
    fn take<E: Edge>(&mut self, story: &Story<E>, head: bool) -> Result<Option<Heard>, Error> {
        if !head {
            return Ok(match self.connection.try_data()? {
                Data::Bytes(bytes) => Some(Heard::Data(bytes)),
                Data::End => Some(Heard::End),
                Data::More => None,
            });
        }
        let Some(head) = self.connection.try_head()? else {
            return Ok(None);
        };
        let packet = &story.call.packet;
        let reply = story.context.sender.reply(packet, &head);
        let reply = reply.ok_or(Error::Malformed("answer to another request"))?;
        Ok(Some(Heard::Head(head, reply)))
    }
}

impl<E: Edge + 'static> Story<E> {
    /// Waits for the next piece of a run's answer, or for a reason to give it up.
    async fn listen(&self, run: &mut Run, head: bool) -> Heard {
        loop {
            match run.take(self, head) {
                Ok(Some(heard)) => return heard,
                Ok(None) => {}
                Err(Error::Closed) => return Heard::Lost(Loss::Closed),
                Err(_) => return Heard::Lost(Loss::Malformed),
            }
            if self.over() {
                return Heard::Late;
            }
            if self.context.fleet.borrow().is_over(&run.chosen.server) {
                return Heard::Lost(Loss::Dark);
            }
            self.doubt(run);
            let silence = run.heard.elapsed();
            match run.silence.advise(silence) {
                Advice::Lost => return Heard::Lost(Loss::Silent),
                Advice::Leave => return Heard::Lost(Loss::Slow),
                Advice::Wait(limit) => {
                    let until = (run.heard + limit).min(self.call.until);
                    let until = until.min(Instant::now() + MAX_FILL_WAIT);
                    // A time-out is looked into at the next turn.
                    if let Ok(Err(_)) = timeout_at(until, run.connection.fill()).await {
                        return Heard::Lost(Loss::Reset);
                    }
                }
                Advice::Check => {
                    let check = self.context.sender.check(&run.chosen);
                    tokio::select! {
                        biased;
                        filled = run.connection.fill() => {
                            if filled.is_err() {
                                return Heard::Lost(Loss::Reset);
                            }
                        }
                        alive = check => {
                            if !alive {
                                return Heard::Lost(Loss::Dark);
                            }
                            run.sound = Instant::now();
                            run.silence.alive(run.heard.elapsed());
                        }
                    }
                }
                Advice::Inquire => {
                    let inquiry = self.context.sender.inquire(&run.chosen);
                    tokio::select! {
                        biased;
                        filled = run.connection.fill() => {
                            if filled.is_err() {
                                return Heard::Lost(Loss::Reset);
                            }
                        }
                        said = inquiry => match said {
                            None => return Heard::Lost(Loss::Dark),
                            Some(said) if said.lost(&self.call.packet.ask.id) => {
                                return Heard::Lost(Loss::Mute);
                            }
                            Some(_) => {
                                run.sound = Instant::now();
                                run.silence.alive(run.heard.elapsed());
                            }
                        }
                    }
                }
            }
        }
    }

    /// Takes note when others find the run's server dark after its last sign of life.
    fn doubt(&self, run: &mut Run) {
        let Some(age) = self.context.fleet.borrow().doubted(&run.chosen.server) else {
            return;
        };
        if age < run.sound.elapsed() {
            run.silence.doubt();
        }
    }

    /// The next whole events of a run.
    pub(super) async fn step(&mut self, run: &mut Run) -> Step {
        loop {
            self.hold(run);
            match self.cut(run) {
                Ok(out) if !out.is_empty() => return Step::Events(out),
                Ok(_) => {}
                Err(loss) => return self.broken(run, loss),
            }
            match self.listen(run, false).await {
                Heard::Data(data) => run.splitter.push(&data),
                Heard::End if run.splitter.torn() => return self.broken(run, Loss::Torn),
                Heard::End => {
                    run.complete = true;
                    return Step::End;
                }
                Heard::Head(..) => return self.broken(run, Loss::Malformed),
                Heard::Late => return Step::Late,
                Heard::Lost(loss) => return self.broken(run, loss),
            }
        }
    }

    /// Sees to it that another server holds a copy of the run's memory.
    fn hold(&self, run: &mut Run) {
        if run.events == 0 || Instant::now() < run.looked + BACKUP_CHECK_INTERVAL {
            return;
        }
        run.looked = Instant::now();
        let holds = |held: &Backup| self.context.fleet.borrow().usable(&held.holder.server);
        if !run.held.as_ref().is_some_and(holds) {
            let backup = self.backup(&run.chosen);
            run.held = backup.map(|(holder, charge)| Backup::asked(holder, charge));
        }
        if let Some(held) = &run.held {
            let id = &self.call.packet.ask.id;
            held.refresh(&self.context, &run.chosen, id, self.call.copy_kept);
        }
    }

    /// Cuts whole events off what was read, and leaves out those that the caller has.
    fn cut(&mut self, run: &mut Run) -> Result<Bytes, Loss> {
        let mut out = BytesMut::new();
        while let Some(event) = run.splitter.take().map_err(|_| Loss::Malformed)? {
            let now = Instant::now();
            run.silence.heard(now - run.heard);
            run.heard = now;
            run.sound = now;
            if run.events == 0 {
                run.charge.read(run.began.elapsed());
                let mut fleet = self.context.fleet.borrow_mut();
                fleet.alive(&run.chosen.server);
                fleet.has_read(self.parts(), &run.chosen.server);
            }
            run.events += 1;
            let fresh = match event.id {
                Some(id) => self.sequence.take(id),
                None => Ok(true),
            };
            match fresh {
                Ok(true) => out.extend_from_slice(&event.bytes),
                Ok(false) => {}
                // What was cut before it is good; the rest comes from another run.
                Err(_) if !out.is_empty() => break,
                Err(_) => return Err(Loss::Gap),
            }
        }
        Ok(out.freeze())
    }

    fn broken(&self, run: &Run, loss: Loss) -> Step {
        self.note(run, loss);
        Step::Lost(loss)
    }

    fn note(&self, run: &Run, loss: Loss) {
        meter::loss(loss.name());
        meter::send("lost");
        let server = &run.chosen.server;
        let mut fleet = self.context.fleet.borrow_mut();
        if loss.unreachable() {
            fleet.lost(server, Suspicion::Dark);
        } else if loss.at_once(run.events, run.began.elapsed()) {
            fleet.lost(server, Suspicion::Broke);
        }
        drop(fleet);
        // If it crashed, what rests there is dead too, and would pass for a run that was lost.
        self.context.sender.forget(run.chosen.address);
        note!(
            direct::LOST,
            id = self.call.packet.ask.id.as_str(),
            server = server.as_str(),
            data_centre = run.chosen.data_centre.as_str(),
            reason = loss.name(),
            events = run.events,
            copy = run.held.as_ref().map(|held| held.holder.server.as_str()),
            silence_ms = run.heard.elapsed().as_millis() as u64
        );
    }

    /// Starts a run, and waits for the head of its answer.
    pub(super) async fn start(&self, chosen: &Chosen, copy: Option<&Copy>) -> Start {
        let began = Instant::now();
        let mut work = self.work();
        let known = self
            .context
            .fleet
            .borrow()
            .known(self.parts(), &chosen.server);
        // A copy of a run that gave no event yet may hold hardly any of the prompt.
        work.unread = match copy {
            Some(_) if self.sequence.last().is_some() => 0,
            _ => work.unread.saturating_sub(known),
        };
        if self.sequence.last().is_none() {
            self.context.queue.sent(&self.call.service, work);
        }
        let held = self
            .backup(chosen)
            .map(|(holder, charge)| Backup::running(holder, charge, &self.call.packet.ask.id));
        let mut charge = Charge::new(&self.context.fleet, &chosen.server, work);
        let sending = Sending {
            server: &chosen.server,
            deadline: self.call.left(),
            team: self.call.team.as_ref(),
            after: self.sequence.last(),
            backup: held.as_ref().map(|held| held.holder.address),
            copy,
        };
        note!(
            direct::SENT,
            id = self.call.packet.ask.id.as_str(),
            server = chosen.server.as_str(),
            data_centre = chosen.data_centre.as_str(),
            load = rounded(chosen.why.load),
            against = chosen.why.penalties,
            among = chosen.why.candidates,
            document = self.call.basis.document,
            prompt = self.parts().last().map(|(part, _)| *part),
            attempt = self.ran.len() + 1,
            after = sending.after,
            left_ms = sending.deadline.map(|left| left.as_millis() as u64),
            copy = copy.is_some(),
            backup = held.as_ref().map(|held| held.holder.server.as_str())
        );
        let sent = self
            .context
            .sender
            .send(&self.call.packet, chosen, &sending);
        let connection = match timeout_at(self.call.until, sent).await {
            Err(_) => return Start::Late,
            Ok(Err(Failure::Unsent(error))) => {
                meter::send("unsent");
                charge.end(Outcome::Failed);
                let seen = suspicion(&error);
                self.context.fleet.borrow_mut().lost(&chosen.server, seen);
                note!(
                    direct::DECLINED,
                    id = self.call.packet.ask.id.as_str(),
                    server = chosen.server.as_str(),
                    reason = error.to_string().as_str()
                );
                return Start::Unreachable;
            }
            Ok(Ok(connection)) => connection,
        };
        let pass = &self.call.pass;
        let waited = self.sequence.last().is_some();
        let expected = (!waited).then(|| Expectation {
            here: self.context.fleet.borrow().expected(chosen),
            elsewhere: self.context.fleet.borrow().alone(chosen, work.unread),
            waited: self.call.arrived.elapsed(),
        });
        let mut run = Run {
            chosen: chosen.clone(),
            connection,
            charge,
            held,
            splitter: Splitter::default(),
            silence: Silence::new(pass.objective, pass.gap, Gaps::default(), expected),
            began,
            heard: began,
            sound: began,
            looked: began,
            events: 0,
            complete: false,
            copy: copy.cloned(),
        };
        match self.listen(&mut run, true).await {
            Heard::Head(head, reply) => self.started(run, head, reply).await,
            Heard::Late => Start::Late,
            Heard::Lost(loss) => {
                self.note(&run, loss);
                Start::Lost(Box::new(run.lost(loss)))
            }
            Heard::Data(_) | Heard::End => Start::Lost(Box::new(run.lost(Loss::Malformed))),
        }
    }

    async fn started(&self, mut run: Run, head: Head, reply: Reply) -> Start {
        let id = self.call.packet.ask.id.as_str();
        let server = run.chosen.server.clone();
        let status = head.status.as_u16();
        if reply.not_run {
            meter::send("declined");
            run.charge.end(Outcome::Refused {
                retry_after: reply.retry_after.unwrap_or(COME_BACK),
            });
            note!(
                direct::DECLINED,
                id = id,
                server = server.as_str(),
                status = status
            );
            if head.status == StatusCode::SERVICE_UNAVAILABLE && run.copy.is_none() {
                self.context
                    .fleet
                    .borrow_mut()
                    .lost(&server, Suspicion::Full);
            }
            if reply.other {
                let mut fleet = self.context.fleet.borrow_mut();
                // Servers that were lost together come back together, under names that aren't known
                // while the store is out.
                fleet.lost(&server, Suspicion::Refused);
                fleet.replaced(&server);
                drop(fleet);
                self.context.sender.forget(run.chosen.address);
            }
            if self.rest(&mut run).await.is_some() && !reply.other {
                self.context.sender.keep(run.connection);
            }
            return match reply.other {
                true => Start::Replaced,
                false => Start::Declined,
            };
        }
        let usable = reply.signed && !reply.encoded;
        if usable && head.status.is_success() {
            meter::send("answered");
            let headers = self.context.sender.edge().headers(head.headers);
            return Start::Running {
                run: Box::new(run),
                status: head.status,
                headers,
            };
        }
        meter::send("failed");
        run.charge.end(Outcome::Failed);
        note!(
            direct::FAILED,
            id = id,
            server = server.as_str(),
            status = status,
            signed = reply.signed
        );
        let body = self.rest(&mut run).await;
        let (Some(body), true) = (body, usable) else {
            return Start::Lost(Box::new(run.lost(Loss::Malformed)));
        };
        self.context.sender.keep(run.connection);
        let mut response = Response::new(Body::whole(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = self.context.sender.edge().headers(head.headers);
        Start::Failed(response)
    }

    /// Reads the body of an answer that isn't a stream.
    async fn rest(&self, run: &mut Run) -> Option<Bytes> {
        let whole = run.connection.whole(MAX_FAILURE_BODY);
        let whole = timeout_at(Instant::now() + FAILURE_BODY_TIMEOUT, whole).await;
        whole.ok()?.ok()?.complete()
    }
}
