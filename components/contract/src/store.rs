//! What the platform's store may answer, as far as the decisions here care.

use names::Revision;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::record::Record;

/// A record as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stored {
    /// The record.
    pub record: Record,
    /// Revision at which it was written.
    pub revision: Revision,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// The write took effect.
    Applied(Revision),
    /// Something else stands there; nothing does when `None`.
    Conflict(Option<Stored>),
    /// The store answered that it didn't take the write (429, 503, unknown lease).
    Refused,
    /// No answer came: the write may have taken effect, or may do so later.
    Unanswered,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Read {
    /// The record.
    Found(Stored),
    /// There is none.
    Absent,
    /// The store refused or didn't answer.
    Failed,
}
