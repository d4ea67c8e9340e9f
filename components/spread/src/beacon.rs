//! What entries tell one another a few times a second, in one datagram each.
//!
//! The load that it answers: many entries send work to the same engines and none sees what the
//! others send. Reports of the engines are dear and late; what was sent is known at once. A
//! datagram that is lost is made up for by the next, as each says all there is.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use moves::brief::Tale;
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

mod fragment;
mod table;

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

/// Number of a server or service in a beacon: the lower half of its name's hash.
pub type Number = u32;

/// Number of a peer's run.
pub type Incarnation = u64;

/// Number of a server or service.
pub fn number(name: &str) -> Number {
    xxh3_64(name.as_bytes()) as Number
}

/// One datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// Who sends it.
    pub host: Host,
    /// Number of its run.
    pub incarnation: Incarnation,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Number of the datagram within the run; late ones are dropped.
    pub sequence: u64,
    /// It takes no new work.
    pub leaving: bool,
    /// Work that it has at servers.
    pub loads: Vec<Load>,
    /// Servers that should get no new work for a while.
    pub losses: Vec<Loss>,
    /// What it sent of late, by service.
    pub sends: Vec<Sends>,
    /// Prompts that servers have read for it.
    pub prompts: Vec<Prompt>,
    /// Requests that wait there and can still be in time, by service.
    pub queued: Vec<(Number, u32)>,
    /// Moves between versions: the service, and what was counted.
    pub moves: Vec<(Number, Tale)>,
    /// Some other peers' addresses.
    pub addresses: Vec<SocketAddr>,
    /// Peers that the sender hears.
    pub peer_count: u32,
    /// Time until the next beacon at the latest, in milliseconds.
    pub interval_ms: u32,
    /// The sender's clock, in milliseconds.
    pub timestamp: u64,
    /// How current the sender's knowledge is.
    pub freshness: Option<Age>,
    /// The receiver's last stamp, given back.
    pub echo: Option<Echo>,
}

/// The store's revision that the sender knows all changes of, and how long ago it was current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    /// The revision.
    pub revision: Revision,
    /// Milliseconds since it was the store's newest.
    pub ms: u64,
}

/// A stamp that is given back, so that its owner can tell when the message was made at the
/// earliest. The time at which a message is read tells nothing: it may have waited while the reader
/// was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's run that gave the stamp. A host's clock starts anew with the host, so that a
    /// stamp of an earlier run means nothing to the next one at the same address.
    pub incarnation: Incarnation,
    /// The receiver's stamp.
    pub timestamp: u64,
    /// Milliseconds that it lay at the sender.
    pub delay_ms: u64,
}

/// Changes of the store, from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Who knows all changes up to here can use them.
    pub from: Revision,
    /// Who used them knows all changes up to here.
    pub to: Revision,
    /// Each change in order: its revision, and how the adapter to the store encodes it.
    pub items: Vec<(Revision, Vec<u8>)>,
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What a peer says of itself.
    Beacon(Box<Beacon>),
    /// What it heard from the store.
    Changes(Changes),
    /// A part of what it heard from the store.
    Fragment(Fragment),
    /// Addresses of peers, for one that hears few.
    Introduction(Vec<SocketAddr>),
    /// Work that changed, for peers of the same data centre.
    Loads(Loads),
    /// Each peer should ask its part of a service's engines what their caches hold.
    Lookup(Number),
    /// What engines said that they hold.
    CachedPrompts(Vec<Prompt>),
}

/// Work at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: Number,
    /// Requests.
    pub requests: u32,
    /// Tokens that they fill.
    pub tokens: u64,
    /// Tokens of prompts that are still to be read.
    pub unread: u64,
}

/// All work of a process at some servers, as it is after a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// Who sends it.
    pub incarnation: Incarnation,
    /// Number of the message within the run; late ones are dropped.
    pub sequence: u64,
    /// The work.
    pub loads: Vec<Load>,
    /// What it sent of late, by service.
    pub sends: Vec<Sends>,
}

/// A prompt that a server has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Hash of its last part, which no other prompt shares as a rule.
    pub hash: u64,
    /// The server.
    pub server: Number,
}

/// What a process sent to a service within a window that all know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sends {
    /// The service.
    pub service: Number,
    /// First sends of requests.
    pub requests: u32,
    /// Sends beyond the first.
    pub retries: u32,
    /// The same since the process started; it wraps around.
    pub total_retries: u32,
}

/// A server that should get no new work for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The server.
    pub server: Number,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
    /// What speaks against it.
    pub suspicion: Suspicion,
}

/// What speaks against a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suspicion {
    /// It refused a connection.
    Refused,
    /// Nothing came back from it, not even a refusal.
    Dark,
    /// It broke a connection as soon as it had the request.
    Broke,
    /// It was full.
    Full,
}

impl Beacon {
    /// What a beacon says of the store, by the clock of the receiver's run; `None` when it can't be
    /// told when the beacon was made.
    pub fn claim(&self, receiver: Incarnation) -> Option<Claim> {
        let fresh = self.freshness?;
        let echo = self.echo.filter(|echo| echo.incarnation == receiver)?;
        let made = Duration::from_millis(echo.timestamp + echo.delay_ms);
        Some(Claim {
            revision: fresh.revision,
            at: made.saturating_sub(Duration::from_millis(fresh.ms)),
        })
    }
}
