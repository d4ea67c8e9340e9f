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
    entry::bounded,
    size, //
};

/// Settings of a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// The host's name, as the host list and the certificate give it.
    #[garde(length(min = 1, max = 128))]
    pub name: Host,
    /// The host's data centre.
    #[garde(length(min = 1, max = 128))]
    pub data_centre: DataCentre,
    /// Address for links from our other processes, QUIC.
    #[garde(skip)]
    pub links: SocketAddr,
    /// Address for operators, HTTP: health, metrics.
    #[garde(skip)]
    pub operators: SocketAddr,
    /// Base address of the platform's service.
    #[garde(prefix("http"))]
    pub platform: String,
    /// The backend server beside this sidecar.
    #[garde(dive)]
    pub server: Backend,
    /// Sizes and counts.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Times.
    #[serde(default)]
    #[garde(dive)]
    pub times: Times,
}

/// The backend server beside a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Its name in operators' documents.
    #[garde(length(min = 1, max = 128))]
    pub name: Server,
    /// Base address of its HTTP interface.
    #[garde(prefix("http"))]
    pub address: String,
    /// Engine or plain service.
    #[garde(skip)]
    pub kind: Kind,
    /// The service that it belongs to.
    #[garde(length(min = 1, max = 128))]
    pub service: Service,
    /// The version that it runs when the sidecar starts.
    #[garde(length(min = 1, max = 128))]
    pub version: Version,
    /// Model that an engine serves.
    #[serde(default)]
    #[garde(skip)]
    pub model: String,
    /// It refuses orders that carry an old fencing token.
    #[serde(default)]
    #[garde(skip)]
    pub checks_fence: bool,
}

/// What stands beside the sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Sizes and counts that bound what a sidecar holds.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of one generation's token log.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 30))]
    pub log: u64,
    /// Bytes of all token logs together.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 36))]
    pub logs: u64,
    /// Runs and calls in progress.
    #[garde(range(min = 1, max = 100_000))]
    pub runs: usize,
    /// Largest body of a plain service's answer.
    #[serde(with = "size")]
    #[garde(range(min = 1024, max = 1 << 30))]
    pub answer: u64,
}

impl Sidecar {
    /// Settings of a sidecar of the walk in the README: any that are fine.
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

/// Times that a sidecar keeps.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// Time between heartbeats on a link while there is work here: they carry the load.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub heartbeat: Duration,
    /// Time between heartbeats on a link at rest; it is lost after three of them.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub rest: Duration,
    /// Time limit of a greeting, of a health check, and of connecting to the backend server.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub silence: Duration,
    /// A generation runs on for this time after nobody listens to it any more.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub grace: Duration,
    /// Time between readings of the backend server's load.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub load: Duration,
    /// Time limit of one call to the platform.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub platform: Duration,
    /// An engine that sends nothing for this time is given up.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub stall: Duration,
    /// Longest time for which an engine that doesn't check fencing tokens may still carry out an
    /// order after its connection was closed.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub settle: Duration,
    /// Longest time that a call to a plain service may take.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
    pub call: Duration,
    /// Time that a shutdown waits for what is in progress.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded))]
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
