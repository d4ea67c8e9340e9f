//! Who writes a move's record first.
//!
//! Rendezvous hashing needs no agreement: entries that know the same entries order themselves alike,
//! and one that comes or goes moves the others by one place at most. Entries whose lists differ may
//! share a place; then both write, and the store's compare-and-swap lets one win.

use names::{
    Host,
    Move, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Last place. The entries behind it share it.
///
/// A list may name many entries that are gone or that serve another environment. Each place waits
/// 5 s longer than the one before, so without a bound an outcome could stay unwritten for minutes.
pub const MAX_RANK: u32 = 11;

/// Place of an entry in the order of who writes the record of a move, 0 first.
///
/// `others` are the other entries that it knows; its own name among them counts once.
pub fn rank<'a>(own: &Host, others: impl IntoIterator<Item = &'a Host>, name: &Move) -> u32 {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    let weight = |host: &Host| xxh3_64_with_seed(host.as_bytes(), seed);
    let mine = (weight(own), own);
    let ahead = others
        .into_iter()
        .filter(|host| (weight(host), *host) < mine);
    let ahead = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
    ahead.min(MAX_RANK)
}
