//! What the parts of an entry share.

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
    suspects::Suspects, //
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
    burn::Book,
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
    unresponsive::Silent, //
};

/// Shared by the tasks of one entry.
pub(crate) struct State {
    pub(crate) settings: Entry,
    pub(crate) node: Node,
    pub(crate) hello: Hello,
    /// What our next heartbeat says.
    pub(crate) heartbeat: watch::Sender<Heartbeat>,
    pub(crate) platform: store::Client,
    /// Records of calls that run at most once.
    pub(crate) records: Records,
    pub(crate) outage: Outage,
    /// What is known of requests that bring servers down.
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) fleet: Fleet,
    pub(crate) hosts: Hosts,
    pub(crate) pool: Arc<Pool>,
    pub(crate) gates: Gates,
    pub(crate) documents: Documents,
    pub(crate) movers: Movers,
    /// Counters of service-level burn.
    pub(crate) book: Book,
    /// Counters of resumed answers.
    pub(crate) resumes: Resumes,
    pub(crate) gaps: Pools,
    pub(crate) silent: Silent,
    /// How late this process runs.
    pub(crate) lateness: Lateness,
    pub(crate) requests: Requests,
    /// Origin of the clock readings that decision code gets.
    pub(crate) origin: Instant,
    /// Set when the entry leaves.
    pub(crate) leaving: CancellationToken,
    /// Set when the entry ends.
    pub(crate) ended: CancellationToken,
}

impl State {
    /// Time since the process began.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Tells the pool what a peer last said.
    pub(crate) fn tell_pool(&self, peer: &Peer) {
        let Some(backend) = peer.joined().and_then(|joined| joined.hello.backend) else {
            return;
        };
        let (heartbeat, leaving) = peer.last();
        self.pool.heard(&backend.server, &heartbeat, leaving);
    }
}

/// Gaps between tokens by service and version, which new answers start from.
#[derive(Default)]
pub(crate) struct Pools(Mutex<HashMap<(Service, Version), Gaps>>);

impl Pools {
    pub(crate) fn learn(&self, service: &str, version: &str, gap: Duration) {
        let mut pools = self.0.lock().expect("no panic while held");
        let key = (service.to_string(), version.to_string());
        pools.entry(key).or_default().learn(gap);
    }

    pub(crate) fn get(&self, service: &str, version: &str) -> Gaps {
        let pools = self.0.lock().expect("no panic while held");
        let key = (service.to_string(), version.to_string());
        pools.get(&key).copied().unwrap_or_default()
    }
}

/// Counts the requests in progress.
#[derive(Clone, Default)]
pub(crate) struct Requests(Arc<AtomicUsize>);

/// One request in progress; dropping it ends the count.
pub(crate) struct Request(Arc<AtomicUsize>);

impl Requests {
    /// Begins a request, unless `most` are in progress.
    pub(crate) fn begin(&self, most: usize) -> Option<Request> {
        let before = self.0.fetch_add(1, Ordering::AcqRel);
        let request = Request(self.0.clone());
        (before < most).then_some(request)
    }

    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
