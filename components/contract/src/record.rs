//! The record of a call in the platform's store.

use std::fmt::Write;

use base64::{
    Engine,
    prelude::BASE64_STANDARD, //
};
use names::{
    Nonce,
    Server, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::outcome::{
    Outcome,
    Reason, //
};

/// Maximum size of a recorded body, in bytes. Encoded, it takes less than half of the 1 MiB that a
/// value of the store may have.
pub const MAX_RECORDED_BODY_BYTES: usize = 256 * 1024;

/// The record of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Progress of the call.
    pub state: State,
    /// Digest of the request, to detect a key that is reused for another request.
    pub digest: String,
    /// Backend server whose sidecar wrote the record; empty if an entry voided it.
    pub server: Server,
}

/// Progress of a recorded call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// A sidecar is about to forward the call to its service, or has done so.
    #[serde(rename = "handed")]
    Forwarding {
        /// Unique nonce of the sidecar's attempt.
        nonce: Nonce,
    },
    /// The attempt at this revision can no longer forward the call.
    Void {
        /// Unique nonce of the void record.
        nonce: Nonce,
    },
    /// The service responded.
    Answered {
        /// Nonce of the sidecar's attempt.
        nonce: Nonce,
        /// The recorded response.
        answer: Answer,
    },
}

/// A service's response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`; empty if there was none.
    pub content_type: String,
    /// Body of the service's response.
    pub body: Vec<u8>,
}

/// A service's response as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`; empty if there was none.
    pub content_type: String,
    /// Body of the response to the caller.
    pub body: Body,
}

/// A recorded body: text where possible, so that an operator can read the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// UTF-8 text.
    Text(String),
    /// Other bytes, in base64.
    Base64(String),
    /// Longer than [`MAX_RECORDED_BODY_BYTES`]; only its length in bytes is recorded.
    TooLong(usize),
}

impl Body {
    /// Encodes a body. A body longer than [`MAX_RECORDED_BODY_BYTES`] is replaced by its length.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        if bytes.len() > MAX_RECORDED_BODY_BYTES {
            return Self::TooLong(bytes.len());
        }
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_string()),
            Err(_) => Self::Base64(BASE64_STANDARD.encode(bytes)),
        }
    }

    /// Returns the decoded bytes; empty for a body that was too long to be recorded.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Text(text) => text.clone().into_bytes(),
            Self::Base64(text) => BASE64_STANDARD.decode(text).unwrap_or_default(),
            Self::TooLong(_) => Vec::new(),
        }
    }
}

impl Answer {
    /// Creates the recorded form of a response.
    pub fn from_response(response: &Response) -> Self {
        Self {
            status: response.status,
            content_type: response.content_type.clone(),
            body: Body::from_bytes(&response.body),
        }
    }

    /// Returns the outcome for a later request with the same key.
    pub fn replay(&self) -> Outcome {
        Outcome::Ran {
            status: self.status,
            content_type: self.content_type.clone(),
            body: self.body.bytes(),
            replayed: true,
        }
    }
}

impl Record {
    /// Encodes the record as a value of the store.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record has no maps with non-string keys")
    }

    /// Decodes a value of the store; `None` if it is not a record.
    pub fn decode(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Returns the outcome for a request that finds this record, or `None` if the record doesn't
    /// determine it yet.
    ///
    /// A forwarded call may still be running, and the key of a void record is free for another
    /// attempt.
    pub fn outcome_for(&self, digest: &str) -> Option<Outcome> {
        if self.digest != digest {
            return Some(Outcome::NotRun {
                reason: Reason::KeyReused,
                retry_after: None,
            });
        }
        match &self.state {
            State::Answered { answer, .. } => Some(answer.replay()),
            State::Forwarding { .. } | State::Void { .. } => None,
        }
    }

    /// Returns the outcome that `GET /v1/calls/<key>` reports for this record.
    ///
    /// A void record reports `unknown`, not `not_run`: another attempt with the same key may be in
    /// transit to a sidecar, and a caller that then chose a new key would pay twice. Repeating the
    /// call with the same key is always safe.
    pub fn status(&self, status_path: &str) -> Outcome {
        match &self.state {
            State::Answered { answer, .. } => answer.replay(),
            State::Forwarding { .. } | State::Void { .. } => Outcome::Unknown {
                status_path: Some(status_path.to_string()),
            },
        }
    }
}

/// Returns the store key of a call's record: `call/<service>/<team>/<key>`.
///
/// Each part is escaped, so the keys of two teams never collide, whatever characters their names
/// and keys contain.
pub fn key(service: &str, team: &str, key: &str) -> String {
    format!("call/{}/{}/{}", escape(service), escape(team), escape(key))
}

/// Returns the digest of the parts of a request that must be equal when its key is reused.
pub fn digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    format!("{:032x}", hash.digest128())
}

/// Percent-encodes every byte other than ASCII letters, digits, `-`, `_` and `.`.
pub fn escape(part: &str) -> String {
    let mut escaped = String::with_capacity(part.len());
    for byte in part.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.".contains(&byte) {
            escaped.push(char::from(byte));
            continue;
        }
        write!(escaped, "%{byte:02X}").expect("writing to a string cannot fail");
    }
    escaped
}
