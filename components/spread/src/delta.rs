//! The change from one text to another, so that an edit of a large document costs few bytes.
//!
//! An operator's edit changes a few lines that stand close together. What both texts begin and end
//! with is left out; the middle is sent. A hash of the whole guards against a wrong base.

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// How to make a text from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Bytes to take over from the beginning of the old text.
    pub start: u32,
    /// Bytes to take over from its end.
    pub end: u32,
    /// What stands between them in the new text.
    pub middle: String,
    /// Hash of the new text.
    pub hash: u64,
}

impl Delta {
    /// Compares two texts.
    pub fn between(old: &str, new: &str) -> Self {
        let start = common(old.bytes(), new.bytes());
        let start = boundary(old, new, start);
        let end = common(old[start..].bytes().rev(), new[start..].bytes().rev());
        let mut end = end;
        while !old.is_char_boundary(old.len() - end) || !new.is_char_boundary(new.len() - end) {
            end -= 1;
        }
        Self {
            start: length(start),
            end: length(end),
            middle: new[start..new.len() - end].to_string(),
            hash: xxh3_64(new.as_bytes()),
        }
    }

    /// Makes the new text; `None` when `old` isn't the text that the change was made from.
    pub fn apply(&self, old: &str) -> Option<String> {
        let start = old.get(..self.start as usize)?;
        let end = old.get(old.len().checked_sub(self.end as usize)?..)?;
        let new = [start, &self.middle, end].concat();
        (xxh3_64(new.as_bytes()) == self.hash).then_some(new)
    }
}

fn common(one: impl Iterator<Item = u8>, other: impl Iterator<Item = u8>) -> usize {
    one.zip(other)
        .take_while(|(one, other)| one == other)
        .count()
}

fn boundary(old: &str, new: &str, mut at: usize) -> usize {
    while !old.is_char_boundary(at) || !new.is_char_boundary(at) {
        at -= 1;
    }
    at
}

fn length(bytes: usize) -> u32 {
    u32::try_from(bytes).expect("documents are smaller than 4 GiB")
}
