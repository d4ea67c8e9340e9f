//! The peers that are heard: whom a beacon goes to, who lives, and who is told what.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use names::{
    Clock,
    DataCentre,
    Host, //
};

use super::{
    Beacon,
    Echo,
    Incarnation, //
};

/// Shortest silence after which a peer's work no longer counts; what it sent before it fell silent
/// ends soon or is taken up by others.
const SILENT: Duration = Duration::from_millis(1500);

/// The same in beacons, as those of a large fleet leave many seconds apart: two may be lost.
const SILENT_BEACONS: u32 = 3;

/// Shortest silence after which a peer is forgotten.
const GONE: Duration = Duration::from_secs(10);

/// The same in beacons.
const GONE_BEACONS: u32 = 6;

/// Addresses of other peers that a beacon carries.
const KNOWN: usize = 4;

/// Addresses of an introduction: with their frame they fit a datagram.
const INTRODUCED: usize = 128;

/// Time between two introductions of the same peer: it beacons to those that it was told of, and
/// says then how many it hears.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which an address that isn't heard gets beacons: a host that was replaced is forgotten, one
/// behind a cut is found again when that ends.
const TOLD_TTL: Duration = Duration::from_secs(600);

/// Peers that are kept at most.
const MOST: usize = 1024;

/// Time between two beacons while there is news.
const NEWS: Duration = Duration::from_millis(60);

/// Time between two beacons while there is none.
const CALM: Duration = Duration::from_millis(500);

/// Peers up to which all are told what a process heard from the store. Several listen, each of them
/// once in a while, so that what the first of them hears is known soonest; in a large fleet that
/// would be most of the bytes between processes.
const TOLD_ALL: usize = 8;

/// Bytes a second that a process spends on beacons, so that a larger fleet hears less often from
/// each peer instead of spending more.
const BUDGET: f64 = 20_000.0;

/// Whom changes of the store are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Everybody: they were heard from the store.
    All,
    /// The own data centre: they were heard from a peer of another one, who told the rest.
    Local,
}

/// A peer as it is known.
#[derive(Clone, Debug)]
struct Peer {
    host: Host,
    incarnation: Incarnation,
    sequence: u64,
    heard: Clock,
    pace: Duration,
    leaving: bool,
    silent: bool,
    data_centre: DataCentre,
    stamp: u64,
    /// Peers that it hears.
    peers: usize,
    introduced: Option<Clock>,
}

/// What a beacon meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It is old, or our own.
    Ignored,
    /// It counts; what the peer said before under another incarnation is void.
    Accepted {
        /// Another run of the same peer that ended.
        ended: Option<Incarnation>,
        /// The peer is new, or was silent.
        back: bool,
    },
}

/// The peers.
#[derive(Clone, Debug, Default)]
pub struct Table {
    incarnation: Incarnation,
    peers: HashMap<SocketAddr, Peer>,
    seeds: Vec<SocketAddr>,
    /// Addresses that peers told of, or that were heard before, and when that last was.
    told: HashMap<SocketAddr, Clock>,
    turn: usize,
    /// There are addresses that no beacon went to yet.
    grown: bool,
}

impl Table {
    /// A table of a run that knows its seeds only.
    pub fn new(incarnation: Incarnation, seeds: Vec<SocketAddr>) -> Table {
        Table {
            incarnation,
            seeds,
            ..Table::default()
        }
    }

    /// Takes the seeds of changed settings besides those that are known.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Takes a beacon from an address.
    pub fn receive(&mut self, now: Clock, from: SocketAddr, beacon: &Beacon) -> Receipt {
        if beacon.incarnation == self.incarnation {
            return Receipt::Ignored;
        }
        let mut ended = None;
        let mut back = true;
        let mut introduced = None;
        if let Some(peer) = self.peers.get(&from) {
            let same = peer.incarnation == beacon.incarnation;
            if same && peer.sequence >= beacon.sequence {
                return Receipt::Ignored;
            }
            if !same {
                ended = Some(peer.incarnation);
            }
            back = !same || peer.silent;
            introduced = peer.introduced.filter(|_| same);
        } else if self.peers.len() >= MOST {
            return Receipt::Ignored;
        }
        self.peers.insert(
            from,
            Peer {
                host: beacon.host.clone(),
                incarnation: beacon.incarnation,
                sequence: beacon.sequence,
                heard: now,
                pace: Duration::from_millis(u64::from(beacon.interval_ms)),
                leaving: beacon.leaving,
                silent: false,
                data_centre: beacon.data_centre.clone(),
                stamp: beacon.timestamp,
                peers: beacon.peer_count as usize,
                introduced,
            },
        );
        self.learn(now, &beacon.addresses);
        Receipt::Accepted { ended, back }
    }

    /// Takes addresses of peers from one that hears more. Only those that this process turned to are
    /// believed.
    pub fn add_introduced(&mut self, now: Clock, from: SocketAddr, addresses: &[SocketAddr]) {
        let asked = self.seeds.contains(&from) || self.told.contains_key(&from);
        if asked || self.contains(from) {
            self.learn(now, addresses);
        }
    }

