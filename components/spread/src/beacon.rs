//! What entries tell one another a few times a second, in one datagram each.
//!
//! The load that it answers: many entries send work to the same engines and none sees what the
//! others send. Reports of the engines are dear and late; what was sent is known at once. A
//! datagram that is lost is made up for by the next, as each says all there is.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use moves::brief::Tale;
use names::{
    Clock,
    DataCentre,
    Host,
    Revision, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::fresh::Claim;

/// Number of a server or service in a beacon: the lower half of its name's hash.
pub type Number = u32;

/// Number of a peer's run.
pub type Incarnation = u64;

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

/// Number of a server or service.
pub fn number(name: &str) -> Number {
    xxh3_64(name.as_bytes()) as Number
}

/// One datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// Who sends it.
    pub host: Host,
    /// Number of its run.
    pub incarnation: Incarnation,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Number of the datagram within the run; late ones are dropped.
    pub sequence: u64,
    /// It takes no new work.
    pub leaving: bool,
    /// Work that it has at servers.
    pub loads: Vec<Load>,
    /// Servers that should get no new work for a while.
    pub losses: Vec<Loss>,
    /// What it sent of late, by service.
    pub sends: Vec<Sends>,
    /// Prompts that servers have read for it.
    pub prompts: Vec<Read>,
    /// Services for which requests wait there that can still be in time.
    pub hurries: Vec<Number>,
    /// Moves between versions: the service, and what was counted.
    pub moves: Vec<(Number, Tale)>,
    /// Some other peers' addresses.
    pub known: Vec<SocketAddr>,
    /// Time until the next beacon at the latest, in milliseconds.
    pub pace_ms: u32,
    /// The sender's clock, in milliseconds.
    pub stamp: u64,
    /// How current the sender's knowledge is.
    pub fresh: Option<Age>,
    /// The receiver's last stamp, given back.
    pub echo: Option<Echo>,
}

/// The store's revision that the sender knows all changes of, and how long ago it was current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    /// The revision.
    pub revision: Revision,
    /// Milliseconds since it was the store's newest.
    pub ms: u64,
}

/// A stamp that is given back, so that its owner can tell when the message was made at the
/// earliest. The time at which a message is read tells nothing: it may have waited while the reader
/// was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's run that gave the stamp. A host's clock starts anew with the host, so that a
    /// stamp of an earlier run means nothing to the next one at the same address.
    pub incarnation: Incarnation,
    /// The receiver's stamp.
    pub stamp: u64,
    /// Milliseconds that it lay at the sender.
    pub held_ms: u64,
}

/// Changes of the store, from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Who knows all changes up to here can use them.
    pub from: Revision,
    /// Who used them knows all changes up to here.
    pub to: Revision,
    /// Each change in order: its revision, and how the adapter to the store encodes it.
    pub items: Vec<(Revision, Vec<u8>)>,
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What a peer says of itself.
    Beacon(Box<Beacon>),
    /// What it heard from the store.
    Changes(Changes),
}

/// Work at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: Number,
    /// Requests.
    pub requests: u32,
    /// Tokens that they fill.
    pub tokens: u64,
    /// Tokens of prompts that are still to be read.
    pub unread: u64,
}

/// A prompt that a server has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Hash of its last part, which no other prompt shares as a rule.
    pub part: u64,
    /// The server.
    pub server: Number,
}

/// What a process sent to a service within a window that all know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sends {
    /// The service.
    pub service: Number,
    /// First sends of requests.
    pub requests: u32,
    /// Sends beyond the first.
    pub retries: u32,
}

/// A server that should get no new work for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The server.
    pub server: Number,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
    /// What speaks against it.
    pub suspicion: Suspicion,
}

/// What speaks against a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suspicion {
    /// It refused a connection.
    Refused,
    /// Nothing came back from it, not even a refusal.
    Dark,
    /// It broke a connection as soon as it had the request.
    Broke,
    /// It was full.
    Full,
}

impl Beacon {
    /// What a beacon says of the store, by the clock of the receiver's run; `None` when it can't be
    /// told when the beacon was made.
    pub fn claim(&self, receiver: Incarnation) -> Option<Claim> {
        let fresh = self.fresh?;
        let echo = self.echo.filter(|echo| echo.incarnation == receiver)?;
        let made = Duration::from_millis(echo.stamp + echo.held_ms);
        Some(Claim {
            revision: fresh.revision,
            at: made.saturating_sub(Duration::from_millis(fresh.ms)),
        })
    }
}

/// Whom changes of the store are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Everybody: they were heard from the store.
    All,
    /// The own data centre: they were heard from a peer of another one, who told the rest.
    Near,
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
}

