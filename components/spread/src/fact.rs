//! Replicated facts that only grow: vetoes, poisonous requests, evidence on moves.
//!
//! Joining two facts with the same key keeps the greater one. The join is commutative, associative
//! and idempotent, so lost, repeated and reordered messages do no harm, and a fact is only
//! forgotten when it expires. The content of a fact is opaque here.

use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use names::{
    DataCentre,
    Environment,
    Host,
    Move, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

/// Collector of evidence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// One process. Its evidence stays inside the data centre and is sent to the readers there.
    Host(Host),
    /// The readers of a data centre, which aggregate the evidence of its processes and send it
    /// everywhere.
    DataCentre(DataCentre),
}

/// Subject of a fact.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The version of this move is bad.
    Veto(Environment, Move),
    /// Requests with this fingerprint crash servers; it covers their content and team.
    Poison(u64),
    /// Counts and histograms of a move; the text names what was counted. Counts of a restarted
    /// process begin at 0 and would have less weight than the old ones, so the text must include
    /// the process's incarnation.
    Evidence(Source, String),
    /// State of a move in the store. The weight is its store revision.
    Record(Environment, Move),
}

/// Recipients of a fact, and how fast it reaches them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Sent to all processes at once.
    Urgent,
    /// Sent to all processes in batches, within seconds.
    Summary,
    /// Sent to the readers of this process's data centre, within seconds.
    Detail,
}

impl Key {
    /// Returns the class that facts with this key belong to.
    pub fn class(&self) -> Class {
        match self {
            Key::Veto(..) | Key::Poison(_) | Key::Record(..) => Class::Urgent,
            Key::Evidence(Source::DataCentre(_), _) => Class::Summary,
            Key::Evidence(Source::Host(_), _) => Class::Detail,
        }
    }

    /// Returns the hash that identifies the key in messages.
    pub fn hash(&self) -> u64 {
        xxh3_64(self.to_string().as_bytes())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Veto(environment, name) => write!(out, "veto/{environment}/{name}"),
            Key::Record(environment, name) => write!(out, "record/{environment}/{name}"),
            Key::Poison(fingerprint) => write!(out, "poison/{fingerprint:016x}"),
            Key::Evidence(Source::DataCentre(name), of) => {
                write!(out, "evidence/data-centre/{name}/{of}")
            }
            Key::Evidence(Source::Host(name), of) => write!(out, "evidence/host/{name}/{of}"),
        }
    }
}

/// Known fact. Facts with the same key are ordered by weight first, and the greater one is kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fact {
    /// Grows with the information in the fact, such as the number of requests counted.
    pub weight: u64,
    /// Expiry, as wall-clock time since the Unix epoch; `None` for a fact that never expires.
    pub until: Option<Duration>,
    /// Encoded content.
    pub body: Vec<u8>,
}

impl Fact {
    fn hash(&self, key: u64) -> u64 {
        let mut hash = Xxh3::with_seed(key);
        hash.update(&self.weight.to_le_bytes());
        if let Some(until) = self.until {
            hash.update(&until.as_millis().to_le_bytes());
        }
        hash.update(&self.body);
        hash.digest()
    }
}

/// Hashes and weight of a fact, which processes compare to find differences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Hash of the key.
    pub key: u64,
    /// Hash of the fact.
    pub fact: u64,
    /// Weight of the fact.
    pub weight: u64,
}

/// All facts that a process knows, with a digest for each class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    facts: BTreeMap<Key, Fact>,
    keys_by_hash: BTreeMap<u64, Key>,
    digests: BTreeMap<Class, u64>,
}

impl Facts {
    /// Joins a fact with the known one, and returns whether that changed it.
    ///
    /// `wall` is the wall-clock time since the Unix epoch. Expired facts are ignored; otherwise two
    /// processes could send one back and forth for ever.
    pub fn join(&mut self, key: &Key, fact: &Fact, wall: Duration) -> bool {
        if fact.until.is_some_and(|until| until <= wall) {
            return false;
        }
        if self.facts.get(key).is_some_and(|known| known >= fact) {
            return false;
        }
        self.remove(key);
        let key_hash = key.hash();
        self.keys_by_hash.insert(key_hash, key.clone());
        *self.digests.entry(key.class()).or_default() ^= fact.hash(key_hash);
        self.facts.insert(key.clone(), fact.clone());
        true
    }

    /// Removes expired facts.
    pub fn expire(&mut self, wall: Duration) {
        let expired: Vec<_> = self
            .facts
            .iter()
            .filter(|(_, fact)| fact.until.is_some_and(|until| until <= wall))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) {
        let Some(fact) = self.facts.remove(key) else {
            return;
        };
        let key_hash = key.hash();
        self.keys_by_hash.remove(&key_hash);
        *self.digests.entry(key.class()).or_default() ^= fact.hash(key_hash);
    }

    /// Returns the fact with this key.
    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(key)
    }

    /// Iterates over all facts in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.facts.iter()
    }

    /// Returns a digest of all facts of a class; it is equal for processes that know the same
    /// facts.
    pub fn digest(&self, class: Class) -> u64 {
        self.digests.get(&class).copied().unwrap_or_default()
    }

    /// Returns the fingerprints of all facts of a class.
    pub fn fingerprints(&self, class: Class) -> Vec<Fingerprint> {
        let of_class = self.facts.iter().filter(|(key, _)| key.class() == class);
        let fingerprint = |(key, fact): (&Key, &Fact)| {
            let key_hash = key.hash();
            Fingerprint {
                key: key_hash,
                fact: fact.hash(key_hash),
                weight: fact.weight,
            }
        };
        of_class.map(fingerprint).collect()
    }

    /// Compares the facts of a class with another process's fingerprints. Returns the facts that it
    /// lacks, and the key hashes of facts that this process lacks.
    pub fn compare(
        &self,
        class: Class,
        fingerprints: &[Fingerprint],
    ) -> (Vec<(Key, Fact)>, Vec<u64>) {
        let mut remote: BTreeMap<u64, Fingerprint> = fingerprints
            .iter()
            .map(|fingerprint| (fingerprint.key, *fingerprint))
            .collect();
        let mut lacking = Vec::new();
        let mut wanted = Vec::new();
        for (key, fact) in self.facts.iter().filter(|(key, _)| key.class() == class) {
            let key_hash = key.hash();
            let Some(other) = remote.remove(&key_hash) else {
                lacking.push((key.clone(), fact.clone()));
                continue;
            };
            if other.fact == fact.hash(key_hash) {
                continue;
            }
            // With equal weights but different content either may be the greater: both sides send
            // theirs.
            if other.weight <= fact.weight {
                lacking.push((key.clone(), fact.clone()));
            }
            if other.weight >= fact.weight {
                wanted.push(key_hash);
            }
        }
        wanted.extend(remote.into_keys());
        (lacking, wanted)
    }

    /// Returns the facts with these key hashes.
    pub fn by_hashes(&self, key_hashes: &[u64]) -> Vec<(Key, Fact)> {
        let keys = key_hashes
            .iter()
            .filter_map(|key_hash| self.keys_by_hash.get(key_hash));
        keys.filter_map(|key| Some((key.clone(), self.facts.get(key)?.clone())))
            .collect()
    }
}
