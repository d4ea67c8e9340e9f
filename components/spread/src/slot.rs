//! One environment's document in one process.
//!
//! What can go wrong: a process puts a document in force that nobody else has, dies, is replaced
//! while the store is out, and its replacement learns an older document from its neighbours. A
//! caller notices that traffic moves back to a version which was taken out. So a document that
//! comes from the store is *pending* until another process says that it holds it too; one that
//! comes from another process is held there already, and is in force at once.

use names::Revision;
use serde::{
    Deserialize,
    Serialize, //
};

/// A document as the store keeps it at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Edition {
    /// The store's revision of it.
    pub revision: Revision,
    /// Digest of what it says, see [`environment::digest()`].
    pub digest: u64,
    /// The YAML text.
    pub text: String,
}

/// What became of a document that was offered to a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is as old as what the slot holds, or older: nothing changed.
    Old,
    /// It waits until another process holds it too, and must be sent to others.
    Pending,
    /// It is in force.
    InForce,
}

/// One environment's document in one process; its revision never goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Slot {
    in_force: Option<Edition>,
    pending: Option<Edition>,
    /// What was held before, so that neighbours who still have it can be sent the change alone.
    previous: Option<Edition>,
}

impl Slot {
    /// Takes a document from the store.
    pub fn stage(&mut self, edition: Edition) -> Step {
        if edition.revision <= self.revision() {
            return Step::Old;
        }
        self.previous = self.newest().cloned();
        self.pending = Some(edition);
        Step::Pending
    }

    /// Takes a document from another process.
    pub fn receive(&mut self, edition: Edition) -> Step {
        if edition.revision < self.revision() {
            return Step::Old;
        }
        if edition.revision == self.revision() {
            return self.confirm(edition.revision);
        }
        self.previous = self.newest().cloned();
        self.pending = None;
        self.in_force = Some(edition);
        Step::InForce
    }

    /// Another process said that it holds this revision or a newer one.
    pub fn confirm(&mut self, revision: Revision) -> Step {
        match self.pending.take_if(|pending| pending.revision <= revision) {
            Some(pending) => {
                self.in_force = Some(pending);
                Step::InForce
            }
            None => Step::Old,
        }
    }

    /// There is nobody to share a pending document with: it comes into force all the same.
    pub fn activate(&mut self) -> Step {
        self.confirm(Revision::MAX)
    }

    /// The document in force.
    pub fn in_force(&self) -> Option<&Edition> {
        self.in_force.as_ref()
    }

    /// The newest document that is held, in force or pending.
    pub fn newest(&self) -> Option<&Edition> {
        self.pending.as_ref().or(self.in_force.as_ref())
    }

    /// The document that was the newest before this one.
    pub fn previous(&self) -> Option<&Edition> {
        self.previous.as_ref()
    }

    /// Tells whether a document waits for another process to hold it.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Revision of the newest document that is held; 0 when there is none.
    pub fn revision(&self) -> Revision {
        self.newest().map_or(0, |edition| edition.revision)
    }
}
