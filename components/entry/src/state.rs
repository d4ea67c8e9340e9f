//! State that the tasks of an entry share.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration,
};

use answer::threshold::Gaps;
use daemon::{
    lateness::Lateness,
    records::Records,
    suspects::SharedDetector, //
};
use names::{
    Service,
    Version, //
};
use settings::Entry;
use tokio::{
    sync::watch,
    time::Instant, //
};
use tokio_util::sync::CancellationToken;
use wire::{
    Node,
    frame::{
        Heartbeat,
        Hello, //
    }, //
};

use crate::{
    burn::BurnCounters,
    documents::Documents,
    fleet::{
        Fleet,
        Peer, //
    },
    gates::Gates,
    hosts::Hosts,
    moves::movers::Movers,
    outage::Outage,
    pool::Pool,
    resumes::Resumes,
    unresponsive::Unresponsive, //
};

/// State of one entry.
pub(crate) struct State {
    pub(crate) settings: Entry,
    pub(crate) node: Node,
    pub(crate) hello: Hello,
    /// Content of the next heartbeat to peers.
    pub(crate) heartbeat: watch::Sender<Heartbeat>,
    pub(crate) platform: store::Client,
    /// Records of calls that run at most once.
    pub(crate) records: Records,
    pub(crate) outage: Outage,
    /// Facts about requests that may crash backend servers.
    pub(crate) suspects: Arc<SharedDetector>,
    pub(crate) fleet: Fleet,
    pub(crate) hosts: Hosts,
    pub(crate) pool: Arc<Pool>,
    pub(crate) gates: Gates,
    pub(crate) documents: Documents,
    pub(crate) movers: Movers,
    /// Counters of service-level burn.
    pub(crate) burn: BurnCounters,
    /// Counters of resumed answers.
    pub(crate) resumes: Resumes,
    /// Times between tokens, by service and version.
    pub(crate) gaps: GapTable,
    pub(crate) unresponsive: Unresponsive,
    /// Scheduling delay of this process.
    pub(crate) lateness: Lateness,
    pub(crate) requests: Requests,
    /// Origin of the clock readings that are passed to decision code.
    pub(crate) origin: Instant,
    /// Cancelled when the entry begins to shut down.
    pub(crate) stopping: CancellationToken,
    /// Cancelled when requests in progress get their final responses.
    pub(crate) cutoff: CancellationToken,
    /// Cancelled when the requests in progress have drained.
    pub(crate) stopped: CancellationToken,
}

impl State {
    /// Returns the time since [`State::origin`].
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Updates the pool with the last reported state of a peer.
    pub(crate) fn update_pool(&self, peer: &Peer) {
        let Some(backend) = peer
            .connection()
            .and_then(|connection| connection.hello.backend)
        else {
            return;
        };
        let (heartbeat, leaving) = peer.status();
        self.pool.update(&backend.server, &heartbeat, leaving);
    }
}

/// Times between tokens by service and version: the initial estimate for each new answer.
#[derive(Default)]
pub(crate) struct GapTable(Mutex<HashMap<(Service, Version), Gaps>>);

impl GapTable {
    /// Adds a time between two tokens.
    pub(crate) fn record(&self, service: &str, version: &str, gap: Duration) {
        let mut gaps = self.0.lock().expect("no panic while held");
        let key = (service.to_string(), version.to_string());
        gaps.entry(key).or_default().record(gap);
    }

    /// Returns the measured times of a version, or the default.
    pub(crate) fn get(&self, service: &str, version: &str) -> Gaps {
        let gaps = self.0.lock().expect("no panic while held");
        let key = (service.to_string(), version.to_string());
        gaps.get(&key).copied().unwrap_or_default()
    }
}

/// Counts the requests in progress.
#[derive(Clone, Default)]
pub(crate) struct Requests(Arc<AtomicUsize>);

/// Counts one request as in progress until it is dropped.
pub(crate) struct Guard(Arc<AtomicUsize>);

impl Requests {
    /// Begins a request, unless `limit` requests are in progress.
    pub(crate) fn begin(&self, limit: usize) -> Option<Guard> {
        let before = self.0.fetch_add(1, Ordering::AcqRel);
        let guard = Guard(self.0.clone());
        (before < limit).then_some(guard)
    }

    /// Returns the number of requests in progress.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
