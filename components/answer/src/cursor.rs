//! The entry's place in an answer.
//!
//! Frames come again after a link was replaced, and may come with a hole when a sidecar errs. The
//! cursor takes each index once and in order, whatever comes.

use names::Index;

/// What a run of tokens is to the cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Take the tokens but for the first `skip`, which are there already.
    Fresh {
        /// Tokens at the front to leave out.
        skip: usize,
    },
    /// All of them are there already.
    Repeat,
    /// Tokens before them are missing.
    Hole,
}

/// The next index of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Cursor {
    next: Index,
}

impl Cursor {
    /// Judges `count` tokens from `index` on, without taking them.
    pub fn judge(&self, index: Index, count: usize) -> Verdict {
        if index > self.next {
            return Verdict::Hole;
        }
        let behind = self.next - index;
        if behind >= count as Index {
            return Verdict::Repeat;
        }
        Verdict::Fresh {
            skip: behind as usize,
        }
    }

    /// Takes `count` tokens.
    pub fn advance(&mut self, count: usize) {
        self.next += count as Index;
    }

    /// The index that comes next.
    pub fn next(&self) -> Index {
        self.next
    }
}
