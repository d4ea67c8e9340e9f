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

use reqwest::{
    Client,
    Method,
    header::{
        ACCEPT,
        CONTENT_TYPE, //
    }, //
};
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
        Kept,
        Reason,
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
    state::{
        Piece,
        State,
        Work, //
    }, //
};

/// Header with the caller's key.
const KEY: &str = "idempotency-key";

/// Header with the caller's team.
const TEAM: &str = "x-medlarhatch-team";

/// Time to come back after a refusal.
const RETRY: Duration = Duration::from_secs(1);

/// Sends of kept calls that are remembered, so that each begins once.
const SENDS: usize = 4096;

/// A service that answers after the time limit of a call may still do so for this many times it,
/// so that the outcome gets recorded.
const LATE: u32 = 5;

/// What came of a hand-over.
pub(crate) enum Handed {
    /// The service answered.
    Answered {
        status: u16,
        content_type: Option<String>,
        body: Vec<u8>,
    },
    /// No connection, so no byte of the call left this process.
    NotSent,
    /// The service had the call, and its answer was lost.
    Lost,
}

/// Hands calls to the plain service.
pub struct Calls {
    client: Client,
    address: String,
    most: u64,
    work: Work,
    seen: Mutex<Seen>,
}

impl Calls {
    pub(crate) fn new(settings: &Sidecar, work: Work) -> Self {
        // Each call gets a connection of its own: on one that was used before, a service that died
        // in between looks like one that died with the call. Nothing is sent again unseen.
        let client = Client::builder()
            .timeout(settings.times.call * LATE)
            .connect_timeout(settings.times.silence)
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .expect("a client without TLS can always be built");
        Self {
            client,
            address: settings.server.address.clone(),
            most: settings.limits.answer,
            work,
            seen: Mutex::new(Seen::new(SENDS)),
        }
    }

    /// Hands a call over and sends what became of it.
    pub(crate) async fn call(&self, state: &State, call: Call, mut stream: Stream) {
        let reply = match (self.admit(state, &call), &call.kept) {
            (Err(reply), _) => reply,
            (Ok(_piece), kept) => match (state.flights.admit(fingerprint(&call)).await, kept) {
                (Err(refusal), _) => apart(refusal),
                (Ok(flying), Some(kept)) => {
                    if self.begins(kept) {
                        kept::run(state, self, &call, kept, &flying, stream).await;
                    }
                    return;
                }
                (Ok(flying), None) => self.pass(state, &call, &flying).await,
            }, //
        };
        if stream.send(&Frame::Reply(reply)).await.is_ok() {
            stream.sender.finish();
            stream.sender.stopped().await;
        }
    }

    /// Refuses a call before anything was done about it.
    fn admit(&self, state: &State, call: &Call) -> Result<Piece, Reply> {
        if state.leaving.is_cancelled() {
            return Err(not_run(Reason::Leaving));
        }
        if state.settings.server.kind != Kind::Plain
            || Method::from_bytes(call.method.as_bytes()).is_err()
        {
            return Err(not_run(Reason::Invalid));
        }
        self.work
            .begin(state.settings.limits.runs)
            .ok_or_else(|| not_run(Reason::Full))
    }

    fn begins(&self, kept: &Kept) -> bool {
        let mut seen = self.seen.lock().expect("no panic while held");
        seen.begin(kept.send)
    }

    /// Passes a call on of which no record is kept.
    async fn pass(&self, state: &State, call: &Call, flying: &Flying) -> Reply {
        match timeout(state.settings.times.call, self.hand_over(call, flying)).await {
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

    pub(crate) async fn hand_over(&self, call: &Call, flying: &Flying) -> Handed {
        let handed = self.request(call).await;
        match handed {
            Handed::Answered { .. } => flying.ended(),
            Handed::Lost => {
                flying.broke().await;
            }
            Handed::NotSent => {}
        }
        handed
    }

    async fn request(&self, call: &Call) -> Handed {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return Handed::NotSent;
        };
        let mut request = self
            .client
            .request(method, format!("{}{}", self.address, call.path))
            .header(TEAM, &call.team)
            .body(call.body.clone());
        if let Some(key) = &call.key {
            request = request.header(KEY, key);
        }
        if let Some(value) = &call.content_type {
            request = request.header(CONTENT_TYPE, value);
        }
        if let Some(value) = &call.accept {
            request = request.header(ACCEPT, value);
        }
        match request.send().await {
            Ok(answer) => read(answer, self.most).await,
            Err(error) if error.is_connect() || error.is_builder() => Handed::NotSent,
            Err(_) => Handed::Lost,
        }
    }
}

async fn read(mut answer: reqwest::Response, most: u64) -> Handed {
    let status = answer.status().as_u16();
    let content_type = answer
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_string);
    let mut body = Vec::new();
    loop {
        match answer.chunk().await {
            Ok(Some(chunk)) if (body.len() + chunk.len()) as u64 <= most => {
                body.extend_from_slice(&chunk);
            }
            Ok(None) => break,
            // The service ran the call; what it said can't be told whole.
            Ok(Some(_)) | Err(_) => return Handed::Lost,
        }
    }
    Handed::Answered {
        status,
        content_type,
        body,
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
