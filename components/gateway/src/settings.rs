//! What the gateway is told at its start and whenever its settings change.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use admission::Bound;
use moves::rollout::Exposure;
use names::{
    DataCentre,
    Host, //
};

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether this process takes new connections.
    pub ready: SocketAddr,
    /// Where beacons of other gateways come.
    pub peers: SocketAddr,
    /// Where metrics are asked for.
    pub metrics: Option<SocketAddr>,
    /// Where some other gateways may be found; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Bounds that the operator sets on the behaviour of all gateways together.
    pub bounds: Bounds,
}

/// Bounds that hold over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time that a process has between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time after which a key that was taken away must not work any more, also at a process that
    /// can't reach the store.
    pub revocation: Duration,
    /// Time within which a backend server that leaves must get no new work.
    pub drain: Duration,
    /// Time that an event of a stream may take from the backend server to the caller.
    pub pass: Duration,
    /// Retries of a service that are allowed for each of its requests.
    pub retry_ratio: f64,
    /// Retries of a service that are allowed besides, in each window.
    pub retry_slack: f64,
    /// Length of the window over which retries are counted.
    pub retry_window: Duration,
    /// What a bad version of a service may get.
    pub exposure: Exposure,
}

impl Bounds {
    /// The bound on retries.
    pub fn retries(&self) -> Bound {
        Bound {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.retry_window,
        }
    }
}
