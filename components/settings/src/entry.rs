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

/// Shortest accepted duration, in milliseconds.
const MIN_DURATION_MS: u128 = 1;

/// Longest accepted duration, in milliseconds.
const MAX_DURATION_MS: u128 = 24 * 3600 * 1000;

/// Settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the host, as in the host list and in its certificate.
    #[garde(length(min = 1, max = 128))]
    pub name: Host,
    /// Data centre of the host.
    #[garde(length(min = 1, max = 128))]
    pub data_centre: DataCentre,
    /// Environment whose documents this entry serves.
    #[garde(length(min = 1, max = 128))]
    pub environment: Environment,
    /// Address that the entry listens on for callers (HTTP).
    #[garde(skip)]
    pub callers: SocketAddr,
    /// Address that the entry listens on for operators (HTTP): health, metrics, documents, reports.
    #[garde(skip)]
    pub operators: SocketAddr,
    /// Address that the entry listens on for links from other processes (QUIC).
    #[garde(skip)]
    pub links: SocketAddr,
    /// Base URL of the platform's service.
    #[garde(prefix("http"))]
    pub platform: String,
    /// Limits of sizes and counts.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Intervals and time limits.
    #[serde(default)]
    #[garde(dive)]
    pub times: Times,
}

/// Limits of what an entry holds.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of the body of a caller's request, in bytes.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 30))]
    pub body: u64,
    /// Maximum size of the body of a plain service's answer, in bytes.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 30))]
    pub answer: u64,
    /// Maximum number of open connections of callers.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Maximum number of requests in progress.
    #[garde(range(min = 1, max = 1_000_000))]
    pub requests: usize,
    /// Maximum number of sidecars to which a link is kept open; others are dialled when needed.
    #[garde(range(min = 1, max = 10_000))]
    pub links: usize,
    /// Maximum number of other entries to which a link is kept open.
    #[garde(range(min = 1, max = 10_000))]
    pub peers: usize,
    /// Maximum length of an answer in tokens when the caller gives none.
    #[garde(range(min = 1, max = 1_000_000))]
    pub tokens: u64,
    /// Maximum number of runs of one answer, including the first.
    #[garde(range(min = 1, max = 64))]
    pub epochs: u32,
}

impl Entry {
    /// Returns valid settings: those of an entry in the README's walkthrough.
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

/// Intervals and time limits of an entry.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// Time within which the header of a caller's request must arrive.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub header: Duration,
    /// Time after which a caller's connection without a request is closed.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub idle: Duration,
    /// Time between heartbeats on a link while work is in progress on it.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub heartbeat: Duration,
    /// Time between heartbeats on an idle link, which counts as lost after three of them.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub rest: Duration,
    /// Time after which a link that has work in progress but receives nothing is given up, and a
    /// new one is dialled.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range), custom(longer_than_two_heartbeats(&self.heartbeat)))]
    pub silence: Duration,
    /// Time between two reads of the platform's host list.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub hosts: Duration,
    /// Longest wait of one watch call at the platform's store.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub watch: Duration,
    /// Time limit of one call to the platform.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub platform: Duration,
    /// Time limit of a complete answer.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub answer: Duration,
    /// Time limit of a call to a plain service.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub call: Duration,
    /// Time without a first token after which a run is suspected of being stuck.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub first: Duration,
    /// Longest time that a request waits in the queue; the time that then remains until the service
    /// level's first token must suffice for the engine.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub queue: Duration,
    /// Time for which a shutdown waits for requests in progress.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
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

/// Refuses a duration of zero, which would make a loop spin, and durations so long that they never
/// end.
pub(crate) fn check_range(value: &Duration, _: &()) -> garde::Result {
    if (MIN_DURATION_MS..=MAX_DURATION_MS).contains(&value.as_millis()) {
        return Ok(());
    }
    Err(garde::Error::new("must be from 1ms to 24h"))
}

/// Refuses a silence of at most two heartbeats: the link would then be lost after a single lost
/// packet.
pub(crate) fn longer_than_two_heartbeats(
    heartbeat: &Duration,
) -> impl FnOnce(&Duration, &()) -> garde::Result + '_ {
    move |silence, &()| {
        if *silence > *heartbeat * 2 {
            return Ok(());
        }
        Err(garde::Error::new("must be longer than two heartbeats"))
    }
}
