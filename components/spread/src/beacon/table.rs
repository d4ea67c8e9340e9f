//! Peers whose beacons this process receives: liveness, beacon targets and recipients of changes.

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

/// Shortest silence after which a peer's load no longer counts. Work that it sent before ends soon,
/// or other processes take it over.
const MIN_SILENCE: Duration = Duration::from_millis(1500);

/// Shortest such silence in beacon intervals, which are many seconds long in a large fleet; two
/// beacons may be lost.
const SILENCE_INTERVALS: u32 = 3;

/// Shortest silence after which a peer is removed.
const MIN_REMOVAL_SILENCE: Duration = Duration::from_secs(10);

/// Shortest such silence in beacon intervals.
const REMOVAL_INTERVALS: u32 = 6;

/// Number of peer addresses in a beacon.
const ADDRESSES_PER_BEACON: usize = 4;

/// Number of peer addresses in an introduction, so that it fits into a datagram with its header.
const ADDRESSES_PER_INTRODUCTION: usize = 128;

/// Interval between two introductions to the same peer. Meanwhile the peer beacons to the addresses
/// that it received and reports its new number of peers.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which an address that sends no beacons remains a beacon target. It bounds the beacons
/// to replaced hosts, and peers behind a network partition are found again when that ends.
const CANDIDATE_TTL: Duration = Duration::from_secs(600);

/// Limit on peers, and on candidate addresses.
const MAX_PEERS: usize = 1024;

/// Beacon interval while there are changes to report.
const BUSY_BEACON_INTERVAL: Duration = Duration::from_millis(60);

/// Beacon interval while there are no changes to report.
const IDLE_BEACON_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of peers to which a process forwards all changes that it receives from the store.
/// Several processes watch the store, each of them intermittently, so forwarding to all spreads the
/// earliest observation fastest. In a large fleet that would be most of the traffic between
/// processes.
const MAX_BROADCAST_PEERS: usize = 8;

/// Bytes per second that a process spends on beacons. In a larger fleet the interval grows instead
/// of the traffic.
const BEACON_BYTES_PER_SECOND: f64 = 20_000.0;

/// Recipients of store changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All data centres: the sender received the changes from the store.
    All,
    /// The sender's data centre: the changes came from a peer in another data centre, which sends
    /// them to the remaining ones itself.
    Local,
}

/// State of a peer as of its last beacon.
#[derive(Clone, Debug)]
struct Peer {
    host: Host,
    incarnation: Incarnation,
    sequence: u64,
    received_at: Clock,
    interval: Duration,
    /// When its first beacon arrived that has it as leaving, if it is.
    leaving_since: Option<Clock>,
    silent: bool,
    data_centre: DataCentre,
    timestamp: u64,
    /// Number of peers that it receives beacons from.
    peer_count: usize,
    introduced_at: Option<Clock>,
}

/// Result of processing a beacon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The beacon is out of order, or this process sent it.
    Ignored,
    /// The beacon is current. State of an ended run of the same peer is void.
    Accepted {
        /// Previous run at the same address, if it ended.
        ended: Option<Incarnation>,
        /// Whether the peer is new, restarted, or was silent.
        returned: bool,
    },
}

/// Table of peers by address.
#[derive(Clone, Debug, Default)]
pub struct Table {
    incarnation: Incarnation,
    peers: HashMap<SocketAddr, Peer>,
    seeds: Vec<SocketAddr>,
    /// Addresses learned from peers or of removed peers, with the time when they were last
    /// reported. None of them is a peer's or a seed.
    candidates: HashMap<SocketAddr, Clock>,
    rotation: usize,
    /// Whether there are candidates that no beacon has been sent to yet.
    has_new_candidates: bool,
}

impl Table {
    /// Creates a table that knows only its seeds.
    pub fn new(incarnation: Incarnation, seeds: Vec<SocketAddr>) -> Table {
        Table {
            incarnation,
            seeds,
            ..Table::default()
        }
    }

