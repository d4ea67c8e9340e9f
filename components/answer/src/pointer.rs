//! Where a running generation is found by an entry that didn't start it.
//!
//! Two sidecars in two data centres hold each pointer, chosen by rendezvous hashing of the request,
//! so every entry knows whom to ask. Pointers are soft state: a lost one costs latency, as the
//! answer is then begun again, and a stale one is found out by the [`crate::position::Position`].

use std::{
    cmp::Reverse,
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use names::{
    Clock,
    DataCentre,
    Epoch,
    Host,
    Nonce,
    Request,
    Server,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A sidecar that may hold pointers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its host.
    pub host: Host,
    /// Where it stands.
    pub data_centre: DataCentre,
}

/// The holders of a request's pointer, the first choice first: at most two, in two data centres as
/// long as there are two.
///
/// Entries whose lists differ by a few hosts still agree on most holders: a host that comes or goes
/// changes only the requests that it ranks first for.
pub fn holders<'a>(request: &str, candidates: &'a [Candidate]) -> Vec<&'a Candidate> {
    let seed = xxh3_64_with_seed(request.as_bytes(), 0);
    let rank = |candidate: &'a Candidate| {
        let score = xxh3_64_with_seed(candidate.host.as_bytes(), seed);
        (score, Reverse(candidate.host.as_str()))
    };
    let Some(first) = candidates.iter().max_by_key(|candidate| rank(candidate)) else {
        return Vec::new();
    };
    let others = candidates.iter().filter(|other| *other != first);
    let second = others.max_by_key(|other| (other.data_centre != first.data_centre, rank(other)));
    let mut holders = vec![first];
    holders.extend(second);
    holders
}

/// A generation's place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pointer {
    /// The host of the sidecar that runs it.
    pub host: Host,
    /// The server that runs it.
    pub server: Server,
    /// The version that the answer is pinned to.
    pub version: Version,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its nonce.
    pub nonce: Nonce,
}

/// Bounds of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Pointers held; beyond, the one that was put longest ago goes.
    pub max_pointers: usize,
    /// Time after its last put at which a pointer expires.
    pub ttl: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_pointers: 10_000,
            ttl: Duration::from_secs(3600),
        }
    }
}

/// The pointers that one sidecar holds for others.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    pointers: HashMap<Request, Slot>,
    /// Requests in the order of their puts; a put again leaves an outdated line behind.
    order: VecDeque<Put>,
    puts: u64,
}

#[derive(Debug)]
struct Slot {
    pointer: Pointer,
    put: u64,
}

#[derive(Debug)]
struct Put {
    put: u64,
    time: Clock,
    request: Request,
}

impl Table {
    /// An empty table.
    pub fn new(settings: Settings) -> Table {
        Table {
            settings,
            pointers: HashMap::new(),
            order: VecDeque::new(),
            puts: 0,
        }
    }

    /// Holds a pointer. Of two for a request the one with the higher epoch stays, so that a late
    /// message doesn't bring back a run that was replaced; of equal epochs the later put stays.
    pub fn put(&mut self, now: Clock, request: Request, pointer: Pointer) {
        self.expire(now);
        let slot = self.pointers.get(&request);
        if slot.is_some_and(|slot| slot.pointer.epoch > pointer.epoch) {
            return;
        }
        self.puts += 1;
        let put = self.puts;
        self.order.push_back(Put {
            put,
            time: now,
            request: request.clone(),
        });
        self.pointers.insert(request, Slot { pointer, put });
        while self.pointers.len() > self.settings.max_pointers {
            self.evict_oldest();
        }
        // Puts again leave lines behind; two a pointer bound the queue.
        if self.order.len() > self.settings.max_pointers.saturating_mul(2) {
            let pointers = &self.pointers;
            self.order.retain(|put_entry| current(pointers, put_entry));
        }
    }

    /// The pointer of a request.
    pub fn get(&mut self, now: Clock, request: &str) -> Option<&Pointer> {
        self.expire(now);
        self.pointers.get(request).map(|slot| &slot.pointer)
    }

    /// Drops the pointer of a run that ended, unless another run took its place.
    pub fn remove(&mut self, request: &str, nonce: Nonce) {
        let slot = self.pointers.get(request);
        if slot.is_some_and(|slot| slot.pointer.nonce == nonce) {
            self.pointers.remove(request);
        }
    }

    /// Number of pointers held.
    pub fn len(&self) -> usize {
        self.pointers.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.pointers.is_empty()
    }

    fn expire(&mut self, now: Clock) {
        while let Some(put_entry) = self.order.front() {
            if put_entry.time + self.settings.ttl > now {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(put_entry) = self.order.pop_front() else {
            return;
        };
        if current(&self.pointers, &put_entry) {
            self.pointers.remove(&put_entry.request);
        }
    }
}

/// Whether a line of the order is of the put that is held.
fn current(pointers: &HashMap<Request, Slot>, put_entry: &Put) -> bool {
    let slot = pointers.get(&put_entry.request);
    slot.is_some_and(|slot| slot.put == put_entry.put)
}
