//! The frames that processes exchange.
//!
//! `postcard` encodes fields and variants by position, so their order is part of the protocol.

use std::time::Duration;

use answer::{
    Finish,
    pointer::Pointer, //
};
use contract::{
    forwarder,
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

/// Version of the protocol; a peer with another version is refused at [`Hello`].
pub const PROTOCOL_VERSION: u16 = 1;

/// One message between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a link's first stream, in both directions.
    Hello(Hello),
    /// Sent repeatedly on a link's first stream, in both directions.
    Heartbeat(Heartbeat),
    /// An encoded message of the `spread` crate, which distributes documents and facts.
    Spread(Vec<u8>),
    /// Facts about requests that crash servers. Sent on a link's first stream in both directions,
    /// and on a generation's stream before the end frame if the server died.
    Suspects(Box<poison::Facts>),
    /// Asks a sidecar to start a generation; the first frame of a stream.
    Start(Box<Start>),
    /// Asks a sidecar for the tokens of a generation whose log it holds; the first frame of a
    /// stream.
    Attach(Attach),
    /// Cancels the generation for this stream.
    Cancel,
    /// The generation has started or was found; its tokens follow.
    Started,
    /// The sidecar doesn't hold the generation or the requested tokens.
    Missing,
    /// The generation was not started.
    Refused(Refused),
    /// Tokens of the generation.
    Tokens(Tokens),
    /// End of the generation; the last frame of a stream.
    End(End),
    /// A call to a plain service; the first frame of a stream.
    Call(Box<Call>),
    /// The outcome of the call.
    Reply(Reply),
    /// Asks a sidecar to store a pointer; the only frame of a stream, without a reply.
    Point(Point),
    /// Asks a sidecar for the pointer that it stores for a request; the first frame of a stream.
    Find(Request),
    /// The pointer, if the sidecar stores one.
    Found(Option<Pointer>),
}

/// Identity of a process, sent in the handshake of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender, [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The sender's host name; its certificate must be valid for it.
    pub host: Host,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Random number of this run of the process; it changes with every restart.
    pub incarnation: Nonce,
    /// The backend server behind a sidecar; `None` from an entry.
    pub backend: Option<Backend>,
}

/// The backend server behind a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the server in the operators' documents.
    pub server: Server,
    /// Service that the server belongs to.
    pub service: Service,
    /// Version of the service that the server runs.
    pub version: Version,
}

/// Shows that the sender is alive, and carries the part of its state that changes often.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender is leaving and takes no new work.
    pub leaving: bool,
    /// Whether the backend server answers its health check.
    pub healthy: bool,
    /// Load of the backend server; `None` from an entry.
    pub load: Option<Load>,
}

/// Load that a backend server reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of runs and calls in progress.
    pub running: u32,
    /// Number of runs that wait inside the engine.
    pub queued: u32,
    /// Number of runs that the server can process at once.
    pub capacity: u32,
    /// Fraction of the cache memory in use, in thousandths.
    pub cache: u16,
    /// Age of the report.
    pub age: Duration,
}

/// Parameters of a generation to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Request that the generation answers.
    pub request: Request,
    /// Epoch of the generation within the request.
    pub epoch: Epoch,
    /// Random number that distinguishes generations of one epoch.
    pub nonce: Nonce,
    /// Team of the caller.
    pub team: Team,
    /// Service that the generation is for.
    pub service: Service,
    /// Version of the service that must run it.
    pub version: Version,
    /// Name of the model.
    pub model: String,
    /// The complete prompt.
    pub prompt: String,
    /// Maximum length of the answer in tokens.
    pub max_tokens: u64,
    /// Seed of the token sampling.
    pub seed: u64,
    /// Sampling temperature in thousandths.
    pub temperature: u32,
    /// Priority; a higher value is scheduled first.
    pub priority: u8,
    /// Tokens that the caller has received already; the generation continues after them.
    pub delivered: Vec<String>,
    /// Facts about the request, when it is under suspicion.
    pub suspects: Option<Box<poison::Facts>>,
}

/// Identifies a generation to read, and where to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// Request that the generation answers.
    pub request: Request,
    /// Epoch of the generation within the request.
    pub epoch: Epoch,
    /// Nonce of the generation, see [`Start::nonce`].
    pub nonce: Nonce,
    /// Position of the first requested token.
    pub from: Index,
}

/// Where a request's generation runs, for entries that didn't start it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Point {
    /// Request that the generation answers.
    pub request: Request,
    /// Where the generation runs.
    pub pointer: Pointer,
}

/// Refusal of a generation or call, which didn't run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which a retry makes sense.
    pub retry_after: Duration,
}

/// Reasons for which a sidecar refuses a generation or call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The backend server or the sidecar is at capacity.
    Full,
    /// The host is leaving.
    Leaving,
    /// The backend server doesn't answer.
    Down,
    /// The backend server doesn't run the requested version.
    Version,
    /// The backend server can't continue from the delivered tokens.
    Continuation,
    /// The request is malformed, or the wrong kind for the backend server.
    Invalid,
    /// The request crashed servers and is refused everywhere.
    Poisonous,
    /// The request must not run at the same time as those in flight here.
    Apart,
    /// The platform's store doesn't answer; the call may not run without a record.
    Store,
}

/// End of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Length of the answer in tokens.
    pub total: Index,
    /// How the generation ended.
    pub finish: Finish,
    /// Token counts of the generation.
    pub usage: Usage,
}

/// Token counts of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt: u64,
    /// Number of tokens of the prompt that were cached.
    pub cached: u64,
    /// Number of generated tokens.
    pub completion: u64,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Service that is called.
    pub service: Service,
    /// Team of the caller.
    pub team: Team,
    /// The caller's idempotency key; `None` if it sent none.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's name, with the leading slash.
    pub path: String,
    /// `Content-Type` of the body.
    pub content_type: Option<String>,
    /// The caller's `Accept` header.
    pub accept: Option<String>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Data for the call's record; `None` for calls without one.
    pub recording: Option<Recording>,
}

/// Data for the record of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recording {
    /// Random number of this send; the sidecar starts each send only once.
    pub send_id: Nonce,
    /// Revision that the record must still have when the sidecar writes it; 0 when there must be
    /// none.
    pub base_revision: Revision,
    /// Digest of the request.
    pub digest: String,
    /// Path where the caller can query the call's status.
    pub status_path: String,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The service answered.
    Ran {
        /// HTTP status code.
        status: u16,
        /// `Content-Type` of the body.
        content_type: Option<String>,
        /// Body of the response.
        body: Vec<u8>,
        /// Whether the answer is that of an earlier call with the same key.
        replayed: bool,
    },
    /// The call didn't run, and this attempt never will.
    NotRun(Refused),
    /// The call was sent, but no complete answer arrived.
    Unknown,
    /// The outcome of a recorded call, or the record that prevented it.
    Kept(Box<forwarder::Reply>),
}
