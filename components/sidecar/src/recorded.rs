//! Recorded calls: the driver of the state machine in [`contract::forwarder`].

use std::{
    pin::Pin,
    time::Duration, //
};

use contract::{
    forwarder::{
        Action,
        Call,
        Event,
        Forwarder,
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
    context::Context,
    inflight::Guard,
    service::{
        Outcome,
        Service, //
    },
};

type NextEvent<'a> = Pin<Box<dyn Future<Output = Event> + Send + 'a>>;

/// Runs a recorded call to its end: creates the record, forwards the call and records the outcome.
/// Continues after the entry has disconnected.
pub(crate) async fn run(
    context: &Context,
    service: &Service,
    call: &frame::Call,
    recording: &Recording,
    guard: &Guard,
    stream: Stream,
) {
    let mut driver = Driver {
        context,
        service,
        call,
        key: record::key(
            &call.service,
            &call.team,
            call.key.as_deref().unwrap_or_default(),
        ),
        forwarder: Forwarder::new(
            Call {
                base_revision: recording.base_revision,
                digest: recording.digest.clone(),
                server: context.settings.server.name.clone(),
                nonce: rand::random(),
                status_path: recording.status_path.clone(),
            },
            Settings::default(),
        ),
        guard,
        stream,
        entry_gone: false,
    };
    let mut next = driver.handle(Event::Requested).await;
    while let Some(mut event) = next.take() {
        let call_timeout = sleep(context.settings.times.call);
        tokio::pin!(call_timeout);
        let mut timeout_reported = false;
        let completed = loop {
            tokio::select! {
                completed = &mut event => break completed,
                () = driver.stream.sender.stopped(), if !driver.entry_gone => {
                    driver.entry_gone = true;
                    driver.handle(Event::EntryGone).await;
                }
                () = &mut call_timeout, if driver.forwarder.running() && !timeout_reported => {
                    timeout_reported = true;
                    driver.handle(Event::TimedOut).await;
                }
            }
        };
        drop(event);
        next = driver.handle(completed).await;
    }
}

struct Driver<'a> {
    context: &'a Context,
    service: &'a Service,
    call: &'a frame::Call,
    guard: &'a Guard,
    key: String,
    forwarder: Forwarder,
    stream: Stream,
    entry_gone: bool,
}

impl<'a> Driver<'a> {
    /// Passes an event to the state machine and carries out its actions; returns the future that
    /// yields the next event.
    async fn handle(&mut self, event: Event) -> Option<NextEvent<'a>> {
        let mut next = None;
        let actions = self.forwarder.handle(event, self.context.now());
        for action in actions {
            let (context, service, call, guard) =
                (self.context, self.service, self.call, self.guard);
            let key = self.key.clone();
            next = match action {
                Action::Reply(reply) => {
                    self.reply(reply).await;
                    continue;
                }
                Action::Create { expect, record } => boxed(async move {
                    Event::Created(context.records.write(&key, expect, &record).await)
                }),
                Action::Write { expect, record } => boxed(async move {
                    let write = context.records.write(&key, expect, &record).await;
                    report_unrecorded(&key, &write);
                    Event::Written(write)
                }),
                Action::ReadBack => {
                    boxed(async move { Event::Read(context.records.read(&key).await) })
                }
                Action::Forward => {
                    boxed(async move { outcome_event(service.forward(call, guard).await) })
                }
                Action::Wait(time) => boxed(wait(time)),
            };
        }
        next
    }

    async fn reply(&mut self, reply: contract::forwarder::Reply) {
        let frame = Frame::Reply(Reply::Kept(Box::new(reply)));
        if self.stream.send(&frame).await.is_ok() {
            self.stream.sender.finish();
        }
        // The remaining actions don't need the entry, so its connection isn't watched any longer.
        self.entry_gone = true;
    }
}

fn boxed<'a>(future: impl Future<Output = Event> + Send + 'a) -> Option<NextEvent<'a>> {
    Some(Box::pin(future))
}

async fn wait(time: Duration) -> Event {
    sleep(time).await;
    Event::TimerFired
}

fn outcome_event(outcome: Outcome) -> Event {
    match outcome {
        Outcome::Answered {
            status,
            content_type,
            body,
        } => Event::Answered(Response {
            status,
            content_type: content_type.unwrap_or_default(),
            body,
        }),
        Outcome::NotSent => Event::Unreachable,
        Outcome::Lost => Event::ConnectionLost,
    }
}

/// Reports an outcome that could not be recorded; a later request with the same key then gets
/// `unknown`.
fn report_unrecorded(key: &str, write: &Write) {
    if matches!(write, Write::Refused | Write::Unanswered) {
        events::emit!(calls::UNRECORDED, "key={key}");
    }
}
