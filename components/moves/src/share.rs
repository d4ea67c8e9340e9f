//! Shares of traffic: a short list of levels, and the pick of a version by a request's hash.
//!
//! Shares take only these values, so evidence can be counted by the share under which it arose. The
//! comparison of two versions needs exactly that share.

use serde::{
    Deserialize,
    Serialize, //
};

/// Shares of the levels, per mille.
const LEVELS_PERMILLE: [u32; 10] = [0, 10, 20, 50, 100, 200, 350, 500, 750, 1000];

/// The new version's share of the traffic, as one of the fixed levels.
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
    /// No traffic on the new version.
    pub const ZERO: Self = Self(0);

    /// All traffic on the new version.
    pub const FULL: Self = Self(LEVELS_PERMILLE.len() as u8 - 1);

    /// Number of levels.
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

    /// Returns the position among all levels, from 0.
    pub fn index(self) -> usize {
        usize::from(self.0).min(LEVELS_PERMILLE.len() - 1)
    }

    /// Returns the share per mille.
    pub fn permille(self) -> u32 {
        LEVELS_PERMILLE[self.index()]
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.permille()) / 1000.0
    }

    /// Returns the next higher level; the highest returns itself.
    pub fn next(self) -> Self {
        Self((self.0 + 1).min(Self::FULL.0))
    }
}

/// Picks the version for a request.
///
/// A hash maps to the same version as long as the share is unchanged, so a retry reaches the
/// version of the first attempt; as the share grows, requests move only from the old version to the
/// new one. The hash must depend on the move, or the same requests would move first in every move.
pub fn pick(hash: u64, share: Level) -> Side {
    let point = (u128::from(hash) * 1000) >> 64;
    if point < u128::from(share.permille()) {
        Side::New
    } else {
        Side::Old
    }
}
