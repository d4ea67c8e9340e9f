//! Where a running generation is found by an entry that didn't start it.
//!
//! Two sidecars in two data centres hold each pointer, chosen by rendezvous hashing of the request,
//! so every entry knows whom to ask. Pointers are soft state: a lost one costs latency, as the
//! answer is then begun again, and a stale one is found out by the [`crate::mark::Mark`].

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
    pub most: usize,
    /// Time after its last put at which a pointer expires.
    pub keep: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            most: 10_000,
            keep: Duration::from_secs(3600),
        }
    }
}

/// The pointers that one sidecar holds for others.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    pointers: HashMap<Request, Held>,
    /// Requests in the order of their puts; a put again leaves an outdated line behind.
    order: VecDeque<Line>,
    puts: u64,
}

#[derive(Debug)]
struct Held {
    pointer: Pointer,
    put: u64,
}

#[derive(Debug)]
struct Line {
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
        let held = self.pointers.get(&request);
        if held.is_some_and(|held| held.pointer.epoch > pointer.epoch) {
            return;
        }
        self.puts += 1;
        let put = self.puts;
        self.order.push_back(Line {
            put,
            time: now,
            request: request.clone(),
        });
        self.pointers.insert(request, Held { pointer, put });
        while self.pointers.len() > self.settings.most {
            self.drop_first();
        }
        // Puts again leave lines behind; two a pointer bound the queue.
        if self.order.len() > self.settings.most.saturating_mul(2) {
            let pointers = &self.pointers;
            self.order.retain(|line| current(pointers, line));
        }
    }

    /// The pointer of a request.
    pub fn get(&mut self, now: Clock, request: &str) -> Option<&Pointer> {
        self.expire(now);
        self.pointers.get(request).map(|held| &held.pointer)
    }

    /// Drops the pointer of a run that ended, unless another run took its place.
    pub fn remove(&mut self, request: &str, nonce: Nonce) {
        let held = self.pointers.get(request);
        if held.is_some_and(|held| held.pointer.nonce == nonce) {
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
        while let Some(line) = self.order.front() {
            if line.time + self.settings.keep > now {
                return;
            }
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some(line) = self.order.pop_front() else {
            return;
        };
        if current(&self.pointers, &line) {
            self.pointers.remove(&line.request);
        }
    }
}

/// Whether a line of the order is of the put that is held.
fn current(pointers: &HashMap<Request, Held>, line: &Line) -> bool {
    let held = pointers.get(&line.request);
    held.is_some_and(|held| held.put == line.put)
}
