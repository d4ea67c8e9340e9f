//! What a caller is told when its request isn't answered.
//!
//! Every refusal says whether the request was run, and when to come back. It is sent at once:
//! held back, it would only keep the caller from asking elsewhere.

use std::time::Duration;

use salvo::{
    Response,
    http::{
        HeaderValue,
        StatusCode,
        header::RETRY_AFTER, //
    },
    writing::Json, //
};
use serde::Serialize;

/// Whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// It was not, and this try of it never will be.
    NotRun,
    /// It was.
    Ran,
    /// It may have been.
    Unknown,
}

/// Kinds of problems, for programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    Invalid,
    /// The body is over the bound.
    TooLarge,
    /// No route, service or key of that name.
    NotFound,
    /// The same key came with another request.
    KeyReused,
    /// Somebody else came first.
    Conflict,
    /// The system is full, or the team is over its limit.
    Busy,
    /// Nothing can serve it now.
    Unavailable,
    /// The answer broke off.
    Interrupted,
    /// A call's fate isn't known.
    Unknown,
    /// The request is known to bring backend servers down.
    Refused,
}

/// A typed refusal.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Problem {
    /// Kind, for programs.
    pub code: Code,
    /// What is wrong, for a person.
    pub message: String,
    /// The field of the request that is wrong.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Whether the request was run.
    pub run: Run,
    /// Milliseconds after which another try makes sense; none when it never does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Where to ask what became of it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ask: Option<String>,
}

/// The body that carries a problem.
#[derive(Serialize)]
pub struct Body<'a> {
    /// The problem.
    pub error: &'a Problem,
}

impl Problem {
    /// A problem of a request that was not run.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            field: None,
            run: Run::NotRun,
            retry_after_ms: None,
            ask: None,
        }
    }

    /// A malformed request.
    pub fn invalid(field: &str, message: impl Into<String>) -> Self {
        let mut problem = Self::new(Code::Invalid, message);
        problem.field = Some(field.to_string());
        problem
    }

    /// Says when to come back.
    pub fn retry(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(after.as_millis() as u64);
        self
    }

    /// Says whether the request was run.
    pub fn run(mut self, run: Run) -> Self {
        self.run = run;
        self
    }

    /// HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self.code {
            Code::Invalid => StatusCode::BAD_REQUEST,
            Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Code::NotFound => StatusCode::NOT_FOUND,
            Code::Conflict => StatusCode::CONFLICT,
            Code::KeyReused | Code::Refused => StatusCode::UNPROCESSABLE_ENTITY,
            Code::Busy => StatusCode::TOO_MANY_REQUESTS,
            Code::Unavailable | Code::Interrupted => StatusCode::SERVICE_UNAVAILABLE,
            Code::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Writes the refusal as an HTTP answer.
    pub fn write(&self, res: &mut Response) {
        res.status_code(self.status());
        if let Some(after) = self.retry_after_ms {
            // The header knows whole seconds only; a caller that comes back early helps nobody.
            let seconds = after.div_ceil(1000).max(1);
            res.headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        res.render(Json(Body { error: self }));
    }
}
