//! The ramp of a move: bounds of the share as a function of wall-clock time.
//!
//! The ramp is computed backwards from the operator's deadline. Its upper bound keeps shares small
//! for long, which limits the traffic that faults take when they need minutes to show. Its lower
//! bound applies when there is too little evidence to grow on, so the deadline is still met.

use std::time::{
    Duration,
    SystemTime, //
};

use environment::document::Plan;

use crate::share::Level;

/// Minimum length of a ramp, even if the operator asks for less.
///
/// A document with a deadline in the past would otherwise switch all traffic within a second,
/// before any evidence of a fault can arrive.
const MIN_RAMP_SPAN: Duration = Duration::from_secs(60);

/// Maximum time reserved between the end of the ramp and the deadline.
const MAX_DEADLINE_MARGIN: Duration = Duration::from_secs(300);

/// Number of time slots of a move, see [`Ramp::slot`].
pub const SLOTS_PER_MOVE: u32 = 40;

/// Points of the ramp, per mille of its length, at which the upper bound reaches each level.
const UPPER_BOUND_PERMILLE: [u64; Level::COUNT] = [0, 0, 50, 100, 250, 400, 550, 650, 800, 900];

/// Points of the ramp, per mille of its length, at which the lower bound reaches each level.
const LOWER_BOUND_PERMILLE: [u64; Level::COUNT] = [0, 0, 150, 250, 350, 450, 600, 750, 900, 1000];

/// Bounds of a move's share over time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ramp {
    began: SystemTime,
    full: SystemTime,
    slot: Duration,
}

impl Ramp {
    /// Creates the ramp from `began`, the start of the move, to shortly before `plan.by`.
    pub fn new(plan: &Plan, began: SystemTime) -> Self {
        let began = plan.start.unwrap_or(began);
        let requested = plan.by.duration_since(began).unwrap_or_default();
        let margin = (requested / 20).min(MAX_DEADLINE_MARGIN);
        let span = (requested - margin).max(MIN_RAMP_SPAN);
        Self {
            began,
            full: began + span,
            slot: ((span + plan.watch) / SLOTS_PER_MOVE).max(Duration::from_secs(1)),
        }
    }

    /// Returns the time when the ramp begins.
    pub fn began(&self) -> SystemTime {
        self.began
    }

    /// Returns the time when the lower bound reaches the full share.
    pub fn full(&self) -> SystemTime {
        self.full
    }

    /// Returns the length of the ramp.
    pub fn span(&self) -> Duration {
        self.full
            .duration_since(self.began)
            .unwrap_or(MIN_RAMP_SPAN)
    }

    /// Returns the upper bound of the share at a time.
    pub fn upper_bound(&self, wall: SystemTime) -> Level {
        self.level(wall, &UPPER_BOUND_PERMILLE)
    }

    /// Returns the lower bound of the share at a time, which holds while no evidence speaks against
    /// the new version.
    pub fn lower_bound(&self, wall: SystemTime) -> Level {
        self.level(wall, &LOWER_BOUND_PERMILLE)
    }

    /// Returns the index of the time slot that contains `wall`.
    ///
    /// Evidence is kept by slot, so a fault that begins late isn't masked by the good time before
    /// it. Hosts whose clocks differ label the same moment with adjacent slots, which blurs the
    /// onset of a fault but changes no count.
    pub fn slot(&self, wall: SystemTime) -> u16 {
        let elapsed = wall.duration_since(self.began).unwrap_or_default();
        let slot = elapsed.as_millis() / self.slot.as_millis();
        u16::try_from(slot.min(u128::from(SLOTS_PER_MOVE) - 1))
            .expect("a slot is below SLOTS_PER_MOVE")
    }

    fn level(&self, wall: SystemTime, points: &[u64; Level::COUNT]) -> Level {
        let Ok(elapsed) = wall.duration_since(self.began) else {
            return Level::ZERO;
        };
        let point = elapsed.as_secs_f64() / self.span().as_secs_f64() * 1000.0;
        Level::all()
            .filter(|level| points[level.index()] as f64 <= point)
            .last()
            .unwrap_or(Level::ZERO)
    }
}
