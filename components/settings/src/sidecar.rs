//! Settings of a sidecar.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use garde::Validate;
use names::{
    DataCentre,
    Host,
    Server,
    Service,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    entry::check_range,
    size, //
};

/// Settings of a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// Name of the host, as in the host list and in its certificate.
    #[garde(length(min = 1, max = 128))]
    pub name: Host,
    /// Data centre of the host.
    #[garde(length(min = 1, max = 128))]
    pub data_centre: DataCentre,
    /// Address that the sidecar listens on for links from other processes (QUIC).
    #[garde(skip)]
    pub links: SocketAddr,
    /// Address that the sidecar listens on for operators (HTTP): health, metrics.
    #[garde(skip)]
    pub operators: SocketAddr,
    /// Base URL of the platform's service.
    #[garde(prefix("http"))]
    pub platform: String,
    /// The backend server behind this sidecar.
    #[garde(dive)]
    pub server: Backend,
    /// Limits of sizes and counts.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Intervals and time limits.
    #[serde(default)]
    #[garde(dive)]
    pub times: Times,
}

/// The backend server behind a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the server in the operators' documents.
    #[garde(length(min = 1, max = 128))]
    pub name: Server,
    /// Base URL of the server's HTTP interface.
    #[garde(prefix("http"))]
    pub address: String,
    /// Kind of the server.
    #[garde(skip)]
    pub kind: Kind,
    /// Service that the server belongs to.
    #[garde(length(min = 1, max = 128))]
    pub service: Service,
    /// Version of the service that the server runs when the sidecar starts.
    #[garde(length(min = 1, max = 128))]
    pub version: Version,
    /// Name of the model that an engine serves.
    #[serde(default)]
    #[garde(skip)]
    pub model: String,
    /// Whether the server refuses orders that carry an outdated fencing token.
    #[serde(default)]
    #[garde(skip)]
    pub checks_fence: bool,
}

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An engine that generates tokens.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Limits of what a sidecar holds.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of one generation's token log, in bytes.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 30))]
    pub log: u64,
    /// Maximum size of all token logs together, in bytes.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 36))]
    pub logs: u64,
    /// Maximum number of runs and calls in progress.
    #[garde(range(min = 1, max = 100_000))]
    pub runs: usize,
    /// Maximum size of the body of a plain service's answer, in bytes.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 30))]
    pub answer: u64,
}

impl Sidecar {
    /// Returns valid settings: those of a sidecar in the README's walkthrough.
    pub fn sample() -> Sidecar {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Sidecar {
            name: "draft-a".into(),
            data_centre: "dc1".into(),
            links: local(7311),
            operators: local(7211),
            platform: "http://127.0.0.1:7000".into(),
            server: Backend {
                name: "draft-a-server".into(),
                address: "http://127.0.0.1:7411".into(),
                kind: Kind::Engine,
                service: "draft".into(),
                version: "v1".into(),
                model: "m".into(),
                checks_fence: false,
            },
            limits: Limits::default(),
            times: Times::default(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            log: 1 << 20,
            logs: 64 << 20,
            runs: 256,
            answer: 16 << 20,
        }
    }
}

/// Intervals and time limits of a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// Time between heartbeats on a link while work is in progress: they carry the load.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub heartbeat: Duration,
    /// Time between heartbeats on an idle link, which counts as lost after three of them.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub rest: Duration,
    /// Time limit of a link's handshake, of a health check, and of connecting to the backend
    /// server.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub silence: Duration,
    /// Time for which a generation runs on, and its log is held, without a listener.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub grace: Duration,
    /// Time between two reads of the backend server's load.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub load: Duration,
    /// Time limit of one call to the platform.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub platform: Duration,
    /// Time after which a run whose engine sent nothing is given up.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub stall: Duration,
    /// Longest time for which an engine that doesn't check fencing tokens may still execute an
    /// order after its connection was closed.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub settle: Duration,
    /// Time limit of a call to a plain service.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub call: Duration,
    /// Time for which a shutdown waits for work in progress.
    #[serde(with = "humantime_serde")]
    #[garde(custom(check_range))]
    pub drain: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            rest: Duration::from_secs(2),
            silence: Duration::from_millis(1500),
            grace: Duration::from_secs(30),
            load: Duration::from_millis(500),
            platform: Duration::from_secs(2),
            stall: Duration::from_secs(30),
            settle: Duration::from_secs(30),
            call: Duration::from_secs(60),
            drain: Duration::from_secs(600),
        }
    }
}
