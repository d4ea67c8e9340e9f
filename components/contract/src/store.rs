//! Results of store operations, reduced to what the state machines of this crate need.

use names::Revision;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::record::Record;

/// A stored record with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stored {
    /// The record as it was last written.
    pub record: Record,
    /// Revision of the record's last write.
    pub revision: Revision,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// The write took effect at this revision.
    Applied(Revision),
    /// The record's revision was not the expected one. Holds the stored record, if any.
    Conflict(Option<Stored>),
    /// The store rejected the write (429, 503, unknown lease); it had no effect.
    Refused,
    /// No answer arrived: the write may have taken effect, or may still do so later.
    Unanswered,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Read {
    /// The record exists.
    Found(Stored),
    /// There is no record.
    Absent,
    /// The store rejected the read or didn't answer.
    Failed,
}