/// What a beacon meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// It is old, or our own.
    Nothing,
    /// It counts; what the peer said before under another incarnation is void.
    Fresh {
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
    turn: usize,
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
    pub fn reseed_from(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Takes a beacon from an address.
    pub fn hear(&mut self, now: Clock, from: SocketAddr, beacon: &Beacon) -> News {
        if beacon.incarnation == self.incarnation {
            return News::Nothing;
        }
        let mut ended = None;
        let mut back = true;
        if let Some(peer) = self.peers.get(&from) {
            let same = peer.incarnation == beacon.incarnation;
            if same && peer.sequence >= beacon.sequence {
                return News::Nothing;
            }
            if !same {
                ended = Some(peer.incarnation);
            }
            back = !same || peer.silent;
        } else if self.peers.len() >= MOST {
            return News::Nothing;
        }
        self.peers.insert(
            from,
            Peer {
                host: beacon.host.clone(),
                incarnation: beacon.incarnation,
                sequence: beacon.sequence,
                heard: now,
                pace: Duration::from_millis(u64::from(beacon.pace_ms)),
                leaving: beacon.leaving,
                silent: false,
                data_centre: beacon.data_centre.clone(),
                stamp: beacon.stamp,
            },
        );
        for address in &beacon.known {
            let room = self.seeds.len() < MOST;
            if room && !self.peers.contains_key(address) && !self.seeds.contains(address) {
                self.seeds.push(*address);
            }
        }
        News::Fresh { ended, back }
    }

    /// Peers that fell silent since the last call: their work no longer counts.
    pub fn silent(&mut self, now: Clock) -> Vec<Incarnation> {
        let mut silent = Vec::new();
        for peer in self.peers.values_mut() {
            let after = SILENT.max(peer.pace * SILENT_BEACONS);
            if !peer.silent && now.saturating_sub(peer.heard) > after {
                peer.silent = true;
                silent.push(peer.incarnation);
            }
        }
        self.peers.retain(|_, peer| {
            let after = GONE.max(peer.pace * GONE_BEACONS);
            now.saturating_sub(peer.heard) <= after
        });
        silent
    }

    /// Addresses that a beacon goes to: the peers, and seeds that aren't among them.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let mut targets: Vec<_> = self.peers.keys().copied().collect();
        for seed in &self.seeds {
            if !self.peers.contains_key(seed) {
                targets.push(*seed);
            }
        }
        targets
    }

    /// Some peers' addresses, by turns, for those that know fewer.
    pub fn known(&mut self) -> Vec<SocketAddr> {
        let mut all: Vec<_> = self.peers.keys().copied().collect();
        all.sort_unstable();
        if all.is_empty() {
            return all;
        }
        self.turn = (self.turn + KNOWN) % all.len();
        all.rotate_left(self.turn);
        all.truncate(KNOWN);
        all
    }

    /// This process's place among those that live, and their number.
    pub fn place(&self) -> (usize, usize) {
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
    pub fn place_near(&self, data_centre: &str) -> usize {
        let before = |peer: &&Peer| peer.incarnation < self.incarnation;
        self.near(data_centre).filter(before).count()
    }

    /// Number of the other processes of the data centre that live.
    pub fn neighbours(&self, data_centre: &str) -> usize {
        self.near(data_centre).count()
    }

    fn near(&self, data_centre: &str) -> impl Iterator<Item = &Peer> {
        let near =
            move |peer: &&Peer| !peer.silent && !peer.leaving && peer.data_centre == data_centre;
        self.peers.values().filter(near)
    }

    /// Who is told what this process heard: all peers of a small fleet, by who heard it from the
    /// store; otherwise those of its data centre, and one of each other one, which passes it on.
    pub fn audience(&self, home: &str, reach: Reach) -> Vec<SocketAddr> {
        match (self.peers.len() <= TOLD_ALL, reach) {
            (true, Reach::All) => return self.peers.keys().copied().collect(),
            (true, Reach::Near) => return Vec::new(),
            (false, Reach::All | Reach::Near) => {}
        }
        let mut audience = Vec::new();
        let mut firsts: HashMap<&str, (Incarnation, SocketAddr)> = HashMap::new();
        for (address, peer) in &self.peers {
            if peer.data_centre == home {
                audience.push(*address);
                continue;
            }
            if peer.silent || peer.leaving || reach == Reach::Near {
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
            stamp: peer.stamp,
            held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Whether an address is a peer's that was heard.
    pub fn knows(&self, from: SocketAddr) -> bool {
        self.peers.contains_key(&from)
    }

    /// Hosts that are heard, for logs.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.peers.values().map(|peer| &peer.host)
    }

    /// Time until the next beacon of a size, with or without news.
    pub fn pace(&self, news: bool, bytes: usize) -> Duration {
        let usual = if news { NEWS } else { CALM };
        let all = bytes * self.targets().len();
        usual.max(Duration::from_secs_f64(all as f64 / BUDGET))
    }
}
