//! Streams of events, which go on elsewhere when their server is lost.

use std::{
    rc::Rc,
    time::Duration, //
};

use admission::{
    Answer,
    Purpose, //
};
use answer::events::Sequence;
use async_stream::stream;
use bytes::Bytes;
use environment::document::Repeats;
use events::{
    direct,
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
    edge::Edge,
    fleet::Chosen,
    handle::{
        Call,
        Context, //
    },
    meter,
    moving::Pick,
    queue::{
        self,
        Place, //
    },
    refuse::Refusal,
    stream::{
        resumption::{
            Next,
            Resumption, //
        },
        run::{
            Run,
            Start,
            Step, //
        },
    },
};

mod backup;
mod place;
mod resumption;
mod run;

/// Sends that a server declined after which a request is refused.
const DECLINED: u32 = 4;

/// Servers in a row that can't be reached after which a request is refused, or one that has begun
/// waits before each further try. What is known of the rest is no better then.
const UNREACHABLE: u32 = 8;

/// Time between tries while servers can't be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);

/// Answers a request with a stream.
pub async fn run<E: Edge + 'static>(context: &Rc<Context<E>>, call: Call) -> Response<Body> {
    let mut story = Story {
        leaving: Leaving::new(&call),
        context: context.clone(),
        sequence: Sequence::after(call.packet.ask.after),
        pick: Pick::default(),
        call,
        place: None,
        tried: Vec::new(),
        ran: Vec::new(),
        lost: None,
        unsent: 0,
        unreachable: 0,
        heard: Instant::now(),
        first: None,
        gap: Duration::ZERO,
    };
    let begun = match story.begin().await {
        Ok(begun) => begun,
        Err(response) => {
            story.leaving.done = true;
            return response;
        }
    };
    let (status, headers) = (begun.status, begun.headers);
    let mut response = Response::new(Body::stream(story.events(begun.run)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A run that answered, and the head that its caller gets.
struct Begun {
    run: Box<Run>,
    status: StatusCode,
    headers: HeaderMap,
}

/// One stream from its request to its end.
struct Story<E> {
    leaving: Leaving,
    context: Rc<Context<E>>,
    call: Call,
    /// Versions that it may go to.
    pick: Pick,
    sequence: Sequence,
    /// Its place among the requests that the engines have room for.
    place: Option<Place>,
    /// Servers that it was sent to.
    tried: Vec<Server>,
    /// Servers at which it may have run.
    ran: Vec<Server>,
    /// Server of the run that was lost last.
    lost: Option<Server>,
    /// Sends that were counted and reached no server.
    unsent: u32,
    /// Servers in a row that couldn't be reached.
    unreachable: u32,
    /// When the caller was last sent an event, or the request came.
    heard: Instant,
    /// Time from the request to its first event.
    first: Option<Duration>,
    /// Longest time between two events.
    gap: Duration,
}

impl<E: Edge + 'static> Story<E> {
    /// Starts runs until one answers, or there is nothing left to try.
    async fn begin(&mut self) -> Result<Begun, Response<Body>> {
        self.cache_lookup().await;
        let work = self.work();
        match queue::enter(&self.context, &self.call, work).await {
            Ok(place) => self.place = Some(place),
            Err(refusal) => return Err(self.call.refuse(&refusal)),
        }
        let (service, route) = (&self.call.service, &self.call.route);
        self.pick = self.context.moving.pick(service, route);
        let mut declined = 0;
        let mut failure = None;
        let mut next = None;
        let mut first = true;
        let mut spent = false;
        while let Some((chosen, copy)) = self.choose(&mut next) {
            if self.ran.is_empty() && !self.worth_trying(&chosen) {
                return Err(self.call.refuse(&Refusal::Hopeless));
            }
            if !self.may_send(first, Purpose::First) {
                spent = true;
                break;
            }
            first = false;
            match self.start(&chosen, copy.as_ref()).await {
                Start::Running {
                    run,
                    status,
                    headers,
                } => {
                    self.unreachable = 0;
                    return Ok(Begun {
                        run,
                        status,
                        headers,
                    });
                }
                Start::Late => {
                    return Err(failure.unwrap_or_else(|| self.call.refuse(&Refusal::Late)));
                }
                Start::Unreachable | Start::Replaced
                    if self.ran.is_empty() && self.unreachable >= UNREACHABLE =>
                {
                    break;
                }
                Start::Unreachable => {
                    self.unsent += 1;
                    self.unreachable().await;
                }
                Start::Replaced => self.unreachable().await,
                Start::Declined => {
                    declined += 1;
                    if declined > DECLINED {
                        break;
                    }
                }
                Start::Failed(response) => {
                    self.judged(&chosen, None);
                    self.ran(&chosen);
                    failure = Some(response);
                }
                Start::Lost(lost) => self.onward(&mut next, *lost),
            }
            if self.over() {
                break;
            }
            // The move may have ended meanwhile, and the servers that it left with it.
            self.pick = self.context.moving.limit(&self.call.service);
        }
        Err(match failure {
            Some(response) => response,
            None if self.ran.is_empty() && spent => self.call.refuse(&Refusal::Spent),
            None if self.ran.is_empty() && self.over() => self.call.refuse(&Refusal::Expired),
            None if self.ran.is_empty() => self.call.refuse(&Refusal::NoServer),
            None => self.call.refuse(&Refusal::Lost),
        })
    }

    fn over(&self) -> bool {
        Instant::now() >= self.call.until
    }

    /// Counts a send; `false` when it is a retry and there is none left. Only what may reach a server
    /// is one.
    fn may_send(&mut self, first: bool, purpose: Purpose) -> bool {
        if self.unsent > 0 {
            self.unsent -= 1;
            return true;
        }
        self.context.may_send(&self.call.service, first, purpose)
    }

    /// Notes that a server couldn't be reached, or is over, and waits when many can't.
    async fn unreachable(&mut self) {
        self.unreachable += 1;
        if self.unreachable > UNREACHABLE {
            sleep(UNREACHABLE_BACKOFF).await;
        }
    }

    /// Notes that the request may have run at a server.
    fn ran(&mut self, chosen: &Chosen) {
        if !self.ran.contains(&chosen.server) {
            self.ran.push(chosen.server.clone());
        }
    }

    /// Whether the request may be sent to a server, as far as repeats are concerned.
    fn may(&self, server: &Server) -> bool {
        if self.ran.is_empty() {
            return true;
        }
        let repeats = self.call.pass.repeats != Repeats::Never;
        let known = self.ran.contains(server);
        repeats && (known || self.ran.len() < self.call.pass.attempts as usize)
    }

    /// Events until the answer is complete, from as many runs as it takes.
    fn events(mut self, run: Box<Run>) -> impl Stream<Item = Result<Bytes, Abort>> {
        stream! {
            let mut run = run;
            let reason = loop {
                match self.step(&mut run).await {
                    Step::Events(bytes) => {
                        self.delivered(&run);
                        yield Ok(bytes);
                    }
                    Step::End => {
                        self.leaving.done = true;
                        self.finish(*run);
                        return;
                    }
                    Step::Late => break "late",
                    Step::Lost(loss) => {
                        // The old run is over before the next one begins.
                        let lost = run.lost(loss);
                        match self.resume(lost).await {
                            Some(next) => run = next,
                            None => break "nowhere to go on",
                        }
                    }
                }
            };
            self.leaving.done = true;
            meter::outcome("cut", self.call.arrived.elapsed());
            note!(
                direct::CUT,
                id = self.call.packet.ask.id.as_str(),
                reason = reason,
                attempts = self.ran.len(),
                last = self.sequence.last(),
                ms = self.call.arrived.elapsed().as_millis() as u64
            );
            yield Err(Abort);
        }
    }

    /// Notes that events go to the caller.
    fn delivered(&mut self, run: &Run) {
        let now = Instant::now();
        match self.first {
            None => {
                let first = now - self.call.arrived;
                meter::first(first);
                // Of a stream that comes back the first event says nothing of a prompt.
                if self.call.packet.ask.after.is_none() {
                    self.judged(&run.chosen, Some(run.began.elapsed()));
                }
                self.first = Some(first);
                if let Some(place) = &self.place {
                    place.first();
                }
            }
            Some(_) => self.gap = self.gap.max(now - self.heard),
        }
        self.heard = now;
    }

    fn finish(&self, run: Run) {
        note!(
            direct::ANSWERED,
            id = self.call.packet.ask.id.as_str(),
            server = run.chosen.server.as_str(),
            attempts = self.ran.len() + 1,
            first_ms = self.first.map(|first| first.as_millis() as u64),
            gap_ms = self.gap.as_millis() as u64,
            ms = self.call.arrived.elapsed().as_millis() as u64
        );
        let departure = &self.context.departure;
        departure.learn(&self.call.route, self.call.arrived.elapsed());
        if let (None, Some(first), Some(events)) =
            (self.call.packet.ask.after, self.first, self.sequence.last())
        {
            let time = self.call.arrived.elapsed().saturating_sub(first);
            let answer = Answer { events, time };
            self.context
                .outlook
                .borrow_mut()
                .record(&self.call.route, answer);
        }
        meter::outcome("answered", self.call.arrived.elapsed());
        meter::gap(self.gap);
        if let Some(connection) = run.finish() {
            self.context.sender.keep(connection);
        }
    }

    async fn resume(&mut self, lost: Next) -> Option<Box<Run>> {
        if self.call.pass.repeats != Repeats::Resumes {
            return None;
        }
        let mut next = None;
        self.pick = self.context.moving.limit(&self.call.service);
        self.onward(&mut next, lost);
        let mut declined = 0;
        while !self.over() {
            let (chosen, copy) = self.choose(&mut next)?;
            if !self.may_send(false, Purpose::Resume) {
                return None;
            }
            match self.start(&chosen, copy.as_ref()).await {
                Start::Running { run, .. } => {
                    self.unreachable = 0;
                    let same = self.ran.last() == Some(&chosen.server);
                    let from = match (copy.is_some(), same) {
                        (true, _) => "copy",
                        (false, true) => "same",
                        (false, false) => "anew",
                    };
                    meter::resumed(from, self.heard.elapsed());
                    note!(
                        direct::RESUMED,
                        id = self.call.packet.ask.id.as_str(),
                        server = chosen.server.as_str(),
                        last = self.sequence.last(),
                        from = from,
                        attempts = self.ran.len() + 1,
                        gap_ms = self.heard.elapsed().as_millis() as u64
                    );
                    return Some(run);
                }
                Start::Late => return None,
                Start::Failed(_) => self.ran(&chosen),
                Start::Lost(lost) => self.onward(&mut next, *lost),
                Start::Unreachable => {
                    self.unsent += 1;
                    self.unreachable().await;
                }
                Start::Replaced => self.unreachable().await,
                Start::Declined => {
                    declined += 1;
                    if declined > DECLINED {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Notes what a version did with the request.
    fn judged(&self, chosen: &Chosen, time: Option<Duration>) {
        let (service, route) = (&self.call.service, &self.call.route);
        self.context
            .moving
            .ended(service, route, &chosen.version, time);
    }

    /// Takes a loss into what is left to try. A run that was lost before it gave an event has no
    /// copy of its own; the one of the run before it still stands.
    fn onward(&mut self, next: &mut Option<Resumption>, lost: Next) {
        self.ran(&lost.server);
        let server = lost.server.server.clone();
        let again = self.lost.replace(server) == Some(lost.server.server.clone());
        if again && let Some(onward) = next {
            onward.skip_same();
            return;
        }
        *next = Some(Resumption::new(lost, again));
    }
}

/// Notes that the caller went away, when the answer is dropped before it is complete.
struct Leaving {
    id: String,
    arrived: Instant,
    done: bool,
}

impl Leaving {
    fn new(call: &Call) -> Leaving {
        Leaving {
            id: call.packet.ask.id.clone(),
            arrived: call.arrived,
            done: false,
        }
    }
}

impl Drop for Leaving {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        meter::outcome("abandoned", self.arrived.elapsed());
        note!(
            direct::ABANDONED,
            id = self.id.as_str(),
            ms = self.arrived.elapsed().as_millis() as u64
        );
    }
}
