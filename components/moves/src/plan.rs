//! The ramp of a move: bounds of the share as a function of wall-clock time.
//!
//! The ramp is counted backwards from the time that the operator asked for. Its upper bound holds
//! small shares long, so that faults that take minutes to show meet little traffic. Its lower bound
//! is followed when there is too little evidence to grow on, so that the time is still met.

use std::time::{
    Duration,
    SystemTime, //
};

use environment::document::Plan;

use crate::share::Level;

/// Shortest time that a ramp takes, also when the operator asks for less.
///
/// A document with a time in the past would otherwise switch all traffic within a second, before
/// any evidence of a fault can arrive.
const MIN_SPAN: Duration = Duration::from_secs(60);

/// Longest time that is kept free before the operator's time.
const MAX_MARGIN: Duration = Duration::from_secs(300);

/// Number of slots into which a move's time is cut, see [`Ramp::slot`].
pub const SLOTS: u32 = 40;

/// Parts of the ramp, in thousandths, at which the upper bound reaches each level.
const UPPER_BOUND_PERMILLE: [u64; Level::COUNT] = [0, 0, 50, 100, 250, 400, 550, 650, 800, 900];

/// Parts of the ramp, in thousandths, at which the lower bound reaches each level.
const LOWER_BOUND_PERMILLE: [u64; Level::COUNT] = [0, 0, 150, 250, 350, 450, 600, 750, 900, 1000];

/// Bounds of a move's share over time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ramp {
    began: SystemTime,
    full: SystemTime,
    slot: Duration,
}

impl Ramp {
    /// Lays the ramp from `began`, the time when the move began, to shortly before `plan.by`.
    pub fn new(plan: &Plan, began: SystemTime) -> Self {
        let began = plan.start.unwrap_or(began);
        let requested = plan.by.duration_since(began).unwrap_or_default();
        let margin = (requested / 20).min(MAX_MARGIN);
        let span = (requested - margin).max(MIN_SPAN);
        Self {
            began,
            full: began + span,
            slot: ((span + plan.watch) / SLOTS).max(Duration::from_secs(1)),
        }
    }

    /// Time when the ramp begins.
    pub fn began(&self) -> SystemTime {
        self.began
    }

    /// Time when the lower bound reaches the full share.
    pub fn full(&self) -> SystemTime {
        self.full
    }

    /// Length of the ramp.
    pub fn span(&self) -> Duration {
        self.full.duration_since(self.began).unwrap_or(MIN_SPAN)
    }

    /// Upper bound of the share.
    pub fn upper_bound(&self, wall: SystemTime) -> Level {
        self.level(wall, &UPPER_BOUND_PERMILLE)
    }

    /// Lower bound of the share while nothing speaks against the new version.
    pub fn lower_bound(&self, wall: SystemTime) -> Level {
        self.level(wall, &LOWER_BOUND_PERMILLE)
    }

    /// Number of the slot of time that `wall` falls into.
    ///
    /// Evidence is kept by slot, so that a fault which begins late isn't hidden by the good time
    /// before it. Hosts whose clocks differ label the same moment with neighbouring slots, which
    /// blurs the onset of a fault but changes no count.
    pub fn slot(&self, wall: SystemTime) -> u16 {
        let elapsed = wall.duration_since(self.began).unwrap_or_default();
        let slot = elapsed.as_millis() / self.slot.as_millis();
        u16::try_from(slot.min(u128::from(SLOTS) - 1)).expect("a slot is below SLOTS")
    }

    fn level(&self, wall: SystemTime, parts: &[u64; Level::COUNT]) -> Level {
        let Ok(elapsed) = wall.duration_since(self.began) else {
            return Level::ZERO;
        };
        let part = elapsed.as_secs_f64() / self.span().as_secs_f64() * 1000.0;
        Level::all()
            .filter(|level| parts[level.index()] as f64 <= part)
            .last()
            .unwrap_or(Level::ZERO)
    }
}
