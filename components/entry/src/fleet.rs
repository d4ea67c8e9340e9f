//! The other processes that this entry knows, its links to them, and what they last said.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use environment::document::Release;
use names::{
    Host,
    Server,
    Service, //
};
use tokio::sync::{
    mpsc,
    watch, //
};
use wire::{
    Frame, Link,
    frame::{
        Heartbeat,
        Hello, //
    },
};

/// The processes that this entry has a link to, or had one.
#[derive(Default)]
pub(crate) struct Fleet {
    peers: Mutex<HashMap<Host, Arc<Peer>>>,
}

/// One other process.
pub(crate) struct Peer {
    /// Its host.
    pub(crate) host: Host,
    /// The link, while there is one.
    pub(crate) link: watch::Sender<Option<Joined>>,
    /// What it last said.
    pub(crate) heartbeat: Mutex<Heartbeat>,
    /// The platform's list says that the host leaves.
    listed_leaving: AtomicBool,
    /// Pieces of work of this entry at the peer.
    work: Arc<watch::Sender<u32>>,
}

/// A link that is up.
#[derive(Clone)]
pub(crate) struct Joined {
    pub(crate) link: Link,
    pub(crate) hello: Hello,
    /// Frames for the link's first stream.
    pub(crate) frames: mpsc::Sender<Frame>,
}

/// One piece of work at a peer; dropping it ends the count.
pub(crate) struct Sent(Arc<watch::Sender<u32>>);

impl Peer {
    fn new(host: Host) -> Self {
        Self {
            host,
            link: watch::Sender::new(None),
            heartbeat: Mutex::default(),
            listed_leaving: AtomicBool::new(false),
            work: Arc::new(watch::Sender::new(0)),
        }
    }

    /// The link, when it is up.
    pub(crate) fn joined(&self) -> Option<Joined> {
        let joined = self.link.borrow().clone();
        joined.filter(|joined| !joined.link.is_closed())
    }

    /// Counts a piece of work sent to this peer.
    pub(crate) fn send(&self) -> Sent {
        self.work.send_modify(|work| *work += 1);
        Sent(self.work.clone())
    }

    /// Takes the host list's word on whether the host leaves.
    pub(crate) fn listed(&self, leaving: bool) {
        self.listed_leaving.store(leaving, Ordering::Release);
    }

    /// Pieces of work of this entry at the peer.
    pub(crate) fn in_flight(&self) -> u32 {
        *self.work.borrow()
    }

    /// Changes of the number of pieces of work.
    pub(crate) fn work(&self) -> watch::Receiver<u32> {
        self.work.subscribe()
    }

    /// May this peer get new work?
    fn takes_work(&self) -> bool {
        let heartbeat = self.heartbeat.lock().expect("no panic while held");
        let listed_leaving = self.listed_leaving.load(Ordering::Acquire);
        heartbeat.healthy && !heartbeat.leaving && !listed_leaving
    }

    fn load(&self) -> u32 {
        let heartbeat = self.heartbeat.lock().expect("no panic while held");
        let reported = heartbeat.load.map_or(0, |load| load.running + load.queued);
        // The report lags; what we have sent ourselves is known at once.
        reported.max(self.in_flight())
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.0.send_modify(|work| *work -= 1);
    }
}

impl Fleet {
    /// The peer of that name; made when it is new.
    pub(crate) fn peer(&self, host: &str) -> Arc<Peer> {
        let mut peers = self.peers.lock().expect("no panic while held");
        peers
            .entry(host.to_string())
            .or_insert_with(|| Arc::new(Peer::new(host.to_string())))
            .clone()
    }

    /// Drops a peer that is gone for good.
    pub(crate) fn forget(&self, host: &str) {
        let mut peers = self.peers.lock().expect("no panic while held");
        peers.remove(host);
    }

    /// Every peer.
    pub(crate) fn all(&self) -> Vec<Arc<Peer>> {
        let peers = self.peers.lock().expect("no panic while held");
        peers.values().cloned().collect()
    }

    /// Backend servers that may get work, in order.
    pub(crate) fn servers(&self) -> Vec<Server> {
        let mut servers = Vec::new();
        for peer in self.all() {
            if !peer.takes_work() {
                continue;
            }
            let backend = peer.joined().and_then(|joined| joined.hello.backend);
            servers.extend(backend.map(|backend| backend.server));
        }
        servers.sort();
        servers
    }

    /// Chooses a replica: the least loaded that is not to be avoided, or else the least loaded.
    pub(crate) fn choose(
        &self,
        service: &Service,
        release: &Release,
        avoid: &[Server],
    ) -> Option<(Arc<Peer>, Joined, Server)> {
        let mut best: Option<(bool, u32, Arc<Peer>, Joined, Server)> = None;
        for peer in self.all() {
            if !peer.takes_work() {
                continue;
            }
            let Some(joined) = peer.joined() else {
                continue;
            };
            let Some(backend) = joined.hello.backend.clone() else {
                continue;
            };
            if backend.service != *service
                || backend.version != release.name
                || !release.runs_on(&backend.server)
            {
                continue;
            }
            let rank = (avoid.contains(&backend.server), peer.load());
            if best.as_ref().is_none_or(|best| rank < (best.0, best.1)) {
                best = Some((rank.0, rank.1, peer, joined, backend.server));
            }
        }
        best.map(|(_, _, peer, joined, server)| (peer, joined, server))
    }
}
