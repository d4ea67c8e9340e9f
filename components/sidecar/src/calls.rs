//! Calls to the plain service beside this sidecar.

use std::time::Duration;

use reqwest::{
    Client, Method,
    header::{
        ACCEPT,
        CONTENT_TYPE, //
    },
};
use settings::{
    Sidecar,
    sidecar::Kind, //
};
use wire::{
    Frame, Stream,
    frame::{
        Call,
        Reason,
        Refused,
        Reply, //
    },
};

use crate::state::{
    State,
    Work, //
};

/// Header with the caller's key.
const KEY: &str = "idempotency-key";

/// Header with the caller's team.
const TEAM: &str = "x-medlarhatch-team";

/// Time to come back after a refusal.
const RETRY: Duration = Duration::from_secs(1);

/// Hands calls to the plain service.
pub struct Calls {
    client: Client,
    address: String,
    work: Work,
}

impl Calls {
    pub(crate) fn new(settings: &Sidecar, work: Work) -> Self {
        let client = Client::builder()
            .timeout(settings.times.call)
            .connect_timeout(settings.times.silence)
            .build()
            .expect("a client without TLS can always be built");
        Self {
            client,
            address: settings.server.address.clone(),
            work,
        }
    }

    /// Hands a call over and sends what became of it.
    pub(crate) async fn call(&self, state: &State, call: Call, mut stream: Stream) {
        let reply = self.run(state, call).await;
        if stream.send(&Frame::Reply(reply)).await.is_ok() {
            stream.sender.finish();
            stream.sender.stopped().await;
        }
    }

    async fn run(&self, state: &State, call: Call) -> Reply {
        if state.leaving.is_cancelled() {
            return not_run(Reason::Leaving);
        }
        if state.settings.server.kind != Kind::Plain {
            return not_run(Reason::Invalid);
        }
        let Some(_piece) = self.work.begin(state.settings.limits.runs) else {
            return not_run(Reason::Full);
        };
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return not_run(Reason::Invalid);
        };
        self.hand_over(method, call, state.settings.limits.answer)
            .await
    }

    async fn hand_over(&self, method: Method, call: Call, most: u64) -> Reply {
        let mut request = self
            .client
            .request(method, format!("{}{}", self.address, call.path))
            .header(TEAM, call.team)
            .body(call.body);
        if let Some(key) = call.key {
            request = request.header(KEY, key);
        }
        if let Some(value) = call.content_type {
            request = request.header(CONTENT_TYPE, value);
        }
        if let Some(value) = call.accept {
            request = request.header(ACCEPT, value);
        }
        match request.send().await {
            Ok(answer) => read(answer, most).await,
            // No connection, so no byte of the call left this process.
            Err(error) if error.is_connect() || error.is_builder() => not_run(Reason::Down),
            Err(_) => Reply::Unknown,
        }
    }
}

async fn read(mut answer: reqwest::Response, most: u64) -> Reply {
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
            Ok(Some(_)) | Err(_) => return Reply::Unknown,
        }
    }
    Reply::Ran {
        status,
        content_type,
        body,
        replayed: false,
    }
}

fn not_run(reason: Reason) -> Reply {
    Reply::NotRun(Refused {
        reason,
        retry_after: RETRY,
    })
}
