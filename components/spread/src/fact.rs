//! Facts that only grow: vetoes, poisonous requests, evidence on moves.
//!
//! A fact is joined with what is known of the same key by taking the heavier, so that lost,
//! repeated and reordered messages do no harm and nothing that was known is forgotten before its
//! time. What a fact says is opaque here.

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

/// Who gathered evidence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// One process. It stays inside the data centre, and goes to the readers there.
    Host(Host),
    /// The readers of a data centre, from what its processes gathered. It goes everywhere.
    DataCentre(DataCentre),
}

/// What a fact is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A move's version is bad.
    Veto(Environment, Move),
    /// A request brings servers down; the fingerprint is of its content and team.
    Poison(u64),
    /// Counts and histograms of a move; the text names what was counted. A process that starts
    /// anew counts from 0 and would be the lighter, so its incarnation belongs into the text.
    Evidence(Source, String),
    /// What the store keeps of a move. The weight is its revision there.
    Record(Environment, Move),
}

/// How a fact travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// To everybody at once.
    Urgent,
    /// To everybody within seconds, a few at a time.
    Summary,
    /// To the readers of the own data centre, within seconds.
    Detail,
}

impl Key {
    /// How facts with this key travel.
    pub fn class(&self) -> Class {
        match self {
            Key::Veto(..) | Key::Poison(_) | Key::Record(..) => Class::Urgent,
            Key::Evidence(Source::DataCentre(_), _) => Class::Summary,
            Key::Evidence(Source::Host(_), _) => Class::Detail,
        }
    }

    /// Hash by which processes name a key to each other.
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

/// What is known; of two with the same key the greater one stays, by weight first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fact {
    /// Grows with what went into the fact, such as the number of requests that were counted.
    pub weight: u64,
    /// Time after which the fact is dropped, as wall-clock time since 1970; for good if not given.
    pub until: Option<Duration>,
    /// What the fact says.
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

/// Name and weight of a fact, as one process tells another what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// Hash of the key.
    pub key: u64,
    /// Hash of the fact.
    pub fact: u64,
    /// Weight of the fact.
    pub weight: u64,
}

/// All facts that a process knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    known: BTreeMap<Key, Fact>,
    names: BTreeMap<u64, Key>,
    digests: BTreeMap<Class, u64>,
}

impl Facts {
    /// Joins a fact with what is known, and tells whether that grew.
    ///
    /// `wall` is the wall-clock time since 1970: a fact past its time isn't taken up again, or two
    /// processes would hand it to each other for ever.
    pub fn join(&mut self, key: &Key, fact: &Fact, wall: Duration) -> bool {
        if fact.until.is_some_and(|until| until <= wall) {
            return false;
        }
        if self.known.get(key).is_some_and(|known| known >= fact) {
            return false;
        }
        self.remove(key);
        let name = key.hash();
        self.names.insert(name, key.clone());
        *self.digests.entry(key.class()).or_default() ^= fact.hash(name);
        self.known.insert(key.clone(), fact.clone());
        true
    }

    /// Drops what is past its time.
    pub fn expire(&mut self, wall: Duration) {
        let past: Vec<_> = self
            .known
            .iter()
            .filter(|(_, fact)| fact.until.is_some_and(|until| until <= wall))
            .map(|(key, _)| key.clone())
            .collect();
        for key in past {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) {
        let Some(fact) = self.known.remove(key) else {
            return;
        };
        let name = key.hash();
        self.names.remove(&name);
        *self.digests.entry(key.class()).or_default() ^= fact.hash(name);
    }

    /// Finds a fact.
    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.known.get(key)
    }

    /// All facts, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.known.iter()
    }

    /// Digest of all facts of a class; equal when two processes know the same.
    pub fn digest(&self, class: Class) -> u64 {
        self.digests.get(&class).copied().unwrap_or_default()
    }

    /// Names and weights of all facts of a class.
    pub fn marks(&self, class: Class) -> Vec<Mark> {
        let of_class = self.known.iter().filter(|(key, _)| key.class() == class);
        let mark = |(key, fact): (&Key, &Fact)| {
            let name = key.hash();
            Mark {
                key: name,
                fact: fact.hash(name),
                weight: fact.weight,
            }
        };
        of_class.map(mark).collect()
    }

    /// What a process with these marks lacks, and the keys of which it knows more.
    pub fn compare(&self, class: Class, marks: &[Mark]) -> (Vec<(Key, Fact)>, Vec<u64>) {
        let mut theirs: BTreeMap<u64, Mark> = marks.iter().map(|m| (m.key, *m)).collect();
        let mut lacks = Vec::new();
        let mut wanted = Vec::new();
        for (key, fact) in self.known.iter().filter(|(key, _)| key.class() == class) {
            let name = key.hash();
            let Some(mark) = theirs.remove(&name) else {
                lacks.push((key.clone(), fact.clone()));
                continue;
            };
            if mark.fact == fact.hash(name) {
                continue;
            }
            // Of equal weights but other bodies either may be the greater: both are sent.
            if mark.weight <= fact.weight {
                lacks.push((key.clone(), fact.clone()));
            }
            if mark.weight >= fact.weight {
                wanted.push(name);
            }
        }
        wanted.extend(theirs.into_keys());
        (lacks, wanted)
    }

    /// Finds facts by the hashes of their keys.
    pub fn named(&self, names: &[u64]) -> Vec<(Key, Fact)> {
        let keys = names.iter().filter_map(|name| self.names.get(name));
        keys.filter_map(|key| Some((key.clone(), self.known.get(key)?.clone())))
            .collect()
    }
}
