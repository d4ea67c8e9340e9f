//! Outcomes of calls, as reported to callers.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The platform's store is unavailable or slow, so the call can't be recorded.
    #[serde(rename = "store_out")]
    StoreUnavailable,
    /// The sidecar stopped responding, and the record was voided before it could forward the call.
    #[serde(rename = "silent")]
    Unresponsive,
    /// No sidecar was reachable.
    NoServer,
    /// The backend server refused the connection; no byte of the call left the sidecar.
    Unreachable,
    /// The host is leaving and accepts no new work.
    Leaving,
    /// The record was created too late; the caller may no longer be waiting.
    Late,
    /// The caller disconnected before the call was forwarded.
    CallerGone,
    /// Another request with different content already used the key.
    KeyReused,
    /// The request crashed backend servers and is temporarily refused.
    Poisonous,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The call was not forwarded to its service and never will be.
    NotRun {
        /// Reason for the refusal.
        reason: Reason,
        /// Delay before a retry; `None` if the same request would be refused again.
        retry_after: Option<Duration>,
    },
    /// The service responded.
    Ran {
        /// HTTP status of the service's response.
        status: u16,
        /// `Content-Type` of the response; empty if there was none.
        content_type: String,
        /// Response body; empty if the response is replayed and its body was too long to be
        /// recorded.
        body: Vec<u8>,
        /// Whether the response is replayed from the record of an earlier request with the same
        /// key.
        replayed: bool,
    },
    /// Whether the call ran can't be determined at present.
    Unknown {
        /// Path at which the status can be queried later; `None` for calls without a key.
        status_path: Option<String>,
    },
}

/// JSON representation of an outcome, as sent to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Message {
    /// See [`Outcome::NotRun`].
    NotRun {
        /// Reason for the refusal.
        reason: Reason,
        /// Delay before a retry, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
    },
    /// See [`Outcome::Ran`].
    Ran {
        /// HTTP status of the service's response.
        status: u16,
        /// `Content-Type` of the response.
        content_type: String,
        /// Response body as text; invalid UTF-8 is replaced.
        body: String,
        /// Whether the response is replayed from a record.
        replayed: bool,
    },
    /// See [`Outcome::Unknown`].
    Unknown {
        /// Path at which the status can be queried later.
        #[serde(skip_serializing_if = "Option::is_none", rename = "ask")]
        status_path: Option<String>,
    },
}

impl Outcome {
    /// Creates a refusal that permits a retry after `retry_after`.
    pub fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the HTTP status for the caller. A service's response keeps its own status.
    pub fn status(&self) -> u16 {
        match self {
            Self::NotRun {
                reason: Reason::KeyReused | Reason::Poisonous,
                ..
            } => 422,
            Self::NotRun { .. } => 503,
            Self::Ran { status, .. } => *status,
            Self::Unknown { .. } => 504,
        }
    }

    /// Returns the value of `Retry-After`, in whole seconds, rounded up.
    pub fn retry_after(&self) -> Option<u64> {
        let Self::NotRun { retry_after, .. } = self else {
            return None;
        };
        retry_after.map(|time| time.as_millis().div_ceil(1000).max(1) as u64)
    }

    /// Converts the outcome to its JSON representation.
    pub fn message(&self) -> Message {
        match self {
            Self::NotRun {
                reason,
                retry_after,
            } => Message::NotRun {
                reason: *reason,
                retry_after_ms: retry_after.map(|time| time.as_millis() as u64),
            },
            Self::Ran {
                status,
                content_type,
                body,
                replayed,
            } => Message::Ran {
                status: *status,
                content_type: content_type.clone(),
                body: String::from_utf8_lossy(body).into_owned(),
                replayed: *replayed,
            },
            Self::Unknown { status_path } => Message::Unknown {
                status_path: status_path.clone(),
            },
        }
    }
}
