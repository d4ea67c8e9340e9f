//! What the process knows of the operator's document, and since when.

use std::{
    rc::Rc,
    time::Duration, //
};

use environment::Index;
use names::Clock;

/// Part of the revocation time for which a confirmation holds. A request is judged by when its
/// caller sent it, which is before it is read here; the rest is for clocks that run unevenly.
const HOLDS: f64 = 0.95;

/// The document in force here.
#[derive(Debug, Default)]
pub struct DocumentCache {
    current: Option<Snapshot>,
}

/// A document with its number.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Number; it grows with each change.
    pub version: u64,
    /// The document.
    pub index: Rc<Index>,
}

/// Whether requests can be decided on.
#[derive(Clone, Debug)]
pub enum State {
    /// No document is known yet.
    Unknown,
    /// The document may be out of date: a key may have been taken away meanwhile.
    Stale(Snapshot),
    /// The document is known to have been in force a moment ago.
    Current(Snapshot),
}

impl DocumentCache {
    /// Takes a document. One that is older than the known one is ignored: within a process's life
    /// a document never goes back.
    pub fn learn(&mut self, snapshot: Snapshot) -> bool {
        let known = self.current.as_ref().map(|snapshot| snapshot.version);
        if known >= Some(snapshot.version) {
            return false;
        }
        self.current = Some(snapshot);
        true
    }

    /// The newest document that is known.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// What requests can go by now, when all that is known was last known to be complete at
    /// `confirmed`.
    pub fn state(&self, now: Clock, confirmed: Option<Clock>, revocation: Duration) -> State {
        let Some(snapshot) = self.current.clone() else {
            return State::Unknown;
        };
        let age = confirmed.map(|at| now.saturating_sub(at));
        if age.is_some_and(|age| age <= revocation.mul_f64(HOLDS)) {
            return State::Current(snapshot);
        }
        State::Stale(snapshot)
    }
}
