//! Facts about server deaths, as exchanged between processes.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::{
    Clock,
    Nonce,
    Server, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::Fingerprint;

/// A request that was in flight when its server died.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Flight {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How long the request had run on the server.
    pub elapsed: Duration,
}

/// The death of a backend server whose sidecar survived.
///
/// The loss of a whole host is not recorded as a death: its sidecar, which would report it, is lost
/// too.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Death {
    /// The server that died.
    pub server: Server,
    /// Wall-clock time of the death since the Unix epoch. Expiry, the eviction of the oldest deaths
    /// and the comparison with cleared suspects depend on it.
    pub at: Clock,
    /// Requests in flight at the time.
    pub flights: Vec<Flight>,
}

/// A mergeable set of facts: the union of two sets is again a set of facts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Deaths by the random nonce that the reporting sidecar generated.
    pub deaths: BTreeMap<Nonce, Death>,
    /// Refused fingerprints with the end of each refusal, as time since the Unix epoch.
    pub refused: BTreeMap<Fingerprint, Clock>,
    /// Suspects that completed, with the time since the Unix epoch. They are cleared of all earlier
    /// deaths.
    pub cleared: BTreeMap<Fingerprint, Clock>,
}

impl Facts {
    /// Merges another set of facts into this one and returns whether anything was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (nonce, death) in &other.deaths {
            if self.deaths.contains_key(nonce) {
                continue;
            }
            self.deaths.insert(*nonce, death.clone());
            changed = true;
        }
        changed |= merge_latest(&mut self.refused, &other.refused);
        changed |= merge_latest(&mut self.cleared, &other.cleared);
        changed
    }

    /// Removes expired facts, then the oldest ones beyond `capacity` of each kind.
    ///
    /// Deaths and cleared suspects expire after `ttl`.
    pub fn prune(&mut self, now: Clock, ttl: Duration, capacity: usize) {
        self.deaths.retain(|_, death| death.at + ttl > now);
        self.refused.retain(|_, until| *until > now);
        self.cleared.retain(|_, at| *at + ttl > now);
        while self.deaths.len() > capacity {
            let oldest = self.deaths.iter().min_by_key(|(_, death)| death.at);
            let Some(nonce) = oldest.map(|(nonce, _)| *nonce) else {
                return;
            };
            self.deaths.remove(&nonce);
        }
        evict_earliest(&mut self.refused, capacity);
        evict_earliest(&mut self.cleared, capacity);
    }
}

/// Keeps the later time of each fingerprint and returns whether anything changed.
fn merge_latest(
    known: &mut BTreeMap<Fingerprint, Clock>,
    other: &BTreeMap<Fingerprint, Clock>,
) -> bool {
    let mut changed = false;
    for (fingerprint, time) in other {
        let latest = known.entry(*fingerprint).or_default();
        if *time <= *latest {
            continue;
        }
        *latest = *time;
        changed = true;
    }
    changed
}

/// Evicts the earliest entries beyond `capacity`.
fn evict_earliest(times: &mut BTreeMap<Fingerprint, Clock>, capacity: usize) {
    while times.len() > capacity {
        let earliest = times.iter().min_by_key(|(_, time)| **time);
        let Some(fingerprint) = earliest.map(|(fingerprint, _)| *fingerprint) else {
            return;
        };
        times.remove(&fingerprint);
    }
}
