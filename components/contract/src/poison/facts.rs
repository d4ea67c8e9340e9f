//! Facts about deaths: what is spread between processes.

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
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// How long it had run there.
    pub elapsed: Duration,
}

/// The death of a backend server whose sidecar lived on.
///
/// A lost host is no such death: its sidecar is lost too, and nobody writes this.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Death {
    /// The server.
    pub server: Server,
    /// When it died, by wall clock, as time since the Unix epoch. Only expiry rests on it.
    pub at: Clock,
    /// What was in flight.
    pub flights: Vec<Flight>,
}

/// Facts that only add up: the union of two sets of facts is a set of facts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Deaths by their number, which the sidecar draws.
    pub deaths: BTreeMap<Nonce, Death>,
    /// Refused fingerprints and until when, as time since the Unix epoch.
    pub refused: BTreeMap<Fingerprint, Clock>,
    /// Suspects that ran to their end since, and when: they are innocent of earlier deaths.
    pub cleared: BTreeMap<Fingerprint, Clock>,
}

impl Facts {
    /// Adds another set of facts; tells whether anything was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut new = false;
        for (number, death) in &other.deaths {
            if self.deaths.contains_key(number) {
                continue;
            }
            self.deaths.insert(*number, death.clone());
            new = true;
        }
        new |= raise(&mut self.refused, &other.refused);
        new |= raise(&mut self.cleared, &other.cleared);
        new
    }

    /// Forgets what has expired, and the oldest beyond the bounds.
    pub fn trim(&mut self, now: Clock, keep: Duration, most: usize) {
        self.deaths.retain(|_, death| death.at + keep > now);
        self.refused.retain(|_, until| *until > now);
        self.cleared.retain(|_, at| *at + keep > now);
        while self.deaths.len() > most {
            let oldest = self.deaths.iter().min_by_key(|(_, death)| death.at);
            let Some(number) = oldest.map(|(number, _)| *number) else {
                return;
            };
            self.deaths.remove(&number);
        }
        drop_earliest(&mut self.refused, most);
        drop_earliest(&mut self.cleared, most);
    }
}

/// Takes the later time of each fingerprint; tells whether anything was new.
fn raise(known: &mut BTreeMap<Fingerprint, Clock>, other: &BTreeMap<Fingerprint, Clock>) -> bool {
    let mut new = false;
    for (fingerprint, time) in other {
        let standing = known.entry(*fingerprint).or_default();
        if *time <= *standing {
            continue;
        }
        *standing = *time;
        new = true;
    }
    new
}

/// Keeps the latest `most`.
fn drop_earliest(times: &mut BTreeMap<Fingerprint, Clock>, most: usize) {
    while times.len() > most {
        let earliest = times.iter().min_by_key(|(_, time)| **time);
        let Some(fingerprint) = earliest.map(|(fingerprint, _)| *fingerprint) else {
            return;
        };
        times.remove(&fingerprint);
    }
}
