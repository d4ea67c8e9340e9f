//! The caller's position in an answer, sent as the `id:` of a server-sent event.
//!
//! An index alone doesn't identify the text that it belongs to. Suppose that an entry moves an
//! answer to its second epoch at token 20, delivers up to 40 and dies, while the pointer still
//! names the first epoch: attaching there at 40 would mix two generations. So the id carries a
//! digest of all tokens before it, and an answer continues only over tokens with the same digest.

use std::{
    fmt,
    str::FromStr, //
};

use names::Index;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A number of tokens and the digest of their text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Number of tokens, equal to the index of the next one.
    pub next: Index,
    /// Chained digest of these tokens.
    pub digest: u64,
}

/// The text isn't a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "an event id must be the index of a token and the digest that came with it, `12-9f2c33aa01b2c3d4`"
)]
pub struct Malformed;

impl Position {
    /// Advances by one token.
    pub fn push(&mut self, token: &str) {
        self.digest = xxh3_64_with_seed(token.as_bytes(), self.digest);
        self.next += 1;
    }
}

/// Formats the id of the last token covered: its index, a dash, and the digest.
impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.next.saturating_sub(1), self.digest)
    }
}

impl FromStr for Position {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Position, Malformed> {
        let (index, digest) = text.trim().split_once('-').ok_or(Malformed)?;
        let index: Index = index.parse().map_err(|_| Malformed)?;
        Ok(Position {
            next: index.checked_add(1).ok_or(Malformed)?,
            digest: u64::from_str_radix(digest, 16).map_err(|_| Malformed)?,
        })
    }
}
