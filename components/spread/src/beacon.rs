//! UDP beacons that processes exchange several times a second, one datagram each.
//!
//! Many processes send work to the same engines, and none sees what the others send. Load reports
//! from the engines are expensive and late, while the sending process knows at once what it sent.
//! Each beacon carries the sender's full state, so the next one makes up for a lost datagram.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use contract::poison::evidence::Report;
use moves::rollout::Progress;
use names::{
    DataCentre,
    Host,
    Revision, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::freshness::Claim;

mod demand;
mod fragment;
mod table;
pub mod trial;

pub use demand::{
    Demand,
    Overload, //
};
pub use fragment::{
    Fragment,
    MAX_DATAGRAM_BYTES,
    Reassembly,
    split, //
};
pub use table::{
    Receipt,
    Scope,
    Table, //
};
pub use trial::Trial;

/// Numeric id of a server or service in a beacon: the lower 32 bits of the XXH3 hash of its name.
pub type Id = u32;

/// Random id of one run of a peer's process.
pub type Incarnation = u64;

/// Returns the numeric id of the server or service with this name.
pub fn id(name: &str) -> Id {
    xxh3_64(name.as_bytes()) as Id
}

/// State of one process, sent in one datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// Host of the sender.
    pub host: Host,
    /// Id of the sender's run.
    pub incarnation: Incarnation,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Sequence number within the run; receivers drop datagrams that arrive out of order.
    pub sequence: u64,
    /// Whether the sender is shutting down and accepts no new work.
    pub leaving: bool,
    /// Work that the sender has in progress, by server.
    pub loads: Vec<Load>,
    /// Servers that should receive no new work for a while.
    pub failures: Vec<Failure>,
    /// Requests and retries recently sent, by service.
    pub attempts: Vec<Attempts>,
    /// Prompts that servers have processed for the sender.
    pub prompts: Vec<Prompt>,
    /// Number of queued requests that can still meet their deadline, by service.
    pub queued: Vec<(Id, u32)>,
    /// Measurements of moves between versions, by service.
    pub moves: Vec<(Id, Progress)>,
    /// Addresses of some other peers.
    pub addresses: Vec<SocketAddr>,
    /// Number of peers that the sender receives beacons from.
    pub peer_count: u32,
    /// Number of processes that the sender knows, itself and those that fell silent included.
    pub processes: u32,
    /// Whether the sender knows all retries of the last window.
    pub knows_retries: bool,
    /// Longest time until the next beacon, in milliseconds.
    pub interval_ms: u32,
    /// The sender's monotonic clock, in milliseconds.
    pub timestamp: u64,
    /// Store revision that the sender is known to be current with.
    pub freshness: Option<Age>,
    /// The receiver's last timestamp, echoed.
    pub echo: Option<Echo>,
}

/// Store revision whose changes the sender has all applied, and how long ago it was the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    /// Store revision.
    pub revision: Revision,
    /// Milliseconds since the revision was the store's newest.
    pub age_ms: u64,
}

/// Echoed timestamp that gives its owner a lower bound for when the message was created. The time
/// of receipt gives none: the message may have been queued while the receiver was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Run of the receiver that issued the timestamp. The monotonic clock restarts with the host,
    /// so a timestamp of an earlier run is meaningless to the next one at the same address.
    pub incarnation: Incarnation,
    /// The receiver's timestamp, in milliseconds.
    pub timestamp: u64,
    /// Milliseconds between receiving the timestamp and echoing it.
    pub delay_ms: u64,
}

/// Changes of the store between two revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision that a receiver must have reached to apply the changes.
    pub from: Revision,
    /// Revision that a receiver reaches by applying them.
    pub to: Revision,
    /// Revision and encoded change, in order; the store adapter defines the encoding.
    pub items: Vec<(Revision, Vec<u8>)>,
}

