//! Ranks the entries that may write a move's record.
//!
//! Rendezvous hashing needs no agreement: entries with the same list compute the same order, and an
//! entry that joins or leaves shifts the others by at most one rank. Entries whose lists differ may
//! compute the same rank; then both write, and the store's compare-and-swap lets one win.

use names::{
    Host,
    Move, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Highest rank, shared by all entries from there on.
///
/// A list may name many entries that are gone or that serve another environment. Each rank waits 5
/// s longer than the one before, so without a bound an outcome could stay unwritten for minutes.
pub const MAX_RANK: u32 = 11;

/// Returns the rank of an entry among the writers of a move's record, 0 first.
///
/// `others` are the other known entries; the entry's own name among them has no effect.
pub fn rank<'a>(own: &Host, others: impl IntoIterator<Item = &'a Host>, name: &Move) -> u32 {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    let weight = |host: &Host| xxh3_64_with_seed(host.as_bytes(), seed);
    let own_weight = (weight(own), own);
    let ahead = others
        .into_iter()
        .filter(|host| (weight(host), *host) < own_weight);
    let ahead = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
    ahead.min(MAX_RANK)
}
