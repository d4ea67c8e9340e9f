//! Settings of an entry.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use garde::Validate;
use names::{
    DataCentre,
    Environment,
    Host, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::size;

/// Shortest and longest time that a setting may ask for, in milliseconds.
const SHORTEST_MS: u128 = 1;
const LONGEST_MS: u128 = 24 * 3600 * 1000;

/// Settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The host's name, as the host list and the certificate give it.
    #[garde(length(min = 1, max = 128))]
    pub name: Host,
    /// The host's data centre.
    #[garde(length(min = 1, max = 128))]
    pub data_centre: DataCentre,
    /// Environment whose documents this entry serves.
    #[garde(length(min = 1, max = 128))]
    pub environment: Environment,
    /// Address for callers, HTTP.
    #[garde(skip)]
    pub callers: SocketAddr,
    /// Address for operators, HTTP: health, metrics, documents, reports.
    #[garde(skip)]
    pub operators: SocketAddr,
    /// Address for links from our other processes, QUIC.
    #[garde(skip)]
    pub links: SocketAddr,
    /// Base address of the platform's service.
    #[garde(prefix("http"))]
    pub platform: String,
    /// Sizes and counts.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Times.
    #[serde(default)]
    #[garde(dive)]
    pub times: Times,
}

/// Sizes and counts that bound what an entry holds.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a caller's request.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 30))]
    pub body: u64,
    /// Largest body of a plain service's answer.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 30))]
    pub answer: u64,
    /// Open connections of callers.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Requests in progress.
    #[garde(range(min = 1, max = 1_000_000))]
    pub requests: usize,
    /// Sidecars that a link is kept to; others are dialled when they are needed.
    #[garde(range(min = 1, max = 10_000))]
    pub links: usize,
    /// Entries that a link is kept to.
    #[garde(range(min = 1, max = 10_000))]
    pub peers: usize,
    /// Tokens that an answer may have when the caller doesn't say.
    #[garde(range(min = 1, max = 1_000_000))]
    pub tokens: u64,
    /// Runs that one answer may take, the first included.
    #[garde(range(min = 1, max = 64))]
    pub epochs: u32,
}

impl Entry {
    /// Settings of an entry of the walk in the README: any that are fine.
    pub fn sample() -> Entry {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Entry {
            name: "entry-a".into(),
            data_centre: "dc1".into(),
            environment: "production".into(),
            callers: local(7101),
            operators: local(7201),
            links: local(7301),
            platform: "http://127.0.0.1:7000".into(),
            limits: Limits::default(),
            times: Times::default(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            answer: 16 << 20,
            connections: 20_000,
            requests: 4_000,
            links: 128,
            peers: 32,
            tokens: 4_096,
            epochs: 8,
        }
    }
}

/// Times that an entry keeps.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// A caller's header must be there within this time.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub header: Duration,
    /// A caller's connection without a request is closed after this time.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub idle: Duration,
    /// Time between heartbeats on a link with work on it.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub heartbeat: Duration,
    /// Time between heartbeats on a link at rest; it is lost after three of them.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub rest: Duration,
    /// A link with work on it on which nothing came for this time is given up, and a new one is
    /// dialled.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded), custom(above(&self.heartbeat)))]
    pub silence: Duration,
    /// Time between readings of the platform's host list.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub hosts: Duration,
    /// Longest wait of a watch at the platform's store.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub watch: Duration,
    /// Time limit of one call to the platform.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub platform: Duration,
    /// Longest time that an answer may take as a whole.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub answer: Duration,
    /// Longest time that a call to a plain service may take.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub call: Duration,
    /// A first token that is not there after this time raises suspicion.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub first: Duration,
    /// Longest time that a request waits for its turn; what is left until the service level's first
    /// token has to suffice for the engine.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub queue: Duration,
    /// Time that a shutdown waits for requests in progress.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub drain: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            header: Duration::from_secs(10),
            idle: Duration::from_secs(75),
            heartbeat: Duration::from_millis(500),
            rest: Duration::from_secs(2),
            silence: Duration::from_millis(1500),
            hosts: Duration::from_secs(1),
            watch: Duration::from_secs(20),
            platform: Duration::from_secs(2),
            answer: Duration::from_secs(3600),
            call: Duration::from_secs(60),
            first: Duration::from_millis(2500),
            queue: Duration::from_secs(1),
            drain: Duration::from_secs(600),
        }
    }
}

/// Refuses a time of zero, which would make a loop spin, and times so long that they never end.
pub(crate) fn bounded(value: &Duration, _: &()) -> garde::Result {
    if (SHORTEST_MS..=LONGEST_MS).contains(&value.as_millis()) {
        return Ok(());
    }
    Err(garde::Error::new("accepted are 1ms to 24h"))
}

/// Refuses a silence within which fewer than two heartbeats come: one lost packet would then cost
/// the link.
pub(crate) fn above(heartbeat: &Duration) -> impl FnOnce(&Duration, &()) -> garde::Result + '_ {
    move |silence, &()| {
        if *silence > *heartbeat * 2 {
            return Ok(());
        }
        Err(garde::Error::new("accepted is more than two heartbeats"))
    }
}
