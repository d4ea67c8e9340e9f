//! The frames that our own processes exchange.

use std::time::Duration;

use answer::{
    Finish,
    pointer::Pointer, //
};
use contract::{
    handover,
    poison, //
};
use names::{
    DataCentre,
    Epoch,
    Host,
    Index,
    Nonce,
    Request,
    Revision,
    Server,
    Service,
    Team,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::Tokens;

/// Version of the protocol; processes of other versions are refused at [`Hello`].
pub const PROTOCOL: u16 = 1;

/// One message between two of our processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a link's first stream, each way.
    Hello(Hello),
    /// Sent on a link's first stream at a fixed pace, each way.
    Heartbeat(Heartbeat),
    /// Documents and facts; the bytes are the `spread` crate's message.
    Spread(Vec<u8>),
    /// Facts about requests that bring servers down; on a link's first stream, each way.
    Suspects(Box<poison::Facts>),
    /// Asks a sidecar to begin a generation; opens a stream.
    Start(Box<Start>),
    /// Asks a sidecar for the tokens of a generation that it has; opens a stream.
    Attach(Attach),
    /// Ends a generation that nobody wants any more.
    Cancel,
    /// The generation is there; tokens follow.
    Started,
    /// The sidecar doesn't know the generation.
    Missing,
    /// Nothing was begun.
    Refused(Refused),
    /// Tokens of the generation.
    Tokens(Tokens),
    /// The generation's end; nothing follows.
    End(End),
    /// A call to a plain service; opens a stream.
    Call(Box<Call>),
    /// What became of the call.
    Reply(Reply),
    /// Asks a sidecar to hold a pointer; opens a stream, nothing is answered.
    Point(Point),
    /// Asks a sidecar for the pointer that it holds for a request; opens a stream.
    Find(Request),
    /// The pointer, if the sidecar holds one.
    Found(Option<Pointer>),
}

/// Who speaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u16,
    /// The sender's host name; it must be the name in its certificate.
    pub host: Host,
    /// The sender's data centre.
    pub data_centre: DataCentre,
    /// Random number of this run of the process: a restart has another.
    pub incarnation: Nonce,
    /// The backend server behind a sidecar; none for an entry.
    pub backend: Option<Backend>,
}

/// The backend server behind a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name in operators' documents.
    pub server: Server,
    /// The service that it belongs to.
    pub service: Service,
    /// The version that it runs.
    pub version: Version,
}

/// A sign of life, and what changes often.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender is leaving: no new work, please.
    pub leaving: bool,
    /// The backend server answers its health check.
    pub healthy: bool,
    /// Load of the backend server; none from an entry.
    pub load: Option<Load>,
}

/// Load of a backend server as it reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Runs and calls in progress.
    pub running: u32,
    /// Runs that wait inside the engine.
    pub queued: u32,
    /// Runs that fit at once.
    pub capacity: u32,
    /// Share of the cache memory in use, in thousandths.
    pub cache: u16,
    /// Age of the reading.
    pub age: Duration,
}

/// A generation to begin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The request that it answers.
    pub request: Request,
    /// Its epoch within the request.
    pub epoch: Epoch,
    /// Random number of this generation.
    pub nonce: Nonce,
    /// The team that asked.
    pub team: Team,
    /// The service that serves.
    pub service: Service,
    /// The version that must serve.
    pub version: Version,
    /// Model name.
    pub model: String,
    /// The whole prompt.
    pub prompt: String,
    /// Upper bound of the answer's length in tokens.
    pub max_tokens: u64,
    /// Sampling seed.
    pub seed: u64,
    /// Sampling temperature in thousandths.
    pub temperature: u32,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Tokens that the caller has already.
    pub delivered: Vec<String>,
    /// Facts about the request when it is under suspicion.
    pub suspects: Option<Box<poison::Facts>>,
}

/// A generation to listen to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// The request that it answers.
    pub request: Request,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its nonce.
    pub nonce: Nonce,
    /// The first token wanted.
    pub from: Index,
}

/// Where a request's generation runs, for entries that didn't start it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Point {
    /// The request.
    pub request: Request,
    /// The place.
    pub pointer: Pointer,
}

/// Why nothing was begun, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason.
    pub reason: Reason,
    /// Time after which another try makes sense.
    pub retry_after: Duration,
}

/// Reasons of a sidecar for not beginning something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The backend server or the sidecar is full.
    Full,
    /// The host is leaving.
    Leaving,
    /// The backend server doesn't answer.
    Down,
    /// The backend server doesn't run that version.
    Version,
    /// The backend server can't continue from given tokens.
    Continuation,
    /// The backend server calls the request wrong.
    Invalid,
    /// The request brought servers down and is refused everywhere.
    Poisonous,
    /// The request must be kept apart from what runs here.
    Apart,
    /// The platform's store, without which the call may not run, doesn't answer.
    Store,
}

/// End of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Length of the answer in tokens.
    pub total: Index,
    /// How it ended.
    pub finish: Finish,
    /// What it cost.
    pub usage: Usage,
}

/// What a generation cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that were cached.
    pub cached: u64,
    /// Tokens generated.
    pub completion: u64,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The service.
    pub service: Service,
    /// The team that asked.
    pub team: Team,
    /// The caller's key; none when it gave none.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's name, with the leading slash.
    pub path: String,
    /// `Content-Type` of the body.
    pub content_type: Option<String>,
    /// The caller's `Accept`.
    pub accept: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// The call may run more than once.
    pub repeatable: bool,
    /// What the record of a call needs; none for calls of which no record is kept.
    pub recording: Option<Recording>,
}

/// What the record of a kept call needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recording {
    /// Number of this send, freshly drawn; the sidecar begins each send once.
    pub send_id: Nonce,
    /// Revision that the record must still have when the sidecar writes it.
    pub base_revision: Revision,
    /// Digest of the request.
    pub digest: String,
    /// Path where the caller can ask about the call.
    pub status_path: String,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The service answered.
    Ran {
        /// HTTP status.
        status: u16,
        /// `Content-Type` of the body.
        content_type: Option<String>,
        /// The body.
        body: Vec<u8>,
        /// The answer is that of an earlier call with the same key.
        replayed: bool,
    },
    /// The call didn't run, and this try of it never will.
    NotRun(Refused),
    /// The service had it, and its answer was lost.
    Unknown,
    /// What became of a kept call.
    Kept(Box<handover::Reply>),
}
