//! Values of the key-value store.

use names::Revision;
use serde::Deserialize;

/// Number of a lease.
pub type Lease = u64;

/// A key as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// Key, path-like.
    pub key: String,
    /// Value, UTF-8 text of up to 1 MiB.
    pub value: String,
    /// Revision of its last write.
    pub revision: Revision,
    /// Lease that it goes with.
    pub lease: Option<Lease>,
}

/// Keys under a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// In key order.
    pub entries: Vec<Entry>,
    /// A watch from here on misses no change. It is the first page's revision, so that a change
    /// between two pages is seen again rather than lost.
    pub revision: Revision,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// None: writes always.
    Any,
    /// The key is absent.
    Absent,
    /// The key's revision is this one.
    Revision(Revision),
}

impl Expect {
    pub(crate) fn number(self) -> Option<Revision> {
        match self {
            Expect::Any => None,
            Expect::Absent => Some(0),
            Expect::Revision(revision) => Some(revision),
        }
    }
}

/// What came of a write that got its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Written.
    Done {
        /// The store's revision.
        revision: Revision,
    },
    /// The condition didn't hold.
    Conflict {
        /// The key as it stands.
        entry: Option<Entry>,
    },
}

/// What came of a write whose answer may have been lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It took effect, once.
    Applied {
        /// Revision that it was written at.
        revision: Revision,
    },
    /// It took no effect and can't take one any more, as long as keys that are created only when
    /// absent are changed and deleted by their creator alone.
    Conflict {
        /// The key as it stands.
        entry: Option<Entry>,
    },
    /// It can't be told. The write may have taken effect, or may do so later.
    Unknown,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Event {
    /// Key that changed.
    pub key: String,
    /// New value; `None` for a deletion.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Answer of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// Every change since, in order; empty when the wait passed.
    pub events: Vec<Event>,
    /// Revision to watch from next.
    pub revision: Revision,
}
