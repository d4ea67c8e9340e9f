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
    /// Limits on what callers can make the process hold.
    pub limits: Limits,
    /// Limits that the operator sets.
    pub bounds: Bounds,
}

/// Memory of a process for which none is stated, in bytes.
pub const DEFAULT_MEMORY: u64 = 512_000_000;

/// Descriptors of a process for which none are stated: the usual limit.
pub const DEFAULT_DESCRIPTORS: u64 = 1024;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Size of the buffer in which the kernel receives for a connection, in bytes.
pub const DEFAULT_RECEIVE_BUFFER: usize = 32 * 1024;

/// Size of the buffer in which the kernel keeps what a caller hasn't taken, in bytes.
pub const DEFAULT_SEND_BUFFER: usize = 64 * 1024;

/// Share of the process's memory that callers' connections and requests may take, and that of what
/// connections to servers hold before it is processed.
const CALLER_SHARE: f64 = 0.45;
const SERVER_SHARE: f64 = 0.1;

/// Maximum of the latter, in bytes.
const MAX_SERVER_MEMORY: usize = 16 << 20;

/// Connections to each of the endpoints for readiness and metrics.
const ADMIN_CONNECTIONS: usize = 16;

/// Pause before a request whose caller doesn't read refusals.
const PIPELINE_PAUSE: Duration = Duration::from_millis(250);

/// Limits on what callers can make the process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory that their connections and requests may take, in bytes.
    pub memory: usize,
    /// Memory of what connections to servers hold before it is processed, in bytes.
    pub server_memory: usize,
    /// Number of callers' connections.
    pub connections: usize,
    /// Size of the buffer in which the kernel receives for each of them, in bytes.
    pub receive_buffer: usize,
    /// Size of the buffer in which the kernel keeps what it hasn't taken, in bytes.
    pub send_buffer: usize,
    /// Number of connections to each of the endpoints for readiness and metrics.
    pub admin_connections: usize,
    /// Pause before a request that was sent before the refusal of the one ahead of it was read.
    pub pipeline_pause: Duration,
}

impl Limits {
    /// Returns the limits in a process that may use a memory, in bytes, and a number of descriptors. What
    /// is left is kept for the process itself, servers, the store and peers.
    pub fn of(memory: u64, descriptors: u64) -> Limits {
        let for_sockets = descriptors.saturating_sub(FILE_DESCRIPTORS.min(descriptors / 2));
        Limits {
            memory: (memory as f64 * CALLER_SHARE) as usize,
            server_memory: MAX_SERVER_MEMORY.min((memory as f64 * SERVER_SHARE) as usize),
            connections: usize::try_from(for_sockets / 2)
                .unwrap_or(usize::MAX)
                .max(1),
            receive_buffer: DEFAULT_RECEIVE_BUFFER,
            send_buffer: DEFAULT_SEND_BUFFER,
            admin_connections: ADMIN_CONNECTIONS,
            pipeline_pause: PIPELINE_PAUSE,
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::of(DEFAULT_MEMORY, DEFAULT_DESCRIPTORS)
    }
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
