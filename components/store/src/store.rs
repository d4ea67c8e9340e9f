//! Types of the key-value store.

use names::Revision;
use serde::Deserialize;

/// Id of a lease.
pub type Lease = u64;

/// The current state of a key.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// Key, a path such as `a/b`.
    pub key: String,
    /// Value, UTF-8 text of up to 1 MiB.
    pub value: String,
    /// Revision of the key's last write.
    pub revision: Revision,
    /// Lease that the key is bound to; the key is deleted when the lease ends.
    pub lease: Option<Lease>,
}

/// All keys under a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// Entries, sorted by key.
    pub entries: Vec<Entry>,
    /// Revision from which a watch misses no change. It is the revision of the first page, so a
    /// change between two pages is reported again rather than missed.
    pub revision: Revision,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No condition; the write always applies.
    Any,
    /// The key must be absent.
    Absent,
    /// The key must have this revision.
    Revision(Revision),
}

impl Expect {
    /// Returns the condition as the interface encodes it: 0 stands for an absent key.
    pub(crate) fn number(self) -> Option<Revision> {
        match self {
            Expect::Any => None,
            Expect::Absent => Some(0),
            Expect::Revision(revision) => Some(revision),
        }
    }
}

/// Result of an answered write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The write took effect.
    Applied {
        /// Revision of the write.
        revision: Revision,
    },
    /// The condition did not hold.
    Conflict {
        /// Current state of the key; `None` if it is absent.
        entry: Option<Entry>,
    },
}

/// Result of a write whose answer may have been lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The write took effect exactly once.
    Applied {
        /// Revision of the write.
        revision: Revision,
    },
    /// The write took no effect and can't any more. This assumes that keys that are created only
    /// when absent are changed and deleted only by their creator.
    Conflict {
        /// Current state of the key; `None` if it is absent.
        entry: Option<Entry>,
    },
    /// Undetermined: the write may have taken effect, or may still do so later.
    Unknown,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// Key that changed.
    pub key: String,
    /// New value; `None` for a deletion.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct WatchResult {
    /// All changes after the requested revision, in order; empty if the wait timed out.
    pub events: Vec<Change>,
    /// Revision to continue the watch from.
    pub revision: Revision,
}
