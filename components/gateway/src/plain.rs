//! Requests whose answer comes as a whole.

use std::{
    rc::Rc,
    time::Duration, //
};

use admission::Purpose;
use async_stream::stream;
use bytes::Bytes;
use contract::{
    attempt::Class,
    sends::{
        Ending,
        Sends,
        Verdict, //
    },
};
use environment::document::Repeats;
use events::{
    direct,
    note, //
};
use futures_util::future::{
    Either,
    select, //
};
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
    timeout_at, //
};

use upstream::{
    Connection,
    Whole, //
};

use crate::{
    body::{
        Abort,
        Body, //
    },
    edge::{
        Edge,
        Sending, //
    },
    fleet::{
        Charge,
        Chosen,
        rounded,
        suspicion, //
    },
    handle::{
        Call,
        Context, //
    },
    meter,
    moving::Pick,
    refuse::{
        COME_BACK,
        Refusal, //
    },
    sender::Failure, //
};

/// Longest answer that is read whole before the caller gets it, in bytes.
const WHOLE: usize = 256 * 1024;

/// Multiple of the usual time of an answer after which a request that may be repeated is sent to a
/// second server.
const HEDGE: f64 = 3.0;

/// Bounds of that time, as parts of the objective: sooner costs a send for little, later is late.
const HEDGE_WITHIN: (f64, f64) = (0.2, 0.6);

/// The work of a plain call.
const WORK: Work = Work {
    requests: 1,
    tokens: 0,
    unread: 0,
};

/// Answers a request.
pub async fn run<E: Edge + 'static>(context: &Rc<Context<E>>, call: Call) -> Response<Body> {
    let class = match call.pass.repeats {
        Repeats::Always => Class::Repeatable,
        Repeats::Never | Repeats::Resumes => Class::Once,
    };
    let plain = Plain {
        context,
        sends: Sends::new(class, call.pass.attempts),
        pick: context.moving.pick(&call.service, &call.route),
        call,
        class,
        tried: Vec::new(),
        unsent: 0,
        answer: None,
    };
    plain.run().await
}

/// One request from its arrival to its answer.
struct Plain<'a, E> {
    context: &'a Rc<Context<E>>,
    call: Call,
    /// Versions that it may go to.
    pick: Pick,
    class: Class,
    sends: Sends,
    /// Servers that it was sent to.
    tried: Vec<Server>,
    /// Sends that were counted and reached no server.
    unsent: u32,
    /// The last answer of a server.
    answer: Option<Response<Body>>,
}

/// What came of one send, and the server's answer if there was one.
struct End {
    ending: Ending,
    answer: Option<Response<Body>>,
}

impl<E: Edge + 'static> Plain<'_, E> {
    async fn run(mut self) -> Response<Body> {
        while let Some(chosen) = self.next() {
            let until = self.call.until;
            let Ok(ends) = timeout_at(until, self.race(chosen)).await else {
                return self.late();
            };
            let mut verdict = Verdict::Send;
            for end in ends {
                self.unsent += u32::from(end.ending == Ending::Unsent);
                self.answer = end.answer.or(self.answer.take());
                verdict = self.sends.ended(end.ending);
            }
            if verdict != Verdict::Send {
                return self.tell(verdict);
            }
        }
        let verdict = self.sends.give_up();
        self.tell(verdict)
    }

    /// Chooses the next server, if there is one and another send is allowed.
    fn next(&mut self) -> Option<Chosen> {
        let home = self.context.settings.borrow().data_centre.clone();
        let request = Request {
            service: &self.call.service,
            data_centre: &home,
            work: WORK,
            parts: &[],
            versions: self.pick.versions(),
            avoid: &self.tried,
            avoid_data_centre: None,
        };
        let chosen = self.context.fleet.borrow_mut().choose(&request)?;
        let first = self.tried.is_empty();
        let service = &self.call.service;
        // Only what may reach a server counts.
        if self.unsent > 0 {
            self.unsent -= 1;
        } else if !self.context.may_send(service, first, Purpose::First) {
            return None;
        }
        self.tried.push(chosen.server.clone());
        Some(chosen)
    }

    /// Sends the request; to a second server too when the first takes long and it may be repeated.
    async fn race(&mut self, chosen: Chosen) -> Vec<End> {
        let (context, call) = (self.context.clone(), self.call.clone());
        let first = attempt(&context, &call, &chosen);
        let mut first = std::pin::pin!(first);
        if self.class == Class::Once || self.sends.left() < 2 {
            return vec![first.await];
        }
        let hedge = sleep(self.hedge());
        if let Either::Left((end, _)) = select(first.as_mut(), std::pin::pin!(hedge)).await {
            return vec![end];
        }
        let Some(chosen) = self.next() else {
            return vec![first.await];
        };
        let second = attempt(&context, &call, &chosen);
        let second = std::pin::pin!(second);
        let (end, other) = match select(first, second).await {
            Either::Left((end, other)) => (end, Either::Left(other)),
            Either::Right((end, other)) => (end, Either::Right(other)),
        };
        if end.ending == Ending::Answered {
            return vec![end];
        }
        let last = match other {
            Either::Left(other) => other.await,
            Either::Right(other) => other.await,
        };
        vec![end, last]
    }

    fn hedge(&self) -> Duration {
        let objective = self.call.pass.objective;
        let usual = self.context.fleet.borrow().usual(&self.call.service);
        let (least, most) = HEDGE_WITHIN;
        usual
            .mul_f64(HEDGE)
            .clamp(objective.mul_f64(least), objective.mul_f64(most))
    }

    fn late(mut self) -> Response<Body> {
        // What was under way when the time ended may have run.
        let verdict = self.sends.ended(Ending::Lost);
        match (verdict, self.answer.take()) {
            (Verdict::Answer, Some(answer)) => answer,
            _ => self.call.refuse(&Refusal::Late),
        }
    }

