//! In-memory key-value store with revisions, leases and a log of changes.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use serde::Serialize;
use tokio::time::Instant;

/// Key with its current value.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Key of the item.
    pub key: String,
    /// Value that the key has now.
    pub value: String,
    /// Revision of the last change.
    pub revision: u64,
    /// Lease with which the key expires.
    pub lease: Option<u64>,
}

/// Change of a key.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Key that was written or deleted.
    pub key: String,
    /// Value that was written; `None` if the key was deleted.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

/// Reason for which a write had no effect.
pub enum Refusal {
    /// The key isn't at the expected revision; holds its current entry, if any.
    Conflict(Option<Entry>),
    /// The lease doesn't exist or has expired.
    UnknownLease,
}

/// Key-value store with leases and a change log of bounded length.
pub struct Store {
    retained_changes: usize,
    revision: u64,
    entries: BTreeMap<String, Entry>,
    log: VecDeque<Event>,
    /// Highest revision that was removed from the log.
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl Store {
    /// Creates an empty store whose log retains the given number of changes.
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

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of live leases.
    pub fn leases(&self) -> u64 {
        self.leases.len() as u64
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns up to `limit` entries whose keys start with `prefix` and sort behind `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let start = if after > prefix { after } else { prefix };
        for (key, entry) in self.entries.range(start.to_string()..) {
            if !key.starts_with(prefix) || entries.len() >= limit {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Writes a key if it is at the expected revision, where 0 means that it doesn't exist.
    /// Returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if nothing was written.
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
        self.check_revision(key, expect)?;
        let revision = self.append(key, Some(value));
        let entry = Entry {
            key: key.to_string(),
            value: value.to_string(),
            revision,
            lease,
        };
        self.entries.insert(key.to_string(), entry);
        Ok(revision)
    }

    /// Deletes a key if it is at the expected revision. Returns the store's new revision.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if nothing was deleted.
    pub fn delete(&mut self, key: &str, expect: Option<u64>) -> Result<u64, Refusal> {
        self.check_revision(key, expect)?;
        if self.entries.remove(key).is_none() {
            return Ok(self.revision);
        }
        Ok(self.append(key, None))
    }

    fn check_revision(&self, key: &str, expect: Option<u64>) -> Result<(), Refusal> {
        let Some(expect) = expect else {
            return Ok(());
        };
        let entry = self.entries.get(key);
        let current = entry.map_or(0, |entry| entry.revision);
        if current == expect {
            return Ok(());
        }
        Err(Refusal::Conflict(entry.cloned()))
    }

    /// Appends a change to the log and returns its revision.
    fn append(&mut self, key: &str, value: Option<&str>) -> u64 {
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

    /// Removes all changes from the log.
    pub fn compact(&mut self) {
        self.log.clear();
        self.compacted = self.revision;
    }

    /// Returns the changes after a revision to keys that start with `prefix`, or `None` if the log
    /// no longer holds all of them.
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

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let lease = Lease {
            ttl,
            end: now + ttl,
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease. Returns `false` if it has expired.
    pub fn keep(&mut self, id: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.end = now + lease.ttl;
        true
    }

    /// Revokes a lease and deletes its keys.
    pub fn drop_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let mut keys = Vec::new();
        for (key, entry) in &self.entries {
            if entry.lease == Some(id) {
                keys.push(key.clone());
            }
        }
        for key in keys {
            self.entries.remove(&key);
            self.append(&key, None);
        }
    }

    /// Revokes the leases that have expired.
    pub fn expire(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (id, lease) in &self.leases {
            if lease.end <= now {
                expired.push(*id);
            }
        }
        for id in expired {
            self.drop_lease(id);
        }
    }
}
