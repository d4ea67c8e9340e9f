//! The entry's position in an answer.
//!
//! Frames are repeated after a link was replaced, and may have a gap if a sidecar malfunctions. The
//! cursor accepts each index once and in order.

use names::Index;

/// Relation of a run of tokens to the cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The tokens after the first `skip` are new.
    Fresh {
        /// Number of leading tokens that were accepted before.
        skip: usize,
    },
    /// All tokens were accepted before.
    Repeat,
    /// Tokens before the first one are missing.
    Hole,
}

/// Tracks the next index of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Cursor {
    next: Index,
}

impl Cursor {
    /// Classifies `count` tokens from `index` on, without accepting them.
    pub fn classify(&self, index: Index, count: usize) -> Verdict {
        if index > self.next {
            return Verdict::Hole;
        }
        let overlap = self.next - index;
        if overlap >= count as Index {
            return Verdict::Repeat;
        }
        Verdict::Fresh {
            skip: overlap as usize,
        }
    }

    /// Accepts `count` tokens.
    pub fn advance(&mut self, count: usize) {
        self.next += count as Index;
    }

    /// Returns the next index.
    pub fn next(&self) -> Index {
        self.next
    }
}
