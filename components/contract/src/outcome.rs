//! What a caller is told about its call.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The platform's store is out or slow, so that the call can't be recorded.
    StoreOut,
    /// The sidecar fell silent, and the record was voided before it could hand the call over.
    Silent,
    /// No sidecar could be reached.
    NoServer,
    /// The backend server refused the connection; no byte of the call left.
    Unreachable,
    /// The host is leaving and takes no new work.
    Leaving,
    /// The record was created too late for a caller that still waits.
    Late,
    /// The caller went away before the call was handed over.
    CallerGone,
    /// Another request already used the key, with other content.
    KeyReused,
    /// The request brought down backend servers and is refused for a time.
    Poisonous,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The call was not handed to its service and won't be.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back; none when the same request would be refused again.
        retry_after: Option<Duration>,
    },
    /// The service answered.
    Ran {
        /// HTTP status that the service gave.
        status: u16,
        /// Its `Content-Type`; empty when it gave none.
        content_type: String,
        /// Its body; empty when it was too long to be kept and the answer is replayed.
        body: Vec<u8>,
        /// The answer comes from the record of an earlier request with the same key.
        replayed: bool,
    },
    /// The call may have run. Nobody can tell now.
    Unknown {
        /// Path that tells more later; none for calls without a key.
        status_path: Option<String>,
    },
}

/// An outcome as the JSON that callers get.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Message {
    /// See [`Outcome::NotRun`].
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
    },
    /// See [`Outcome::Ran`].
    Ran {
        /// HTTP status that the service gave.
        status: u16,
        /// Its `Content-Type`.
        content_type: String,
        /// Its body as text; bytes that aren't UTF-8 are replaced.
        body: String,
        /// The answer comes from a record.
        replayed: bool,
    },
    /// See [`Outcome::Unknown`].
    Unknown {
        /// Path that tells more later.
        #[serde(skip_serializing_if = "Option::is_none", rename = "ask")]
        status_path: Option<String>,
    },
}

impl Outcome {
    /// Makes a refusal that may be sent again after `retry_after`.
    pub fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// HTTP status for the caller. A service's own answer keeps its own status.
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

    /// The value of `Retry-After`, in whole seconds, rounded up.
    pub fn retry_after(&self) -> Option<u64> {
        let Self::NotRun { retry_after, .. } = self else {
            return None;
        };
        retry_after.map(|time| time.as_millis().div_ceil(1000).max(1) as u64)
    }

    /// The outcome as typed JSON.
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
