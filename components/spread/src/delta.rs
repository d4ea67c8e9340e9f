//! Text deltas, so that a small edit of a large document costs few bytes on the network.
//!
//! An operator's edit usually changes a few adjacent lines. A delta omits the common prefix and
//! suffix of both texts and carries the new middle. A hash of the new text detects a wrong base.

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Instructions to build a text from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Number of bytes to copy from the start of the old text.
    pub start: u32,
    /// Number of bytes to copy from the end of the old text.
    pub end: u32,
    /// Text between the copied parts.
    pub middle: String,
    /// XXH3 hash of the new text.
    pub hash: u64,
}

impl Delta {
    /// Computes the delta between two texts.
    pub fn between(old: &str, new: &str) -> Self {
        let start = common_length(old.bytes(), new.bytes());
        let start = char_boundary_before(old, new, start);
        let end = common_length(old[start..].bytes().rev(), new[start..].bytes().rev());
        let mut end = end;
        while !old.is_char_boundary(old.len() - end) || !new.is_char_boundary(new.len() - end) {
            end -= 1;
        }
        Self {
            start: to_u32(start),
            end: to_u32(end),
            middle: new[start..new.len() - end].to_string(),
            hash: xxh3_64(new.as_bytes()),
        }
    }

    /// Applies the delta. Returns `None` when `old` is not the text that the delta was computed
    /// from.
    pub fn apply(&self, old: &str) -> Option<String> {
        let start = old.get(..self.start as usize)?;
        let end = old.get(old.len().checked_sub(self.end as usize)?..)?;
        let new = [start, &self.middle, end].concat();
        (xxh3_64(new.as_bytes()) == self.hash).then_some(new)
    }
}

fn common_length(one: impl Iterator<Item = u8>, other: impl Iterator<Item = u8>) -> usize {
    one.zip(other)
        .take_while(|(one, other)| one == other)
        .count()
}

fn char_boundary_before(old: &str, new: &str, mut at: usize) -> usize {
    while !old.is_char_boundary(at) || !new.is_char_boundary(at) {
        at -= 1;
    }
    at
}

fn to_u32(bytes: usize) -> u32 {
    u32::try_from(bytes).expect("documents are smaller than 4 GiB")
}
