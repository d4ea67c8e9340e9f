//! Kept calls: the driver of the decisions in [`contract::handover`].

use std::{
    pin::Pin,
    time::Duration, //
};

use contract::{
    handover::{
        Action,
        Call,
        Event,
        Handover,
        Settings, //
    },
    record::{
        self,
        Response, //
    },
    store::Write,
};
use events::calls;
use tokio::time::sleep;
use wire::{
    Frame,
    Stream,
    frame::{
        self,
        Recording,
        Reply, //
    }, //
};

use crate::{
    flights::Flying,
    service::{
        Handed,
        Service, //
    },
    shared::Shared,
};

type Next<'a> = Pin<Box<dyn Future<Output = Event> + Send + 'a>>;

/// Runs a kept call to its end: record, hand-over, outcome. It goes on when the entry is gone.
pub(crate) async fn run(
    shared: &Shared,
    service: &Service,
    call: &frame::Call,
    kept: &Recording,
    flying: &Flying,
    stream: Stream,
) {
    let mut driver = Driver {
        shared,
        service,
        call,
        key: record::key(
            &call.service,
            &call.team,
            call.key.as_deref().unwrap_or_default(),
        ),
        machine: Handover::new(
            Call {
                base: kept.base_revision,
                digest: kept.digest.clone(),
                server: shared.settings.server.name.clone(),
                nonce: rand::random(),
                ask: kept.status_path.clone(),
            },
            Settings::default(),
        ),
        flying,
        stream,
        gone: false,
    };
    let mut next = driver.handle(Event::Asked).await;
    while let Some(mut event) = next.take() {
        let silence = sleep(shared.settings.times.call);
        tokio::pin!(silence);
        let mut silent = false;
        let came = loop {
            tokio::select! {
                came = &mut event => break came,
                () = driver.stream.sender.stopped(), if !driver.gone => {
                    driver.gone = true;
                    driver.handle(Event::Gone).await;
                }
                () = &mut silence, if driver.machine.running() && !silent => {
                    silent = true;
                    driver.handle(Event::Silent).await;
                }
            }
        };
        drop(event);
        next = driver.handle(came).await;
    }
}

struct Driver<'a> {
    shared: &'a Shared,
    service: &'a Service,
    call: &'a frame::Call,
    flying: &'a Flying,
    key: String,
    machine: Handover,
    stream: Stream,
    gone: bool,
}

impl<'a> Driver<'a> {
    /// Lets the decisions take an event; gives what brings the next one.
    async fn handle(&mut self, event: Event) -> Option<Next<'a>> {
        let mut next = None;
        let actions = self.machine.handle(event, self.shared.now());
        for action in actions {
            let (shared, service, call, flying) =
                (self.shared, self.service, self.call, self.flying);
            let key = self.key.clone();
            next = match action {
                Action::Reply(reply) => {
                    self.reply(reply).await;
                    continue;
                }
                Action::Create { expect, record } => future(async move {
                    Event::Created(shared.records.write(&key, expect, &record).await)
                }),
                Action::Write { expect, record } => future(async move {
                    let write = shared.records.write(&key, expect, &record).await;
                    note(&key, &write);
                    Event::Written(write)
                }),
                Action::ReadBack => {
                    future(async move { Event::Read(shared.records.read(&key).await) })
                }
                Action::HandOver => {
                    future(async move { came(service.hand_over(call, flying).await) })
                }
                Action::Wait(time) => future(wait(time)),
            };
        }
        next
    }

    async fn reply(&mut self, reply: contract::handover::Reply) {
        let frame = Frame::Reply(Reply::Kept(Box::new(reply)));
        if self.stream.send(&frame).await.is_ok() {
            self.stream.sender.finish();
        }
        // What is left to do doesn't depend on the entry any more.
        self.gone = true;
    }
}

fn future<'a>(future: impl Future<Output = Event> + Send + 'a) -> Option<Next<'a>> {
    Some(Box::pin(future))
}

async fn wait(time: Duration) -> Event {
    sleep(time).await;
    Event::Waited
}

fn came(handed: Handed) -> Event {
    match handed {
        Handed::Answered {
            status,
            content_type,
            body,
        } => Event::Answered(Response {
            status,
            content_type: content_type.unwrap_or_default(),
            body,
        }),
        Handed::NotSent => Event::Unreachable,
        Handed::Lost => Event::Died,
    }
}

/// An outcome that can't be recorded makes a later request with the key `unknown`.
fn note(key: &str, write: &Write) {
    if matches!(write, Write::Refused | Write::Unanswered) {
        events::emit!(calls::UNRECORDED, "key={key}");
    }
}
