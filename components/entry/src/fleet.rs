//! Peers of this entry: its links to them and the state that they last reported.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU32,
            Ordering, //
        }, //
    }, //
};

use names::{
    Host,
    Server, //
};
use tokio::sync::{
    mpsc,
    watch, //
};
use wire::{
    Frame,
    Link,
    frame::{
        Heartbeat,
        Hello, //
    }, //
};

/// Peers of this entry, by host.
#[derive(Default)]
pub(crate) struct Fleet {
    peers: Mutex<HashMap<Host, Arc<Peer>>>,
}

/// Process that this entry has or had a link to.
pub(crate) struct Peer {
    /// Name of its host.
    pub(crate) host: Host,
    /// Link to the process, while it is connected.
    pub(crate) connection: watch::Sender<Option<Connection>>,
    /// Last heartbeat received.
    heartbeat: Mutex<Heartbeat>,
    /// Whether the platform's host list has the host as leaving.
    listed_leaving: AtomicBool,
    /// Units of work of this entry at the peer.
    work: Arc<watch::Sender<u32>>,
    /// Value of `work` when the last heartbeat was received.
    work_at_heartbeat: AtomicU32,
}

/// A link that is up, with the peer's hello frame.
#[derive(Clone)]
pub(crate) struct Connection {
    pub(crate) link: Link,
    pub(crate) hello: Hello,
    /// Queue of frames for the link's control stream.
    pub(crate) frames: mpsc::Sender<Frame>,
}

impl Peer {
    fn new(host: Host) -> Self {
        Self {
            host,
            connection: watch::Sender::new(None),
            heartbeat: Mutex::default(),
            listed_leaving: AtomicBool::new(false),
            work: Arc::new(watch::Sender::new(0)),
            work_at_heartbeat: AtomicU32::new(0),
        }
    }

    /// Returns the link, if it is up.
    pub(crate) fn connection(&self) -> Option<Connection> {
        let connection = self.connection.borrow().clone();
        connection.filter(|connection| !connection.link.is_closed())
    }

    /// Returns the counter of units of work of this entry at the peer.
    pub(crate) fn work_counter(&self) -> &Arc<watch::Sender<u32>> {
        &self.work
    }

    /// Sets whether the host list has the host as leaving, and returns whether that changed.
    pub(crate) fn set_listed_leaving(&self, leaving: bool) -> bool {
        self.listed_leaving.swap(leaving, Ordering::AcqRel) != leaving
    }

    /// Returns the number of units of work of this entry at the peer.
    pub(crate) fn in_flight(&self) -> u32 {
        *self.work.borrow()
    }

    /// Subscribes to the number of units of work.
    pub(crate) fn watch_work(&self) -> watch::Receiver<u32> {
        self.work.subscribe()
    }

    /// Records a heartbeat, and returns whether it is the first one that has the peer as leaving.
    pub(crate) fn record_heartbeat(&self, heartbeat: Heartbeat) -> bool {
        let mut last = self.heartbeat.lock().expect("no panic while held");
        let starts_leaving = heartbeat.leaving && !last.leaving;
        self.work_at_heartbeat
            .store(self.in_flight(), Ordering::Release);
        *last = heartbeat;
        starts_leaving
    }

    /// Returns the last heartbeat, and whether the host list has the host as leaving.
    pub(crate) fn status(&self) -> (Heartbeat, bool) {
        let heartbeat = self.heartbeat.lock().expect("no panic while held");
        (
            heartbeat.clone(),
            self.listed_leaving.load(Ordering::Acquire),
        )
    }

    /// Returns whether the peer may be sent new work.
    fn accepts_work(&self) -> bool {
        let heartbeat = self.heartbeat.lock().expect("no panic while held");
        let listed_leaving = self.listed_leaving.load(Ordering::Acquire);
        heartbeat.healthy && !heartbeat.leaving && !listed_leaving
    }

    /// Returns capacity and load of the backend server, if it runs `service` and may be sent work.
    fn reported_load(&self, service: &str) -> Option<(u32, u32)> {
        let connection = self.connection()?;
        let backend = connection.hello.backend.as_ref()?;
        if backend.service != service || !self.accepts_work() {
            return None;
        }
        let heartbeat = self.heartbeat.lock().expect("no panic while held");
        let load = heartbeat.load.unwrap_or_default();
        // The reported load lags; the work of this entry is taken from its own count instead.
        let own_work = self.work_at_heartbeat.load(Ordering::Acquire);
        let other_work = (load.running + load.queued).saturating_sub(own_work);
        Some((load.capacity, other_work + self.in_flight()))
    }
}

impl Fleet {
    /// Returns the peer on `host`, which is created if it is new.
    pub(crate) fn peer(&self, host: &str) -> Arc<Peer> {
        let mut peers = self.peers.lock().expect("no panic while held");
        peers
            .entry(host.to_string())
            .or_insert_with(|| Arc::new(Peer::new(host.to_string())))
            .clone()
    }

    /// Removes a peer whose host is gone.
    pub(crate) fn remove(&self, host: &str) {
        let mut peers = self.peers.lock().expect("no panic while held");
        peers.remove(host);
    }

    /// Returns all peers.
    pub(crate) fn all(&self) -> Vec<Arc<Peer>> {
        let peers = self.peers.lock().expect("no panic while held");
        peers.values().cloned().collect()
    }

    /// Returns the backend servers that may be sent work, sorted by name.
    pub(crate) fn servers(&self) -> Vec<Server> {
        let mut servers = Vec::new();
        for peer in self.all() {
            if !peer.accepts_work() {
                continue;
            }
            let backend = peer
                .connection()
                .and_then(|connection| connection.hello.backend);
            servers.extend(backend.map(|backend| backend.server));
        }
        servers.sort();
        servers
    }

    /// Returns total capacity and load of the replicas of a service that this entry has links to.
    pub(crate) fn load(&self, service: &str) -> (u32, u32) {
        let mut sum = (0, 0);
        for peer in self.all() {
            let Some((capacity, load)) = peer.reported_load(service) else {
                continue;
            };
            sum = (sum.0 + capacity, sum.1 + load);
        }
        sum
    }

    /// Returns the sidecar of a backend server, if its link is up.
    pub(crate) fn sidecar_of(&self, server: &str) -> Option<(Arc<Peer>, Connection)> {
        self.all().into_iter().find_map(|peer| {
            let connection = peer.connection()?;
            let backend = connection.hello.backend.as_ref()?;
            (backend.server == server).then(|| (peer.clone(), connection.clone()))
        })
    }
}
