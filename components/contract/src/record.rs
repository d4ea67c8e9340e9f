//! The record of a kept call in the platform's store.

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

/// Longest body that is kept, in bytes. With its encoding it stays under half of the megabyte that
/// a value of the store may have.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// The record of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// How far the call has come.
    pub state: State,
    /// Digest of the request, so that a key used again for something else is noticed.
    pub digest: String,
    /// Server whose sidecar wrote the record; empty when an entry voided it.
    pub server: Server,
}

/// How far a kept call has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// A sidecar is about to hand the call over, or has done so.
    Handed {
        /// Tells this hand-over from all others.
        nonce: Nonce,
    },
    /// The attempt that was to write here can't hand the call over any more.
    Void {
        /// Tells this void from all others.
        nonce: Nonce,
    },
    /// The service answered.
    Answered {
        /// Nonce of the hand-over.
        nonce: Nonce,
        /// The answer.
        answer: Answer,
    },
}

/// A service's answer as it came.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`; empty when there was none.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A service's answer as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`; empty when there was none.
    pub content_type: String,
    /// The body.
    pub body: Body,
}

/// A body as it is kept: text where possible, so that an operator can read the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// UTF-8 text.
    Text(String),
    /// Other bytes, in base64.
    Base64(String),
    /// Longer than [`MAX_BODY_BYTES`]; this many bytes, which aren't kept.
    TooLong(usize),
}

impl Body {
    /// Encodes a body; one that is too long is left out.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        if bytes.len() > MAX_BODY_BYTES {
            return Self::TooLong(bytes.len());
        }
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_string()),
            Err(_) => Self::Base64(BASE64_STANDARD.encode(bytes)),
        }
    }

    /// The bytes; none for a body that wasn't kept.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Text(text) => text.clone().into_bytes(),
            Self::Base64(text) => BASE64_STANDARD.decode(text).unwrap_or_default(),
            Self::TooLong(_) => Vec::new(),
        }
    }
}

impl Answer {
    /// The part of a response that is kept.
    pub fn from_response(response: &Response) -> Self {
        Self {
            status: response.status,
            content_type: response.content_type.clone(),
            body: Body::from_bytes(&response.body),
        }
    }

    /// The answer as the outcome of a later request with the same key.
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
    /// The record as a value of the store.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record has no map keys that JSON refuses")
    }

    /// Reads a value of the store; `None` when it is no record.
    pub fn decode(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// What a request that finds this record is told at once, if that is settled already.
    ///
    /// A handed call is not settled: it may be running. A void one isn't either: the key is free
    /// for another attempt.
    pub fn settled(&self, digest: &str) -> Option<Outcome> {
        if self.digest != digest {
            return Some(Outcome::NotRun {
                reason: Reason::KeyReused,
                retry_after: None,
            });
        }
        match &self.state {
            State::Answered { answer, .. } => Some(answer.replay()),
            State::Handed { .. } | State::Void { .. } => None,
        }
    }

    /// What `GET /v1/calls/<key>` says of this record.
    ///
    /// A void record gives `unknown`, not `not_run`: another attempt with the same key may be on
    /// its way to a sidecar, and a caller that then chose a new key would pay twice. Sending again
    /// with the same key is always safe.
    pub fn status(&self, status_path: &str) -> Outcome {
        match &self.state {
            State::Answered { answer, .. } => answer.replay(),
            State::Handed { .. } | State::Void { .. } => Outcome::Unknown {
                status_path: Some(status_path.to_string()),
            },
        }
    }
}

/// Key of a call's record: `call/<service>/<team>/<key>`, each part escaped, so that no two teams
/// meet whatever their names and keys hold.
pub fn key(service: &str, team: &str, key: &str) -> String {
    format!("call/{}/{}/{}", escape(service), escape(team), escape(key))
}

/// Digest of a request: what must be the same when its key is used again.
pub fn digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    format!("{:032x}", hash.digest128())
}

/// Escapes everything but letters, digits, `-`, `_` and `.` of ASCII.
pub fn escape(part: &str) -> String {
    let mut escaped = String::with_capacity(part.len());
    for byte in part.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.".contains(&byte) {
            escaped.push(char::from(byte));
            continue;
        }
        write!(escaped, "%{byte:02X}").expect("a string takes every character");
    }
    escaped
}
