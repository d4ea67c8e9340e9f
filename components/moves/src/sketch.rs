//! A bounded set of request hashes that counts each failed request once.
//!
//! A caller whose request fails retries it, and the retries stay on one version. Counted one by one
//! they would look like many failures of that version and revert a good version. The set keeps only
//! the smallest hashes, so it stays small and merges in any order.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

/// Maximum number of hashes; beyond it failures are counted without regard to retries.
pub const MAX_HASHES: usize = 24;

/// The smallest hashes of the failed requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sketch(BTreeSet<u32>);

impl Sketch {
    /// Adds a request and returns whether the set changed.
    pub fn add(&mut self, hash: u32) -> bool {
        let added = self.0.insert(hash);
        if self.0.len() > MAX_HASHES {
            return self.0.pop_last() != Some(hash);
        }
        added
    }

    /// Returns whether the set contains a request.
    pub fn contains(&self, hash: u32) -> bool {
        self.0.contains(&hash)
    }

    /// Iterates over the hashes.
    pub fn hashes(&self) -> impl Iterator<Item = u32> {
        self.0.iter().copied()
    }

    /// Merges another set.
    pub fn merge(&mut self, other: &Self) {
        for hash in &other.0 {
            self.add(*hash);
        }
    }

    /// Returns the number of distinct requests, given the number of counted failures.
    pub fn distinct(&self, counted: u32) -> u32 {
        if self.0.len() < MAX_HASHES {
            return self.0.len() as u32;
        }
        counted.max(MAX_HASHES as u32)
    }
}