/// Content of a datagram. Postcard encodes variants by position, so their order is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic state of a peer.
    Beacon(Box<Beacon>),
    /// Changes that the sender received from the store.
    Changes(Changes),
    /// Fragment of changes that are too long for one datagram.
    Fragment(Fragment),
    /// Peer addresses, for a process that receives beacons from few peers.
    Introduction(Vec<SocketAddr>),
    /// Changed load, for peers of the same data centre.
    Loads(Loads),
    /// Request that each peer query its share of a service's engines for their cache content.
    Lookup(Id),
    /// Prompts that engines have cached: they reported them, or processed them for the sender.
    CachedPrompts(Vec<Prompt>),
    /// Observations of requests that may crash servers.
    Crashes(Vec<Report>),
    /// Limits that servers named or lifted in answers to the sender.
    RateLimits(Vec<RateLimit>),
    /// Recent requests at the sender, by service, while servers limit their request rates or a
    /// service is over capacity.
    Demand(Demand),
    /// What the sender observed at some servers about their speed.
    Speeds(Speeds),
    /// Permit of a request that may crash servers.
    Trial(Trial),
}

/// Work in progress at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Id of the server.
    pub server: Id,
    /// Number of requests.
    pub requests: u32,
    /// Tokens that the requests occupy.
    pub tokens: u64,
    /// Prompt tokens that the server has not processed yet.
    pub prefill_tokens: u64,
}

/// Load of one process at the servers where it changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Sequence number within the run; receivers drop messages that arrive out of order.
    pub sequence: u64,
    /// Current load at the changed servers.
    pub loads: Vec<Load>,
    /// Requests and retries recently sent, by service.
    pub attempts: Vec<Attempts>,
}

/// Prompt that a server has processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Hash of the last block of the prompt; in general it identifies the whole prompt.
    pub hash: u64,
    /// Id of the server.
    pub server: Id,
}

/// Limit on the request rate that a server named in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Id of the server.
    pub server: Id,
    /// Requests per 1000 seconds that it accepts from all processes together; `None` if it named
    /// no limit.
    pub per_1000_seconds: Option<u64>,
    /// Milliseconds since the answer.
    pub age_ms: u32,
}

/// Observations of the speed of some servers. Each one replaces the sender's earlier ones at the
/// same run of the server, so that messages may be lost, repeated or out of order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speeds {
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Sequence number within the run.
    pub sequence: u32,
    /// Observations by server.
    pub servers: Vec<Speed>,
}

/// Observations of one process at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Id of the server.
    pub server: Id,
    /// Low bits of the start time of the server's process; 0 if it states none.
    pub run: u16,
    /// Number of observations, in eighths, and the sum of the logarithms of their times in seconds,
    /// in thousandths: of requests, and of steps between events.
    pub counts: [(u32, i32); 2],
}

/// Requests that a process sent to a service within a window that all processes share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempts {
    /// Id of the service.
    pub service: Id,
    /// First attempts of requests.
    pub requests: u32,
    /// Attempts after the first.
    pub retries: u32,
    /// Retries since the process started; wraps around.
    pub total_retries: u32,
    /// Recent retries of the sender and the processes that report to it.
    pub live_retries: u32,
    /// Recent retries of processes that ended or fell silent, as far as the sender knows.
    pub departed: Vec<Departed>,
}

/// Recent retries of a process that ended or fell silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// Id of the process's run.
    pub incarnation: Incarnation,
    /// Its retries, by its last report.
    pub retries: u32,
    /// Time for which they count, in milliseconds.
    pub remaining_ms: u32,
}

/// Server that should receive no new work for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Id of the server.
    pub server: Id,
    /// Milliseconds since the failure.
    pub age_ms: u32,
    /// Kind of failure.
    pub suspicion: Suspicion,
}

/// Kind of failure that makes a server suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suspicion {
    /// The server refused a connection.
    Refused,
    /// The server did not respond, not even with a refusal.
    Unresponsive,
    /// The server closed a connection as soon as it had received the request.
    Disconnected,
    /// The server was at capacity.
    Full,
}

impl Beacon {
    /// Returns the freshness claim of this beacon in terms of the receiver's clock. Returns `None`
    /// without a claim, and without an echo from the receiver's current run, as the age of the
    /// beacon is then unknown.
    pub fn claim(&self, receiver: Incarnation) -> Option<Claim> {
        let freshness = self.freshness?;
        let echo = self.echo.filter(|echo| echo.incarnation == receiver)?;
        let created = Duration::from_millis(echo.timestamp.saturating_add(echo.delay_ms));
        Some(Claim {
            revision: freshness.revision,
            at: created.saturating_sub(Duration::from_millis(freshness.age_ms)),
        })
    }
}
