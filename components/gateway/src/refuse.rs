//! The gateway's own answers.

use std::time::Duration;

use events::{
    direct,
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
    edge::Flaw,
    meter, //
};

/// Time after which a caller may come back when no server could take its request.
pub const COME_BACK: Duration = Duration::from_millis(100);

/// What a decision on a request goes by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Number of the document; 0 while none is known.
    pub document: u64,
    /// Time since it was last known to be in force.
    pub age: Option<Duration>,
}

/// Why the gateway answers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request can't be understood.
    Flawed(Flaw),
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The body is longer than the document allows.
    Long,
    /// The body didn't come in time.
    Slow,
    /// No document is known yet, or it may be out of date.
    Unsure,
    /// The process stops before the request would end; another entry can be reached after this time.
    Leaving(Duration),
    /// No backend server can take the request now.
    NoServer,
    /// Its time was over before a server ran it.
    Expired,
    /// It can't be complete in the time that it has.
    Hopeless,
    /// There are more requests than can be served in time.
    Busy(Rejection),
    /// It would have to be sent once more, and the retries of its service are used up.
    Spent,
    /// The request was sent and came to no answer; it may have run.
    Lost,
    /// The request was sent and its time is over; it may have run.
    Late,
}

impl Refusal {
    /// Status that the caller gets.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::Flawed(_) => StatusCode::BAD_REQUEST,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoKey => StatusCode::UNAUTHORIZED,
            Refusal::Long => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Slow => StatusCode::REQUEST_TIMEOUT,
            Refusal::Unsure
            | Refusal::Leaving(_)
            | Refusal::NoServer
            | Refusal::Expired
            | Refusal::Hopeless
            | Refusal::Busy(_)
            | Refusal::Spent => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Lost => StatusCode::BAD_GATEWAY,
            Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name of the reason, for callers' programs and for logs.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::Flawed(_) => "flawed",
            Refusal::NoRoute => "no_route",
            Refusal::NoKey => "no_key",
            Refusal::Long => "too_long",
            Refusal::Slow => "too_slow",
            Refusal::Unsure => "no_current_document",
            Refusal::Leaving(_) => "leaving",
            Refusal::NoServer => "no_server",
            Refusal::Expired => "expired",
            Refusal::Hopeless => "too_little_time",
            Refusal::Busy(_) => "too_many_requests",
            Refusal::Spent => "retries_spent",
            Refusal::Lost => "lost",
            Refusal::Late => "late",
        }
    }

    /// Logs the refusal of a request that arrived at a time, with what it was decided by.
    fn note(&self, id: &str, arrived: Instant, basis: &Basis) {
        meter::refused(self.reason());
        meter::outcome("refused", arrived.elapsed());
        note!(
            direct::REFUSED,
            id = id,
            reason = self.reason(),
            status = self.status().as_u16(),
            document = basis.document,
            document_age_ms = basis.age.map(|age| age.as_millis() as u64),
            ms = arrived.elapsed().as_millis() as u64
        );
    }

    /// Logs the refusal, and gives its answer.
    pub fn tell(&self, id: &str, arrived: Instant, basis: &Basis) -> Response<Body> {
        self.note(id, arrived, basis);
        self.answer()
    }

    /// The answer, with the time after which to come back where the request hasn't run.
    fn answer(&self) -> Response<Body> {
        let outcome = match self {
            Refusal::Lost | Refusal::Late => "unknown",
            _ => "not_run",
        };
        let mut text = serde_json::json!({ "outcome": outcome, "reason": self.reason() });
        if let Refusal::Flawed(flaw) = self {
            text["field"] = flaw.field.into();
            text["message"] = flaw.message.into();
        }
        let mut response = Response::new(Body::whole(text.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let again = matches!(
            self,
            Refusal::Unsure
                | Refusal::Leaving(_)
                | Refusal::NoServer
                | Refusal::Expired
                | Refusal::Busy(_)
                | Refusal::Spent
        );
        let time = match self {
            Refusal::Busy(refused) => refused.retry_after,
            Refusal::Leaving(time) => *time,
            _ => COME_BACK,
        };
        if again {
            let seconds = format!("{:.2}", time.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
