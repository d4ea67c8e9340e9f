//! Keys, revisions, leases and the log of changes.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use serde::Serialize;
use tokio::time::Instant;

/// A key as it stands.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Its name.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Lease with which it ends.
    pub lease: Option<u64>,
}

/// A change of a key.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Name of the key.
    pub key: String,
    /// Its value; none when it was deleted.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

/// Why a write didn't take effect.
pub enum Refusal {
    /// The key isn't at the revision that was expected; as it stands.
    Conflict(Option<Entry>),
    /// The lease has ended.
    UnknownLease,
}

/// Keys with revisions, leases, and a log of bounded length.
pub struct Store {
    retained_changes: usize,
    revision: u64,
    entries: BTreeMap<String, Entry>,
    log: VecDeque<Event>,
    /// Highest revision that is no longer in the log.
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl Store {
    /// An empty store that keeps a number of changes.
    pub fn new(retained_changes: usize) -> Store {
        Store {
            retained_changes,
            revision: 0,
            entries: BTreeMap::new(),
            log: VecDeque::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Leases that stand.
    pub fn leases(&self) -> u64 {
        self.leases.len() as u64
    }

    /// A key as it stands.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Keys under a prefix, behind the one named, up to a number.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Entry> {
        let mut found = Vec::new();
        let start = if after > prefix { after } else { prefix };
        for (key, entry) in self.entries.range(start.to_string()..) {
            if !key.starts_with(prefix) || found.len() >= limit {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            found.push(entry.clone());
        }
        found
    }

    /// Writes a key, if it is at the revision that is expected (0: it doesn't exist).
    ///
    /// # Errors
    ///
    /// [`Refusal`] when nothing was written.
    pub fn put(
        &mut self,
        key: &str,
        value: &str,
        expect: Option<u64>,
        lease: Option<u64>,
    ) -> Result<u64, Refusal> {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Refusal::UnknownLease);
        }
        self.check(key, expect)?;
        let revision = self.note(key, Some(value));
        let entry = Entry {
            key: key.to_string(),
            value: value.to_string(),
            revision,
            lease,
        };
        self.entries.insert(key.to_string(), entry);
        Ok(revision)
    }

    /// Deletes a key, if it is at the revision that is expected.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when nothing was deleted.
    pub fn delete(&mut self, key: &str, expect: Option<u64>) -> Result<u64, Refusal> {
        self.check(key, expect)?;
        if self.entries.remove(key).is_none() {
            return Ok(self.revision);
        }
        Ok(self.note(key, None))
    }

    fn check(&self, key: &str, expect: Option<u64>) -> Result<(), Refusal> {
        let Some(expect) = expect else {
            return Ok(());
        };
        let entry = self.entries.get(key);
        let stands = entry.map_or(0, |entry| entry.revision);
        if stands == expect {
            return Ok(());
        }
        Err(Refusal::Conflict(entry.cloned()))
    }

    fn note(&mut self, key: &str, value: Option<&str>) -> u64 {
        self.revision += 1;
        self.log.push_back(Event {
            key: key.to_string(),
            value: value.map(str::to_string),
            revision: self.revision,
        });
        while self.log.len() > self.retained_changes {
            if let Some(event) = self.log.pop_front() {
                self.compacted = event.revision;
            }
        }
        self.revision
    }

    /// Forgets all changes so far.
    pub fn compact(&mut self) {
        self.log.clear();
        self.compacted = self.revision;
    }

    /// Changes under the prefix after a revision; `None` when they are no longer kept.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Event>> {
        if after < self.compacted {
            return None;
        }
        let mut events = Vec::new();
        for event in &self.log {
            if event.revision > after && event.key.starts_with(prefix) {
                events.push(event.clone());
            }
        }
        Some(events)
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let lease = Lease {
            ttl,
            end: now + ttl,
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Prolongs a lease; `false` when it has lapsed.
    pub fn keep(&mut self, id: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.end = now + lease.ttl;
        true
    }

    /// Ends a lease and deletes its keys.
    pub fn drop_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let mut gone = Vec::new();
        for (key, entry) in &self.entries {
            if entry.lease == Some(id) {
                gone.push(key.clone());
            }
        }
        for key in gone {
            self.entries.remove(&key);
            self.note(&key, None);
        }
    }

    /// Ends the leases that have lapsed.
    pub fn expire(&mut self, now: Instant) {
        let mut lapsed = Vec::new();
        for (id, lease) in &self.leases {
            if lease.end <= now {
                lapsed.push(*id);
            }
        }
        for id in lapsed {
            self.drop_lease(id);
        }
    }
}
