//! Shares of traffic: a short ladder of levels, and the pick of a version by a request's hash.
//!
//! Shares take only the values of the ladder, so that evidence can be counted by the share under
//! which it arose. The comparison of two versions needs exactly that share.

use serde::{
    Deserialize,
    Serialize, //
};

/// Shares of the ladder in thousandths.
const LEVELS_PERMILLE: [u32; 10] = [0, 10, 20, 50, 100, 200, 350, 500, 750, 1000];

/// A rung of the ladder: the new version's share of the traffic.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Level(u8);

/// One of the two versions of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The version that the traffic leaves.
    Old,
    /// The version that the traffic goes to.
    New,
}

impl Level {
    /// No traffic for the new version.
    pub const ZERO: Self = Self(0);

    /// All traffic for the new version.
    pub const FULL: Self = Self(LEVELS_PERMILLE.len() as u8 - 1);

    /// Number of rungs.
    pub const COUNT: usize = LEVELS_PERMILLE.len();

    /// Returns every level from [`Level::ZERO`] to [`Level::FULL`].
    pub fn all() -> impl Iterator<Item = Self> {
        (0..LEVELS_PERMILLE.len() as u8).map(Self)
    }

    /// Returns the highest level whose share is at most `permille`.
    pub fn at_most(permille: u32) -> Self {
        let above = LEVELS_PERMILLE.iter().position(|share| *share > permille);
        Self(above.unwrap_or(LEVELS_PERMILLE.len()).max(1) as u8 - 1)
    }

    /// Position on the ladder.
    pub fn index(self) -> usize {
        usize::from(self.0).min(LEVELS_PERMILLE.len() - 1)
    }

    /// Share in thousandths.
    pub fn permille(self) -> u32 {
        LEVELS_PERMILLE[self.index()]
    }

    /// Share between 0 and 1.
    pub fn share(self) -> f64 {
        f64::from(self.permille()) / 1000.0
    }

    /// Returns the next level up; the highest stays.
    pub fn next(self) -> Self {
        Self((self.0 + 1).min(Self::FULL.0))
    }
}

/// Picks the version for a request.
///
/// The same hash gives the same version while the share stands, so that a retry lands where the
/// first attempt did; as the share grows, requests go from the old version to the new one only.
/// The hash must depend on the move, or the same requests would go first in every move.
pub fn pick(hash: u64, share: Level) -> Side {
    let point = (u128::from(hash) * 1000) >> 64;
    if point < u128::from(share.permille()) {
        Side::New
    } else {
        Side::Old
    }
}
