//! Settings that the gateway reads at its start and on each reload.

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
    /// Data centre of this host.
    pub data_centre: DataCentre,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// UDP address that receives beacons of other gateways.
    pub peers: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: Option<SocketAddr>,
    /// Addresses of some other gateways, which may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Whether it is certain that no gateway sent a retry in the last window, so that the start needs
    /// no caution.
    pub retries_known: bool,
    /// Memory that the process may use, in bytes, if it is limited.
    pub memory: Option<u64>,
    /// Limits that the operator sets.
    pub bounds: Bounds,
}

/// Limits that the operator sets. The limits on retries and the exposure hold over all gateways
/// together, the others for each process.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time that a process has between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time after which a revoked API key must no longer be accepted, even by a process that can't
    /// reach the store.
    pub revocation: Duration,
    /// Time within which a draining backend server must stop getting new work.
    pub drain: Duration,
    /// Maximum delay of a stream event between the backend server and the caller.
    pub event_delay: Duration,
    /// Retries of a service that are allowed per request.
    pub retry_ratio: f64,
    /// Retries of a service that are allowed in each window on top of the ratio.
    pub retry_slack: f64,
    /// Length of the window over which retries are counted.
    pub retry_window: Duration,
    /// Limit on the requests that a faulty new version of a service may receive.
    pub exposure: Exposure,
}

impl Settings {
    /// Returns whether other gateways are named.
    pub fn has_seeds(&self) -> bool {
        self.seeds.iter().any(|seed| *seed != self.peers)
    }
}

impl Bounds {
    /// Returns the limit on retries.
    pub fn retries(&self) -> Bound {
        Bound {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.retry_window,
        }
    }
}
