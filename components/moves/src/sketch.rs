//! A small set of request hashes that counts each failing request once.
//!
//! A caller whose request fails sends it again, and the retries stay on one version. Counted one by
//! one they would look like many failures of that version and take a good version back. The set
//! keeps the smallest hashes only, so that it stays small and merges in any order.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

/// Most hashes that are kept; from here on failures are counted without regard to retries.
pub const CAPACITY: usize = 24;

/// The smallest hashes of the requests that failed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sketch(BTreeSet<u32>);

impl Sketch {
    /// Adds a request; tells whether the set changed.
    pub fn add(&mut self, hash: u32) -> bool {
        let added = self.0.insert(hash);
        if self.0.len() > CAPACITY {
            return self.0.pop_last() != Some(hash);
        }
        added
    }

    /// Tells whether the set holds a request.
    pub fn contains(&self, hash: u32) -> bool {
        self.0.contains(&hash)
    }

    /// The hashes that are kept.
    pub fn hashes(&self) -> impl Iterator<Item = u32> {
        self.0.iter().copied()
    }

    /// Takes in another set.
    pub fn merge(&mut self, other: &Self) {
        for hash in &other.0 {
            self.add(*hash);
        }
    }

    /// Number of distinct requests, given how often a failure was counted.
    pub fn distinct(&self, counted: u32) -> u32 {
        if self.0.len() < CAPACITY {
            return self.0.len() as u32;
        }
        counted.max(CAPACITY as u32)
    }
}
