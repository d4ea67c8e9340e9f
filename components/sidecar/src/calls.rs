//! Calls to the plain service beside this sidecar.

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
    flights::{
        Flying,
        Refusal, //
    },
    kept,
    service::{
        Handed,
        Service, //
    },
    shared::Shared,
    work::{
        Piece,
        Work, //
    }, //
};

/// Time to come back after a refusal.
const RETRY: Duration = Duration::from_secs(1);

/// Sends of kept calls that are remembered, so that each begins once.
const SENDS: usize = 4096;

/// Hands calls to the plain service.
pub struct Calls {
    service: Service,
    work: Work,
    seen: Mutex<Seen>,
}

impl Calls {
    pub(crate) fn new(settings: &Sidecar, work: Work) -> Self {
        Self {
            service: Service::new(settings),
            work,
            seen: Mutex::new(Seen::new(SENDS)),
        }
    }

    /// Hands a call over and sends what became of it.
    pub(crate) async fn call(&self, shared: &Shared, call: Call, mut stream: Stream) {
        let reply = match (self.admit(shared, &call), &call.recording) {
            (Err(reply), _) => reply,
            (Ok(_piece), kept) => match (shared.flights.admit(fingerprint(&call)).await, kept) {
                (Err(refusal), _) => apart(refusal),
                (Ok(flying), Some(kept)) => {
                    if self.begins(kept) {
                        kept::run(shared, &self.service, &call, kept, &flying, stream).await;
                    }
                    return;
                }
                (Ok(flying), None) => self.pass(shared, &call, &flying).await,
            }, //
        };
        if stream.send(&Frame::Reply(reply)).await.is_ok() {
            stream.sender.finish();
            stream.sender.stopped().await;
        }
    }

    /// Refuses a call before anything was done about it.
    fn admit(&self, shared: &Shared, call: &Call) -> Result<Piece, Reply> {
        if shared.leaving.is_cancelled() {
            return Err(not_run(Reason::Leaving));
        }
        if shared.settings.server.kind != Kind::Plain
            || Method::from_bytes(call.method.as_bytes()).is_err()
        {
            return Err(not_run(Reason::Invalid));
        }
        self.work
            .begin(shared.settings.limits.runs)
            .ok_or_else(|| not_run(Reason::Full))
    }

    fn begins(&self, kept: &Recording) -> bool {
        let mut seen = self.seen.lock().expect("no panic while held");
        seen.begin(kept.send_id)
    }

    /// Passes a call on of which no record is kept.
    async fn pass(&self, shared: &Shared, call: &Call, flying: &Flying) -> Reply {
        match timeout(
            shared.settings.times.call,
            self.service.hand_over(call, flying),
        )
        .await
        {
            Ok(Handed::Answered {
                status,
                content_type,
                body,
            }) => Reply::Ran {
                status,
                content_type,
                body,
                replayed: false,
            },
            Ok(Handed::NotSent) => not_run(Reason::Down),
            Ok(Handed::Lost) | Err(_) => Reply::Unknown,
        }
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    let digest = record::digest(&call.method, &call.path, &call.body);
    poison::of_call(&call.team, &call.service, &digest)
}

fn apart(refusal: Refusal) -> Reply {
    match refusal {
        Refusal::Poisonous(left) => Reply::NotRun(Refused {
            reason: Reason::Poisonous,
            retry_after: left,
        }),
        Refusal::Apart => not_run(Reason::Apart),
    }
}

fn not_run(reason: Reason) -> Reply {
    Reply::NotRun(Refused {
        reason,
        retry_after: RETRY,
    })
}
