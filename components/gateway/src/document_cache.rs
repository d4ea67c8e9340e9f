//! Last known version of the operator's document, and whether it is current.

use std::{
    rc::Rc,
    time::Duration, //
};

use environment::Index;
use names::Clock;

/// Share of the revocation time for which a confirmation counts as current. A request is judged by
/// the time at which its caller sent it, which is before it is read here; the remainder covers that
/// delay and clock drift.
const CONFIRMATION_SHARE: f64 = 0.95;

/// Cache of the operator's document.
#[derive(Debug, Default)]
pub struct DocumentCache {
    current: Option<Snapshot>,
}

/// A version of the document.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version number; it grows with each change.
    pub version: u64,
    /// Index of the document's content.
    pub index: Rc<Index>,
}

/// Whether requests can be decided on the cached document.
#[derive(Clone, Debug)]
pub enum State {
    /// No document is known yet.
    Unknown,
    /// The document may be out of date: an API key may have been revoked since.
    Stale(Snapshot),
    /// The document was confirmed recently enough.
    Current(Snapshot),
}

impl DocumentCache {
    /// Stores a document and returns `true` if it is newer than the cached one. Older ones are
    /// ignored: within the life of a process the version never decreases.
    pub fn update(&mut self, snapshot: Snapshot) -> bool {
        let known = self.current.as_ref().map(|snapshot| snapshot.version);
        if known >= Some(snapshot.version) {
            return false;
        }
        self.current = Some(snapshot);
        true
    }

    /// Returns the newest known document.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// Returns whether requests can be decided at time `now`. `confirmed` is the time at which the
    /// document was last known to be the newest, and `revocation` the longest time for which a
    /// revoked key may still be accepted.
    pub fn state(&self, now: Clock, confirmed: Option<Clock>, revocation: Duration) -> State {
        let Some(snapshot) = self.current.clone() else {
            return State::Unknown;
        };
        let age = confirmed.map(|at| now.saturating_sub(at));
        if age.is_some_and(|age| age <= revocation.mul_f64(CONFIRMATION_SHARE)) {
            return State::Current(snapshot);
        }
        State::Stale(snapshot)
    }
}
