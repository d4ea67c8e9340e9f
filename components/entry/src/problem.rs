//! Error responses to callers.
//!
//! Every error states whether the request was run and when it may be retried. Errors are sent
//! without delay, since a delay would only keep the caller from trying another entry.

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
    /// It was not run, and this attempt of it never will be.
    NotRun,
    /// It was run.
    Ran,
    /// It may have been run.
    Unknown,
}

/// Machine-readable kinds of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    Invalid,
    /// The body exceeds the size limit.
    TooLarge,
    /// No route, service or key has that name.
    NotFound,
    /// The key was used with another request before.
    KeyReused,
    /// Another edit has changed the document.
    Conflict,
    /// The system is at capacity, or the team exceeds its limit.
    Busy,
    /// Nothing can serve the request at the moment.
    Unavailable,
    /// The answer ended before it was complete.
    Interrupted,
    /// The outcome of the call or edit is unknown.
    Unknown,
    /// The request is known to crash backend servers.
    Refused,
}

/// An error response.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Problem {
    /// Machine-readable kind.
    pub code: Code,
    /// Human-readable description.
    pub message: String,
    /// Field of the request that is invalid.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Whether the request was run.
    pub run: Run,
    /// Milliseconds after which a retry makes sense; absent when none does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Path that returns the outcome of the call.
    #[serde(rename = "ask", skip_serializing_if = "Option::is_none")]
    pub status_path: Option<String>,
}

/// JSON body of an error response.
#[derive(Serialize)]
pub struct Body<'a> {
    /// The error that the response reports.
    pub error: &'a Problem,
}

impl Problem {
    /// Creates an error for a request that was not run.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            field: None,
            run: Run::NotRun,
            retry_after_ms: None,
            status_path: None,
        }
    }

    /// Creates an error for an invalid field.
    pub fn invalid(field: &str, message: impl Into<String>) -> Self {
        let mut problem = Self::new(Code::Invalid, message);
        problem.field = Some(field.to_string());
        problem
    }

    /// Sets the time after which the request may be retried.
    pub fn retry(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(after.as_millis() as u64);
        self
    }

    /// Sets whether the request was run.
    pub fn run(mut self, run: Run) -> Self {
        self.run = run;
        self
    }

    /// Returns the HTTP status for the code.
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

    /// Writes the error to an HTTP response.
    pub fn write(&self, res: &mut Response) {
        res.status_code(self.status());
        if let Some(after) = self.retry_after_ms {
            // The header holds whole seconds only; rounded up, as an early retry would be refused.
            let seconds = after.div_ceil(1000).max(1);
            res.headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        res.render(Json(Body { error: self }));
    }
}