    fn learn(&mut self, now: Clock, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.contains(*address) || self.seeds.contains(address) {
                continue;
            }
            let known = self.told.contains_key(address);
            if !known && self.told.len() >= MOST {
                continue;
            }
            self.told.insert(*address, now);
            self.grown |= !known;
        }
    }

    /// Addresses for a peer that hears fewer than three quarters of those that this process hears: it just
    /// started, or was cut off. In a large fleet beacons are far apart and each carries few addresses;
    /// until all are known, each process listens to the store by itself.
    pub fn introduction(&mut self, now: Clock, target: SocketAddr) -> Vec<SocketAddr> {
        let count = self.peers.len();
        let Some(peer) = self.peers.get_mut(&target) else {
            return Vec::new();
        };
        let lately = |at| now.saturating_sub(at) < INTRODUCTION_INTERVAL;
        if peer.peers * 4 >= count * 3 || peer.introduced.is_some_and(lately) {
            return Vec::new();
        }
        peer.introduced = Some(now);
        let mut addresses = self.rotated(INTRODUCED);
        addresses.retain(|address| *address != target);
        addresses
    }

    /// Number of peers that are heard.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Whether a process was told of since the last call; the next beacon is for it too.
    pub fn take_grown(&mut self) -> bool {
        std::mem::take(&mut self.grown)
    }

    /// Peers that fell silent since the last call: their work no longer counts.
    pub fn expire(&mut self, now: Clock) -> Vec<Incarnation> {
        let mut silent = Vec::new();
        for peer in self.peers.values_mut() {
            let after = SILENT.max(peer.pace * SILENT_BEACONS);
            if !peer.silent && now.saturating_sub(peer.heard) > after {
                peer.silent = true;
                silent.push(peer.incarnation);
            }
        }
        let told = &mut self.told;
        self.peers.retain(|address, peer| {
            let after = GONE.max(peer.pace * GONE_BEACONS);
            let kept = now.saturating_sub(peer.heard) <= after;
            if !kept {
                told.insert(*address, peer.heard);
            }
            kept
        });
        told.retain(|_, at| now.saturating_sub(*at) <= TOLD_TTL);
        silent
    }

    /// Addresses of all peers that are heard.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Addresses of the other processes of the data centre that live.
    pub fn local_peers(&self, data_centre: &str) -> Vec<SocketAddr> {
        let live = |peer: &Peer| !peer.silent && peer.data_centre == data_centre;
        let near = self.peers.iter().filter(|(_, peer)| live(peer));
        near.map(|(address, _)| *address).collect()
    }

    /// Addresses that a beacon goes to: the peers, and seeds and addresses told of that aren't among them.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let mut targets = self.peers();
        let told = self.told.keys().filter(|told| !self.seeds.contains(told));
        let others = self.seeds.iter().chain(told);
        targets.extend(others.filter(|address| !self.contains(**address)));
        targets
    }

    /// Some peers' addresses, by turns, for those that know fewer.
    pub fn sample_addresses(&mut self) -> Vec<SocketAddr> {
        self.rotated(KNOWN)
    }

    fn rotated(&mut self, most: usize) -> Vec<SocketAddr> {
        let mut all: Vec<_> = self.peers.keys().copied().collect();
        if all.is_empty() {
            return all;
        }
        all.sort_unstable();
        self.turn = (self.turn + most) % all.len();
        all.rotate_left(self.turn);
        all.truncate(most);
        all
    }

    /// This process's place among those that live, and their number.
    pub fn rank(&self) -> (usize, usize) {
        let alive = self
            .peers
            .values()
            .filter(|peer| !peer.silent && !peer.leaving);
        let mut place = 0;
        let mut count = 1;
        for peer in alive {
            count += 1;
            place += usize::from(peer.incarnation < self.incarnation);
        }
        (place, count)
    }

    /// This process's place among those of its data centre that live.
    pub fn local_rank(&self, data_centre: &str) -> usize {
        let before = |peer: &&Peer| peer.incarnation < self.incarnation;
        self.near(data_centre).filter(before).count()
    }

    /// Number of the other processes of the data centre that live.
    pub fn local_count(&self, data_centre: &str) -> usize {
        self.near(data_centre).count()
    }

    fn near(&self, data_centre: &str) -> impl Iterator<Item = &Peer> {
        let near =
            move |peer: &&Peer| !peer.silent && !peer.leaving && peer.data_centre == data_centre;
        self.peers.values().filter(near)
    }

    /// Who is told what this process heard: all peers of a small fleet, by who heard it from the
    /// store; otherwise those of its data centre, and one of each other one, which passes it on.
    pub fn recipients(&self, home: &str, reach: Scope) -> Vec<SocketAddr> {
        match (self.peers.len() <= TOLD_ALL, reach) {
            (true, Scope::All) => return self.peers.keys().copied().collect(),
            (true, Scope::Local) => return Vec::new(),
            (false, Scope::All | Scope::Local) => {}
        }
        let mut audience = Vec::new();
        let mut firsts: HashMap<&str, (Incarnation, SocketAddr)> = HashMap::new();
        for (address, peer) in &self.peers {
            if peer.data_centre == home {
                audience.push(*address);
                continue;
            }
            if peer.silent || peer.leaving || reach == Scope::Local {
                continue;
            }
            let one = (peer.incarnation, *address);
            let first = firsts.entry(&peer.data_centre).or_insert(one);
            *first = one.min(*first);
        }
        audience.extend(firsts.into_values().map(|(_, address)| address));
        audience
    }

    /// The stamp of a peer that is given back to it.
    pub fn echo(&self, now: Clock, target: SocketAddr) -> Option<Echo> {
        let peer = self.peers.get(&target)?;
        let held = now.saturating_sub(peer.heard);
        Some(Echo {
            incarnation: peer.incarnation,
            timestamp: peer.stamp,
            delay_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Whether an address is a peer's that was heard.
    pub fn contains(&self, from: SocketAddr) -> bool {
        self.peers.contains_key(&from)
    }

    /// Hosts that are heard, for logs.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.peers.values().map(|peer| &peer.host)
    }

    /// Time until the next beacon of a size, with or without news.
    pub fn beacon_interval(&self, news: bool, bytes: usize) -> Duration {
        let usual = if news { NEWS } else { CALM };
        let all = bytes * self.targets().len();
        usual.max(Duration::from_secs_f64(all as f64 / BUDGET))
    }
}
