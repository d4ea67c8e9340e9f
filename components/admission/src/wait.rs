//! How long a stream may wait for an engine, and behind whom.
//!
//! The load that it answers: several times more callers than the engines can serve. Whoever can
//! still have its first event in time goes before all of its rank who can't; whoever can't waits for
//! a small part of its time only, as it may be served when the rush is over, and hears at once that
//! it can't otherwise. A caller that hears so early can still go elsewhere.

use std::time::Duration;

use crate::Limit;

/// Part of the objective that an engine may need for the first event; the rest can be spent
/// waiting. An engine reads one prompt after the other, and a second one that waits there keeps it
/// at work.
const ENGINE: f64 = 0.5;

/// Part of the time that is left that a request waits at most, when it is late already. With 0.5
/// callers were held for seconds and refused then; with none, twice as many were refused in a rush
/// of three times the capacity.
const LATE: f64 = 0.15;

/// What is known of a request that wants an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Constraints {
    /// Rank of its route, 0 first.
    pub rank: u8,
    /// Time for the first event.
    pub objective: Duration,
    /// Longest time that its route gives to the whole answer.
    pub timeout: Option<Duration>,
    /// Time that the caller gives from now on, where it says.
    pub deadline: Option<Duration>,
    /// Time that the whole answer takes, where that is known.
    pub expected: Option<Duration>,
}

/// How a request may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    /// Whether its first event can still be in time.
    pub in_time: bool,
    /// Its place among others.
    pub limit: Limit,
    /// Longest wait.
    pub max_wait: Duration,
}

/// Time that an engine may need for the first event.
pub fn engine_time(objective: Duration) -> Duration {
    objective.mul_f64(ENGINE)
}

/// Room that is left for a request which is late already, behind those that wait at other entries and
/// can still be in time. In a large fleet some wait nearly always, also while most engines are idle.
pub fn room_behind(room: u32, hurried: u32) -> u32 {
    room.saturating_sub(hurried)
}

/// What one of several entries may take of the engines' room now. Each of them sees the same room
/// for as long as it takes to hear of the others' sends, and together they would fill it several
/// times over. A part of a place is taken with its probability, as otherwise nobody would take the
/// last places; `draw` is a random number from 0 to 1.
pub fn share(room: u32, entries: u32, draw: f64) -> u32 {
    let part = f64::from(room) / f64::from(entries.max(1));
    part.floor() as u32 + u32::from(draw < part.fract())
}

impl Constraints {
    /// The ways to wait, one after the other: to be in time, if that is possible; then to be late.
    pub fn waits(&self) -> impl Iterator<Item = Wait> {
        self.in_time().into_iter().chain([self.late()])
    }

    fn in_time(&self) -> Option<Wait> {
        // A caller that has asked before has less time than its route gives.
        let spent = match (self.timeout, self.deadline) {
            (Some(timeout), Some(left)) => timeout.saturating_sub(left),
            _ => Duration::ZERO,
        };
        let patience = self
            .objective
            .checked_sub(spent + engine_time(self.objective))?;
        Some(Wait {
            in_time: true,
            limit: self.limit(true),
            max_wait: patience,
        })
    }

    fn late(&self) -> Wait {
        let left = match (self.timeout, self.deadline) {
            (Some(timeout), Some(left)) => timeout.min(left),
            (Some(left), None) | (None, Some(left)) => left,
            (None, None) => self.objective,
        };
        let part = left.mul_f64(LATE);
        let spare = self
            .expected
            .map_or(part, |usual| left.saturating_sub(usual));
        Wait {
            in_time: false,
            limit: self.limit(false),
            max_wait: spare.min(part),
        }
    }

    fn limit(&self, in_time: bool) -> Limit {
        let rank = self.rank.min(u8::MAX / 2);
        Limit {
            in_flight: 0,
            rate: 0,
            weight: 1,
            priority: (u8::MAX / 2 - rank) * 2 + u8::from(in_time),
        }
    }
}
