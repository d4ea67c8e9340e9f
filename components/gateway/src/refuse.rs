//! Responses that the gateway itself generates.

use std::time::Duration;

use contract::poison::Fingerprint;
use events::{
    forwarding,
    note, //
};
use gates::Rejection;
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header::{
        CONTENT_TYPE,
        RETRY_AFTER, //
    }, //
};
use tokio::time::Instant;

use crate::{
    body::Body,
    meter,
    protocol::HeaderError, //
};

/// Value of `Retry-After` where no better estimate is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Document on which a decision is based.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DocumentInfo {
    /// Version of the document; 0 while none is known.
    pub version: u64,
    /// Time since the document was last known to be the newest.
    pub age: Option<Duration>,
}

/// Reason for which the gateway rejects a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A header is invalid.
    InvalidHeader(HeaderError),
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    NoKey,
    /// The body is longer than the document allows.
    BodyTooLong,
    /// The body didn't arrive completely, or not in time.
    BodyIncomplete,
    /// No document is known yet, or it may be out of date.
    StaleDocument,
    /// The process would exit before the request ends; the caller can reach another gateway after
    /// this time.
    ShuttingDown(Duration),
    /// No backend server can take the request now.
    NoServer,
    /// The deadline passed before a server ran the request.
    Expired,
    /// The answer can't be complete before the deadline.
    TooLittleTime,
    /// More requests wait than can be served in time.
    Overloaded(Rejection),
    /// All servers that could take the request limit their request rates; one can be sent after
    /// this time.
    RateLimited(Duration),
    /// All servers that could take the request want none; the first one does again after this time.
    BackingOff(Duration),
    /// The process holds as many bodies as it may; one is expected to be released within this time.
    BodiesFull(Duration),
    /// Another attempt is needed, and the retry budget of the service is used up.
    RetriesSpent,
    /// Servers crashed under earlier attempts of the request.
    Poisonous(Fingerprint),
    /// The request was sent and got no response; it may have run.
    Lost,
    /// The request was sent and its deadline passed; it may have run.
    DeadlineExceeded,
    /// The request was sent, and the process exits before its response; it may have run.
    CutOff,
}

impl Refusal {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::InvalidHeader(_) => StatusCode::BAD_REQUEST,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoKey => StatusCode::UNAUTHORIZED,
            Refusal::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Refusal::StaleDocument
            | Refusal::ShuttingDown(_)
            | Refusal::NoServer
            | Refusal::Expired
            | Refusal::TooLittleTime
            | Refusal::Overloaded(_)
            | Refusal::RateLimited(_)
            | Refusal::BackingOff(_)
            | Refusal::BodiesFull(_)
            | Refusal::RetriesSpent
            | Refusal::Poisonous(_) => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Lost => StatusCode::BAD_GATEWAY,
            Refusal::DeadlineExceeded | Refusal::CutOff => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name of the reason, for callers' programs and for logs.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::InvalidHeader(_) => "flawed",
            Refusal::NoRoute => "no_route",
            Refusal::NoKey => "no_key",
            Refusal::BodyTooLong => "too_long",
            Refusal::BodyIncomplete => "too_slow",
            Refusal::StaleDocument => "no_current_document",
            Refusal::ShuttingDown(_) => "leaving",
            Refusal::NoServer => "no_server",
            Refusal::Expired => "expired",
            Refusal::TooLittleTime => "too_little_time",
            Refusal::Overloaded(_) => "too_many_requests",
            Refusal::RateLimited(_) => "rate_limited",
            Refusal::BackingOff(_) => "backing_off",
            Refusal::BodiesFull(_) => "too_many_bytes",
            Refusal::RetriesSpent => "retries_spent",
            Refusal::Poisonous(_) => "poisonous",
            Refusal::Lost => "lost",
            Refusal::DeadlineExceeded => "late",
            Refusal::CutOff => "cut_off",
        }
    }

    /// Logs the rejection and counts it in the metrics.
    fn log(&self, id: &str, arrived: Instant, document: &DocumentInfo) {
        meter::refused(self.reason());
        meter::outcome("refused", arrived.elapsed());
        let fingerprint = match self {
            Refusal::Poisonous(fingerprint) => Some(format!("{fingerprint:032x}")),
            _ => None,
        };
        note!(
            forwarding::REFUSED,
            id = id,
            reason = self.reason(),
            status = self.status().as_u16(),
            fingerprint = fingerprint.as_deref(),
            document = document.version,
            document_age_ms = document.age.map(|age| age.as_millis() as u64),
            ms = arrived.elapsed().as_millis() as u64
        );
    }

    /// Logs the rejection and returns its response.
    pub fn respond(&self, id: &str, arrived: Instant, document: &DocumentInfo) -> Response<Body> {
        self.log(id, arrived, document);
        self.response()
    }

    /// Builds the response, with `Retry-After` where the request hasn't run and a retry makes
    /// sense.
    fn response(&self) -> Response<Body> {
        let outcome = match self {
            Refusal::Lost | Refusal::DeadlineExceeded | Refusal::CutOff => "unknown",
            _ => "not_run",
        };
        let mut body = serde_json::json!({ "outcome": outcome, "reason": self.reason() });
        if let Refusal::InvalidHeader(error) = self {
            body["field"] = error.field.into();
            body["message"] = error.message.into();
        }
        let mut response = Response::new(Body::whole(body.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let retryable = matches!(
            self,
            Refusal::StaleDocument
                | Refusal::ShuttingDown(_)
                | Refusal::NoServer
                | Refusal::Expired
                | Refusal::Overloaded(_)
                | Refusal::RateLimited(_)
                | Refusal::BackingOff(_)
                | Refusal::BodiesFull(_)
                | Refusal::RetriesSpent
        );
        let retry_after = match self {
            Refusal::Overloaded(rejection) => rejection.retry_after,
            Refusal::ShuttingDown(retry_after)
            | Refusal::RateLimited(retry_after)
            | Refusal::BackingOff(retry_after)
            | Refusal::BodiesFull(retry_after) => *retry_after,
            _ => DEFAULT_RETRY_AFTER,
        };
        if retryable {
            // Rounded up, as a caller that returns too early is refused again.
            let hundredths = retry_after.as_micros().div_ceil(10_000);
            let seconds = format!("{:.2}", hundredths as f64 / 100.0);
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
