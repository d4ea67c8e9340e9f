//! Pointers, by which an entry finds a running generation that it didn't start.
//!
//! Two sidecars in two data centres hold each pointer, chosen by rendezvous hashing of the request,
//! so every entry can compute the holders. Pointers are soft state: a lost one costs latency, as
//! the answer is then restarted, and a stale one is detected by the [`crate::position::Position`].

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
    /// Host of the sidecar.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
}

/// Returns the holders of a request's pointer, the first choice first: at most two, in two data
/// centres if there are two.
///
/// Entries whose lists differ by a few hosts still agree on most holders: a host that joins or
/// leaves changes only the requests that rank it first.
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

/// Location of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pointer {
    /// Host of the sidecar that runs the generation.
    pub host: Host,
    /// Server that runs the generation.
    pub server: Server,
    /// Version that the answer is pinned to.
    pub version: Version,
    /// Epoch of the generation.
    pub epoch: Epoch,
    /// Nonce of the generation.
    pub nonce: Nonce,
}

/// Limits of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of pointers; beyond it the one with the oldest put is evicted.
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

/// Table of the pointers that one sidecar holds for entries.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    pointers: HashMap<Request, Stored>,
    /// Requests in the order of their puts; repeating a put leaves an outdated element behind.
    order: VecDeque<Insertion>,
    last_sequence: u64,
}

#[derive(Debug)]
struct Stored {
    pointer: Pointer,
    sequence: u64,
}

#[derive(Debug)]
struct Insertion {
    sequence: u64,
    time: Clock,
    request: Request,
}

impl Table {
    /// Creates an empty table.
    pub fn new(settings: Settings) -> Table {
        Table {
            settings,
            pointers: HashMap::new(),
            order: VecDeque::new(),
            last_sequence: 0,
        }
    }

    /// Stores a pointer. Of two pointers for a request the one with the higher epoch is kept, so a
    /// late message can't restore a replaced run; of equal epochs the later put is kept.
    pub fn put(&mut self, now: Clock, request: Request, pointer: Pointer) {
        self.expire(now);
        let stored = self.pointers.get(&request);
        if stored.is_some_and(|stored| stored.pointer.epoch > pointer.epoch) {
            return;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.order.push_back(Insertion {
            sequence,
            time: now,
            request: request.clone(),
        });
        self.pointers.insert(request, Stored { pointer, sequence });
        while self.pointers.len() > self.settings.max_pointers {
            self.evict_oldest();
        }
        // Repeated puts leave outdated elements behind; two per pointer bound the queue.
        if self.order.len() > self.settings.max_pointers.saturating_mul(2) {
            let pointers = &self.pointers;
            self.order
                .retain(|insertion| is_current(pointers, insertion));
        }
    }

    /// Returns the pointer of a request.
    pub fn get(&mut self, now: Clock, request: &str) -> Option<&Pointer> {
        self.expire(now);
        self.pointers.get(request).map(|stored| &stored.pointer)
    }

    /// Removes the pointer of an ended run, unless another run has replaced it.
    pub fn remove(&mut self, request: &str, nonce: Nonce) {
        let stored = self.pointers.get(request);
        if stored.is_some_and(|stored| stored.pointer.nonce == nonce) {
            self.pointers.remove(request);
        }
    }

    /// Returns the number of pointers.
    pub fn len(&self) -> usize {
        self.pointers.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.pointers.is_empty()
    }

    fn expire(&mut self, now: Clock) {
        while let Some(insertion) = self.order.front() {
            if insertion.time + self.settings.ttl > now {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(insertion) = self.order.pop_front() else {
            return;
        };
        if is_current(&self.pointers, &insertion) {
            self.pointers.remove(&insertion.request);
        }
    }
}

/// Returns whether an element of the queue is the latest put of its request.
fn is_current(pointers: &HashMap<Request, Stored>, insertion: &Insertion) -> bool {
    let stored = pointers.get(&insertion.request);
    stored.is_some_and(|stored| stored.sequence == insertion.sequence)
}