    /// Adds seed addresses from changed settings to those that are known.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
                self.candidates.remove(seed);
            }
        }
    }

    /// Processes a beacon from an address.
    pub fn receive(&mut self, now: Clock, from: SocketAddr, beacon: &Beacon) -> Receipt {
        if beacon.incarnation == self.incarnation {
            return Receipt::Ignored;
        }
        let mut ended = None;
        let mut returned = true;
        let mut introduced_at = None;
        let mut leaving_since = None;
        if let Some(peer) = self.peers.get(&from) {
            let same = peer.incarnation == beacon.incarnation;
            if same && peer.sequence >= beacon.sequence {
                return Receipt::Ignored;
            }
            if !same {
                ended = Some(peer.incarnation);
            }
            returned = !same || peer.silent;
            introduced_at = peer.introduced_at.filter(|_| same);
            leaving_since = peer.leaving_since.filter(|_| same);
        } else if self.peers.len() >= MAX_PEERS {
            return Receipt::Ignored;
        }
        self.candidates.remove(&from);
        self.peers.insert(
            from,
            Peer {
                host: beacon.host.clone(),
                incarnation: beacon.incarnation,
                sequence: beacon.sequence,
                received_at: now,
                interval: Duration::from_millis(u64::from(beacon.interval_ms)),
                leaving_since: beacon.leaving.then(|| leaving_since.unwrap_or(now)),
                silent: false,
                data_centre: beacon.data_centre.clone(),
                timestamp: beacon.timestamp,
                peer_count: beacon.peer_count as usize,
                introduced_at,
            },
        );
        self.add_candidates(now, &beacon.addresses);
        Receipt::Accepted { ended, returned }
    }

    /// Adds peer addresses from an introduction. Ignores senders that this process has not
    /// contacted itself.
    pub fn add_introduced(&mut self, now: Clock, from: SocketAddr, addresses: &[SocketAddr]) {
        let contacted = self.seeds.contains(&from) || self.candidates.contains_key(&from);
        if contacted || self.contains(from) {
            self.add_candidates(now, addresses);
        }
    }

    fn add_candidates(&mut self, now: Clock, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.contains(*address) || self.seeds.contains(address) {
                continue;
            }
            let known = self.candidates.contains_key(address);
            if !known && self.candidates.len() >= MAX_PEERS {
                continue;
            }
            self.candidates.insert(*address, now);
            self.has_new_candidates |= !known;
        }
    }

    /// Returns addresses for a peer that receives beacons from fewer than three quarters as many
    /// peers as this process: it has just started, or was partitioned off. In a large fleet beacons
    /// are infrequent and each carries few addresses, and a process watches the store by itself
    /// until it knows all peers.
    pub fn introduction(&mut self, now: Clock, target: SocketAddr) -> Vec<SocketAddr> {
        let count = self.peers.len();
        let Some(peer) = self.peers.get_mut(&target) else {
            return Vec::new();
        };
        let lately = |at| now.saturating_sub(at) < INTRODUCTION_INTERVAL;
        if peer.peer_count * 4 >= count * 3 || peer.introduced_at.is_some_and(lately) {
            return Vec::new();
        }
        peer.introduced_at = Some(now);
        let mut addresses = self.rotate(ADDRESSES_PER_INTRODUCTION);
        addresses.retain(|address| *address != target);
        addresses
    }

    /// Returns the number of peers.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether candidates were added since the last call; the next beacon should not wait
    /// then.
    pub fn take_new_candidates(&mut self) -> bool {
        std::mem::take(&mut self.has_new_candidates)
    }

    /// Removes peers that have been silent for long. Returns those that fell silent since the last
    /// call: their load no longer counts.
    pub fn expire(&mut self, now: Clock) -> Vec<Incarnation> {
        let mut silent = Vec::new();
        for peer in self.peers.values_mut() {
            let after = MIN_SILENCE.max(peer.interval * SILENCE_INTERVALS);
            if !peer.silent && now.saturating_sub(peer.received_at) > after {
                peer.silent = true;
                silent.push(peer.incarnation);
            }
        }
        let (candidates, seeds) = (&mut self.candidates, &self.seeds);
        self.peers.retain(|address, peer| {
            let after = MIN_REMOVAL_SILENCE.max(peer.interval * REMOVAL_INTERVALS);
            let kept = now.saturating_sub(peer.received_at) <= after;
            if !kept && !seeds.contains(address) {
                candidates.insert(*address, peer.received_at);
            }
            kept
        });
        candidates.retain(|_, at| now.saturating_sub(*at) <= CANDIDATE_TTL);
        silent
    }

    /// Returns the addresses of all peers.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the live peers that don't leave, with their addresses.
    pub fn live(&self) -> impl Iterator<Item = (Incarnation, SocketAddr)> {
        let is_live = |peer: &&Peer| !peer.silent && peer.leaving_since.is_none();
        let all = self.peers.iter();
        all.filter(move |(_, peer)| is_live(peer))
            .map(|(address, peer)| (peer.incarnation, *address))
    }

    /// Returns the addresses of live peers in a data centre.
    pub fn local_peers(&self, data_centre: &str) -> Vec<SocketAddr> {
        let live = |peer: &Peer| !peer.silent && peer.data_centre == data_centre;
        let local = self.peers.iter().filter(|(_, peer)| live(peer));
        local.map(|(address, _)| *address).collect()
    }

    /// Returns the addresses that beacons are sent to: peers, seeds and candidates.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let mut targets = self.peers();
        targets.extend(self.unheard_seeds());
        targets.extend(self.candidates.keys());
        targets
    }

    /// Returns the number of [`Table::targets`].
    fn target_count(&self) -> usize {
        self.peers.len() + self.unheard_seeds().count() + self.candidates.len()
    }

    fn unheard_seeds(&self) -> impl Iterator<Item = &SocketAddr> {
        self.seeds.iter().filter(|seed| !self.contains(**seed))
    }

    /// Returns the addresses of some peers, a different part with each call.
    pub fn sample_addresses(&mut self) -> Vec<SocketAddr> {
        self.rotate(ADDRESSES_PER_BEACON)
    }

    fn rotate(&mut self, limit: usize) -> Vec<SocketAddr> {
        let mut all: Vec<_> = self.peers.keys().copied().collect();
        if all.is_empty() {
            return all;
        }
        all.sort_unstable();
        self.rotation = (self.rotation + limit) % all.len();
        all.rotate_left(self.rotation);
        all.truncate(limit);
        all
    }

    /// Returns this process's rank among the live processes, and their number.
    pub fn rank(&self) -> (usize, usize) {
        let alive = self
            .peers
            .values()
            .filter(|peer| !peer.silent && peer.leaving_since.is_none());
        let mut rank = 0;
        let mut count = 1;
        for peer in alive {
            count += 1;
            rank += usize::from(peer.incarnation < self.incarnation);
        }
        (rank, count)
    }

    /// Returns this process's rank among the live processes of a data centre.
    pub fn local_rank(&self, data_centre: &str) -> usize {
        let before = |peer: &&Peer| peer.incarnation < self.incarnation;
        self.local(data_centre).filter(before).count()
    }

    /// Returns the number of live peers in a data centre.
    pub fn local_count(&self, data_centre: &str) -> usize {
        self.local(data_centre).count()
    }

    /// Returns since when peers are leaving, those included that have since fallen silent.
    pub fn leaving_since(&self) -> impl Iterator<Item = Clock> {
        self.peers.values().filter_map(|peer| peer.leaving_since)
    }

    fn local(&self, data_centre: &str) -> impl Iterator<Item = &Peer> {
        let local = move |peer: &&Peer| {
            !peer.silent && peer.leaving_since.is_none() && peer.data_centre == data_centre
        };
        self.peers.values().filter(local)
    }

    /// Returns the recipients of changes. In a small fleet the process that received them from the
    /// store sends them to all peers. In a large one it sends them to its data centre and to one
    /// process of each other data centre, which forwards them.
    pub fn recipients(&self, own: &str, scope: Scope) -> Vec<SocketAddr> {
        match (self.peers.len() <= MAX_BROADCAST_PEERS, scope) {
            (true, Scope::All) => return self.peers.keys().copied().collect(),
            (true, Scope::Local) => return Vec::new(),
            (false, Scope::All | Scope::Local) => {}
        }
        let mut recipients = Vec::new();
        let mut firsts: HashMap<&str, (Incarnation, SocketAddr)> = HashMap::new();
        for (address, peer) in &self.peers {
            if peer.data_centre == own {
                recipients.push(*address);
                continue;
            }
            if peer.silent || peer.leaving_since.is_some() || scope == Scope::Local {
                continue;
            }
            let one = (peer.incarnation, *address);
            let first = firsts.entry(&peer.data_centre).or_insert(one);
            *first = one.min(*first);
        }
        recipients.extend(firsts.into_values().map(|(_, address)| address));
        recipients
    }

    /// Returns the echo of a peer's last timestamp.
    pub fn echo(&self, now: Clock, target: SocketAddr) -> Option<Echo> {
        let peer = self.peers.get(&target)?;
        let held = now.saturating_sub(peer.received_at);
        Some(Echo {
            incarnation: peer.incarnation,
            timestamp: peer.timestamp,
            delay_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Returns for how long the sender of a beacon still counts what it received of this process, by
    /// what it echoes; `None` if it doesn't receive its beacons.
    pub fn received_for(&self, beacon: &Beacon) -> Option<Duration> {
        let echo = beacon
            .echo
            .filter(|echo| echo.incarnation == self.incarnation)?;
        let interval = Duration::from_millis(u64::from(beacon.interval_ms));
        let silence = MIN_SILENCE.max(interval * SILENCE_INTERVALS);
        silence.checked_sub(Duration::from_millis(echo.delay_ms))
    }

    /// Returns whether a process left before it fell silent.
    pub fn has_left(&self, incarnation: Incarnation) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.incarnation == incarnation && peer.leaving_since.is_some())
    }

    /// Returns whether this address is a peer's.
    pub fn contains(&self, from: SocketAddr) -> bool {
        self.peers.contains_key(&from)
    }

    /// Returns the hosts of all peers, for logs.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.peers.values().map(|peer| &peer.host)
    }

    /// Returns the time until the next beacon of this size, depending on whether there are changes
    /// to report.
    pub fn beacon_interval(&self, changes: bool, bytes: usize) -> Duration {
        let usual = if changes {
            BUSY_BEACON_INTERVAL
        } else {
            IDLE_BEACON_INTERVAL
        };
        let all = bytes * self.target_count();
        usual.max(Duration::from_secs_f64(
            all as f64 / BEACON_BYTES_PER_SECOND,
        ))
    }
}
