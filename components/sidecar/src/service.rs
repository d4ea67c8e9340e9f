//! The plain service beside this sidecar.

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

use crate::flights::Flying;

/// Header with the caller's key.
const KEY: &str = "idempotency-key";

/// Header with the caller's team.
const TEAM: &str = "x-medlarhatch-team";

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
pub(crate) struct Service {
    client: Client,
    address: String,
    most: u64,
}

impl Service {
    pub(crate) fn new(settings: &Sidecar) -> Self {
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
        }
    }

    /// Hands a call over, once.
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
