//! Document of one environment in one process.
//!
//! A slot prevents a rollback: a process brings a document into force that no other process has,
//! dies, and is replaced while the store is unavailable. Its replacement receives an older document
//! from the neighbours, and callers see traffic return to a version that had been removed. A
//! document from the store is therefore *pending* until another process reports that it holds it
//! too. A document from another process is held there already, and comes into force at once.

use names::Revision;
use serde::{
    Deserialize,
    Serialize, //
};

/// Document at one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Edition {
    /// Store revision of the document.
    pub revision: Revision,
    /// Digest of the document's content, see [`environment::digest()`].
    pub digest: u64,
    /// YAML text of the document.
    pub text: String,
}

/// Result of adding a document to a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The document is not newer than the held one; nothing changed.
    Stale,
    /// The document must be sent to others, and is pending until another process holds it.
    Pending,
    /// The document is in force.
    InForce,
}

/// Document of one environment in one process. Its revision never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Slot {
    in_force: Option<Edition>,
    pending: Option<Edition>,
    /// Previously held document, so that neighbours that still have it can be sent a delta.
    previous: Option<Edition>,
}

impl Slot {
    /// Adds a document from the store.
    pub fn stage(&mut self, edition: Edition) -> Outcome {
        if edition.revision <= self.revision() {
            return Outcome::Stale;
        }
        self.previous = self.newest().cloned();
        self.pending = Some(edition);
        Outcome::Pending
    }

    /// Adds a document from another process.
    pub fn receive(&mut self, edition: Edition) -> Outcome {
        if edition.revision < self.revision() {
            return Outcome::Stale;
        }
        if edition.revision == self.revision() {
            return self.confirm(edition.revision);
        }
        self.previous = self.newest().cloned();
        self.pending = None;
        self.in_force = Some(edition);
        Outcome::InForce
    }

    /// Records that another process holds this revision or a newer one.
    pub fn confirm(&mut self, revision: Revision) -> Outcome {
        match self.pending.take_if(|pending| pending.revision <= revision) {
            Some(pending) => {
                self.in_force = Some(pending);
                Outcome::InForce
            }
            None => Outcome::Stale,
        }
    }

    /// Brings a pending document into force although no other process holds it.
    pub fn activate(&mut self) -> Outcome {
        self.confirm(Revision::MAX)
    }

    /// Returns the document in force.
    pub fn in_force(&self) -> Option<&Edition> {
        self.in_force.as_ref()
    }

    /// Returns the newest held document, in force or pending.
    pub fn newest(&self) -> Option<&Edition> {
        self.pending.as_ref().or(self.in_force.as_ref())
    }

    /// Returns the document that was the newest before the current one.
    pub fn previous(&self) -> Option<&Edition> {
        self.previous.as_ref()
    }

    /// Returns whether a document is pending.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the revision of the newest held document; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.newest().map_or(0, |edition| edition.revision)
    }
}