    fn tell(mut self, verdict: Verdict) -> Response<Body> {
        match (verdict, self.answer.take()) {
            (Verdict::Answer, Some(answer)) => {
                let departure = &self.context.departure;
                let time = self.call.arrived.elapsed();
                departure.learn(&self.call.route, time);
                meter::outcome("answered", time);
                answer
            }
            (Verdict::NotRun, _) => self.call.refuse(&Refusal::NoServer),
            _ => self.call.refuse(&Refusal::Lost),
        }
    }
}

/// Sends the request to a server and reads its whole answer.
async fn attempt<E: Edge + 'static>(context: &Rc<Context<E>>, call: &Call, chosen: &Chosen) -> End {
    let mut charge = Charge::new(&context.fleet, &chosen.server, WORK);
    // A request whose caller's time ends meanwhile is the server's failure.
    charge.end(Outcome::Failed);
    note!(
        direct::SENT,
        id = call.packet.ask.id.as_str(),
        server = chosen.server.as_str(),
        load = rounded(chosen.why.load),
        against = chosen.why.penalties,
        among = chosen.why.candidates,
        document = call.basis.document
    );
    let began = Instant::now();
    let end = exchange(context, call, chosen).await;
    meter::send(match end.ending {
        Ending::Answered => "answered",
        Ending::Failed => "failed",
        Ending::Declined | Ending::Misdirected => "declined",
        Ending::Unsent => "unsent",
        Ending::Lost => "lost",
    });
    let time = match end.ending {
        Ending::Answered => Some(Some(began.elapsed())),
        Ending::Failed => Some(None),
        _ => None,
    };
    if let Some(time) = time {
        let moving = &context.moving;
        moving.ended(&call.service, &call.route, &chosen.version, time);
    }
    charge.end(match end.ending {
        Ending::Answered => Outcome::Served {
            time: began.elapsed(),
        },
        Ending::Failed | Ending::Lost | Ending::Unsent => Outcome::Failed,
        Ending::Declined | Ending::Misdirected => Outcome::Refused {
            retry_after: COME_BACK,
        },
    });
    end
}

async fn exchange<E: Edge + 'static>(
    context: &Rc<Context<E>>,
    call: &Call,
    chosen: &Chosen,
) -> End {
    let id = call.packet.ask.id.as_str();
    let server = chosen.server.as_str();
    let sending = Sending {
        server: &chosen.server,
        deadline: call.left(),
        team: call.team.as_ref(),
        after: None,
        backup: None,
        copy: None,
    };
    let sent = context.sender.send(&call.packet, chosen, &sending).await;
    let mut connection = match sent {
        Ok(connection) => connection,
        Err(Failure::Unsent(error)) => {
            context
                .fleet
                .borrow_mut()
                .lost(&chosen.server, suspicion(&error));
            let reason = error.to_string();
            note!(
                direct::DECLINED,
                id = id,
                server = server,
                reason = reason.as_str()
            );
            return End::without(Ending::Unsent);
        }
    };
    let (head, reply) = match context.sender.answer(&call.packet, &mut connection).await {
        Ok(answer) => answer,
        Err(error) => return lost(id, server, &error.to_string()),
    };
    let whole = connection.whole(WHOLE).await;
    let status = head.status;
    if reply.not_run {
        // What the server says of itself stands, also when its text is cut off.
        note!(
            direct::DECLINED,
            id = id,
            server = server,
            status = status.as_u16()
        );
        if whole.is_ok() {
            context.sender.keep(connection);
        }
        if !reply.other {
            return End::without(Ending::Declined);
        }
        context.fleet.borrow_mut().replaced(&chosen.server);
        context.sender.forget(chosen.address);
        return End::without(Ending::Misdirected);
    }
    let Ok(whole) = whole else {
        return lost(id, server, "answer cut off");
    };
    if !reply.signed || reply.encoded {
        return lost(id, server, "not the server's answer");
    }
    context.fleet.borrow_mut().alive(&chosen.server);
    let body = match whole {
        Whole::Complete(body) => {
            context.sender.keep(connection);
            Body::whole(body)
        }
        Whole::Longer(first) => rest(context, call, connection, first),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = context.sender.edge().headers(head.headers);
    let ending = match status.is_server_error() {
        true => Ending::Failed,
        false => Ending::Answered,
    };
    let event = match ending {
        Ending::Failed => direct::FAILED,
        _ => direct::ANSWERED,
    };
    note!(
        event,
        id = id,
        server = server,
        status = status.as_u16(),
        ms = call.arrived.elapsed().as_millis() as u64
    );
    End {
        ending,
        answer: Some(response),
    }
}

/// The body of a long answer: what was read of it, and the rest as it comes.
fn rest<E: Edge + 'static>(
    context: &Rc<Context<E>>,
    call: &Call,
    mut connection: Connection,
    first: Bytes,
) -> Body {
    let (context, until) = (context.clone(), call.until);
    Body::stream(stream! {
        yield Ok(first);
        loop {
            match timeout_at(until, connection.data()).await {
                Ok(Ok(Some(data))) => yield Ok(data),
                Ok(Ok(None)) => break,
                Ok(Err(_)) | Err(_) => {
                    yield Err(Abort);
                    return;
                }
            }
        }
        context.sender.keep(connection);
    })
}

fn lost(id: &str, server: &str, reason: &str) -> End {
    note!(direct::LOST, id = id, server = server, reason = reason);
    End::without(Ending::Lost)
}

impl End {
    fn without(ending: Ending) -> End {
        End {
            ending,
            answer: None,
        }
    }
}
