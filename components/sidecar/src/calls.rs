//! Calls to the plain service behind this sidecar.

use std::{
    sync::Mutex,
    time::Duration, //
};

use contract::{
    poison::{
        self,
        Fingerprint, //
    },
    record,
    seen::Seen, //
};

use reqwest::Method;
use settings::{
    Sidecar,
    sidecar::Kind, //
};
use tokio::time::timeout;
use wire::{
    Frame,
    Stream,
    frame::{
        Call,
        Reason,
        Recording,
        Refused,
        Reply, //
    }, //
};

use crate::{
    concurrency::{
        Counter,
        Permit, //
    },
    context::Context,
    inflight::{
        Guard,
        Refusal, //
    },
    recorded,
    service::{
        Outcome,
        Service, //
    }, //
};

/// Retry delay that callers receive with a refusal.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of remembered send ids of recorded calls. A send whose id is known is a duplicate
/// and is not started again.
const MAX_REMEMBERED_SENDS: usize = 4096;

/// Forwards calls to the plain service.
pub struct Calls {
    service: Service,
    concurrency: Counter,
    seen_sends: Mutex<Seen>,
}

impl Calls {
    pub(crate) fn new(settings: &Sidecar, concurrency: Counter) -> Self {
        Self {
            service: Service::new(settings),
            concurrency,
            seen_sends: Mutex::new(Seen::new(MAX_REMEMBERED_SENDS)),
        }
    }

    /// Forwards a call and sends its outcome on the stream.
    pub(crate) async fn handle(&self, context: &Context, call: Call, mut stream: Stream) {
        let reply = match (self.admit(context, &call), &call.recording) {
            (Err(reply), _) => reply,
            (Ok(_permit), record) => {
                match (context.inflight.admit(fingerprint(&call)).await, record) {
                    (Err(refusal), _) => refusal_reply(refusal),
                    (Ok(guard), Some(record)) => {
                        if self.is_first_send(record) {
                            recorded::run(context, &self.service, &call, record, &guard, stream)
                                .await;
                        }
                        return;
                    }
                    (Ok(guard), None) => self.forward(context, &call, &guard).await,
                }
            } //
        };
        if stream.send(&Frame::Reply(reply)).await.is_ok() {
            stream.sender.finish();
            stream.sender.stopped().await;
        }
    }

    /// Admits a call, or refuses it before it has any effect.
    fn admit(&self, context: &Context, call: &Call) -> Result<Permit, Reply> {
        if context.leaving.is_cancelled() {
            return Err(not_run(Reason::Leaving));
        }
        if context.settings.server.kind != Kind::Plain
            || Method::from_bytes(call.method.as_bytes()).is_err()
        {
            return Err(not_run(Reason::Invalid));
        }
        self.concurrency
            .acquire(context.settings.limits.runs)
            .ok_or_else(|| not_run(Reason::Full))
    }

    fn is_first_send(&self, recording: &Recording) -> bool {
        let mut seen = self.seen_sends.lock().expect("no panic while held");
        seen.insert(recording.send_id)
    }

    /// Forwards a call without a record.
    async fn forward(&self, context: &Context, call: &Call, guard: &Guard) -> Reply {
        match timeout(
            context.settings.times.call,
            self.service.forward(call, guard),
        )
        .await
        {
            Ok(Outcome::Answered {
                status,
                content_type,
                body,
            }) => Reply::Ran {
                status,
                content_type,
                body,
                replayed: false,
            },
            Ok(Outcome::NotSent) => not_run(Reason::Down),
            Ok(Outcome::Lost) | Err(_) => Reply::Unknown,
        }
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    let digest = record::digest(&call.method, &call.path, &call.body);
    poison::call_fingerprint(&call.team, &call.service, &digest)
}

fn refusal_reply(refusal: Refusal) -> Reply {
    match refusal {
        Refusal::Poisonous(left) => Reply::NotRun(Refused {
            reason: Reason::Poisonous,
            retry_after: left,
        }),
        Refusal::Deferred => not_run(Reason::Apart),
    }
}

fn not_run(reason: Reason) -> Reply {
    Reply::NotRun(Refused {
        reason,
        retry_after: REFUSAL_RETRY_AFTER,
    })
}
