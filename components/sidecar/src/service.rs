//! HTTP client of the plain service behind this sidecar.

use std::ops::RangeInclusive;

use reqwest::{
    Client,
    Method,
    header::{
        ACCEPT,
        CONTENT_TYPE, //
    }, //
};
use settings::Sidecar;
use wire::frame::Call;

use crate::inflight::Guard;

/// Header that carries the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header that carries the caller's team.
const TEAM_HEADER: &str = "x-medlarhatch-team";

/// Multiple of a call's time limit after which the HTTP request is aborted. A service that answers
/// after the limit may do so until then, so that the outcome is still recorded.
const CALL_TIMEOUT_FACTOR: u32 = 5;

/// Statuses that HTTP defines for final answers. A call asks for no other protocol, so 101 is no answer.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Outcome of forwarding a call.
pub(crate) enum Outcome {
    /// The service answered within the size limit.
    Answered {
        status: u16,
        content_type: Option<String>,
        body: Vec<u8>,
    },
    /// The connection failed, so no byte of the call left this process.
    NotSent,
    /// The call was sent, but no complete answer arrived.
    Lost,
}

/// HTTP client that forwards calls.
pub(crate) struct Service {
    client: Client,
    address: String,
    max_body_bytes: u64,
}

impl Service {
    pub(crate) fn new(settings: &Sidecar) -> Self {
        // Each call gets a new connection: on a reused one, the client couldn't tell whether the
        // service died before the call or during it. The client never retries by itself.
        let client = Client::builder()
            .timeout(settings.times.call * CALL_TIMEOUT_FACTOR)
            .connect_timeout(settings.times.silence)
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .expect("a client without TLS can always be built");
        Self {
            client,
            address: settings.server.address.clone(),
            max_body_bytes: settings.limits.answer,
        }
    }

    /// Forwards a call, once.
    pub(crate) async fn forward(&self, call: &Call, guard: &Guard) -> Outcome {
        let outcome = self.request(call).await;
        match outcome {
            Outcome::Answered { .. } => guard.record_completion(),
            Outcome::Lost => {
                guard.record_failure().await;
            }
            Outcome::NotSent => {}
        }
        outcome
    }

    async fn request(&self, call: &Call) -> Outcome {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return Outcome::NotSent;
        };
        let mut request = self
            .client
            .request(method, format!("{}{}", self.address, call.path))
            .header(TEAM_HEADER, &call.team)
            .body(call.body.clone());
        if let Some(key) = &call.key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        if let Some(value) = &call.content_type {
            request = request.header(CONTENT_TYPE, value);
        }
        if let Some(value) = &call.accept {
            request = request.header(ACCEPT, value);
        }
        match request.send().await {
            Ok(answer) => read(answer, self.max_body_bytes).await,
            Err(error) if error.is_connect() || error.is_builder() => Outcome::NotSent,
            Err(_) => Outcome::Lost,
        }
    }
}

async fn read(mut answer: reqwest::Response, max_body_bytes: u64) -> Outcome {
    let status = answer.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return Outcome::Lost;
    }
    let content_type = answer
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_string);
    let mut body = Vec::new();
    loop {
        match answer.chunk().await {
            Ok(Some(chunk)) if (body.len() + chunk.len()) as u64 <= max_body_bytes => {
                body.extend_from_slice(&chunk);
            }
            Ok(None) => break,
            // The service ran the call, but its answer can't be passed on completely.
            Ok(Some(_)) | Err(_) => return Outcome::Lost,
        }
    }
    Outcome::Answered {
        status,
        content_type,
        body,
    }
}
