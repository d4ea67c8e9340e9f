//! How long a stream may wait for an engine, and with which priority.
//!
//! Under several times more load than the engines can serve, streams whose first event can still be
//! on time go before all late ones of their rank. Late streams wait for a small part of their
//! remaining time only, as the overload may end meanwhile, and are refused early otherwise. A
//! caller that is refused early can still go elsewhere.

use std::time::Duration;

use crate::Limit;

/// Share of the objective reserved for the engine to produce the first event; the rest can be spent
/// waiting. An engine processes one prompt at a time, and a second one that is queued there keeps
/// it busy.
const ENGINE_TIME_SHARE: f64 = 0.5;

/// Share of the remaining time that a late request waits at most. With 0.5, callers were held for
/// seconds and then refused; with 0, twice as many were refused under three times the capacity.
const MAX_LATE_WAIT_SHARE: f64 = 0.15;

/// Priority and time limits of a request that needs an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Constraints {
    /// Rank of its route; 0 goes first.
    pub rank: u8,
    /// Objective for the time to the first event.
    pub objective: Duration,
    /// Time limit of the route for the whole answer.
    pub timeout: Option<Duration>,
    /// Time from now until the caller's deadline, if it set one.
    pub deadline: Option<Duration>,
    /// Expected time of the whole answer, if known.
    pub expected: Option<Duration>,
    /// Time reserved for the engine to produce the first event.
    pub engine_time: Duration,
}

/// How a request may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    /// Whether its first event can still be on time.
    pub in_time: bool,
    /// Limit with the priority of the request.
    pub limit: Limit,
    /// Maximum wait.
    pub max_wait: Duration,
}

/// Returns the time reserved for the engine to produce the first event.
pub fn engine_time(objective: Duration) -> Duration {
    objective.mul_f64(ENGINE_TIME_SHARE)
}

/// Returns the room for late requests, which go behind the requests on time that wait at other
/// processes. In a large fleet some of those wait nearly always, even while most engines are idle.
pub fn room_behind(room: u32, on_time_elsewhere: u32) -> u32 {
    room.saturating_sub(on_time_elsewhere)
}

/// Returns the share of the engines' room that one of several processes may take now. Each process
/// sees the same room until it learns what the others sent, and together they would fill it several
/// times over. A fractional slot is taken with its probability, as otherwise no process would take
/// the last slots; `draw` is a random number from 0 to 1.
pub fn share(room: u32, processes: u32, draw: f64) -> u32 {
    let share = f64::from(room) / f64::from(processes.max(1));
    share.floor() as u32 + u32::from(draw < share.fract())
}

/// Returns the lowest priority at a gate of the requests of a rank.
pub fn lowest_priority(rank: u8) -> u8 {
    (u8::MAX / 2 - rank.min(u8::MAX / 2)) * 2
}

/// Returns the lowest priority at a gate of the rank that a priority belongs to.
pub fn lowest_priority_of(priority: u8) -> u8 {
    priority - priority % 2
}

/// Returns whether requests of a priority at a gate can still be on time.
pub fn is_in_time(priority: u8) -> bool {
    priority % 2 == 1
}

impl Constraints {
    /// Returns the ways to wait, in order: on time, if possible, then late.
    pub fn waits(&self) -> impl Iterator<Item = Wait> {
        self.in_time().into_iter().chain([self.late()])
    }

    /// Returns the time since the caller's first attempt: a caller that retries has less time than
    /// its route allows.
    pub fn spent(&self) -> Duration {
        match (self.timeout, self.deadline) {
            (Some(timeout), Some(remaining)) => timeout.saturating_sub(remaining),
            _ => Duration::ZERO,
        }
    }

    fn in_time(&self) -> Option<Wait> {
        let max_wait = self
            .objective
            .checked_sub(self.spent() + self.engine_time)?;
        Some(Wait {
            in_time: true,
            limit: self.limit(true),
            max_wait,
        })
    }

    fn late(&self) -> Wait {
        let remaining = match (self.timeout, self.deadline) {
            (Some(timeout), Some(remaining)) => timeout.min(remaining),
            (Some(remaining), None) | (None, Some(remaining)) => remaining,
            (None, None) => self.objective,
        };
        let max_late_wait = remaining.mul_f64(MAX_LATE_WAIT_SHARE);
        let spare = self
            .expected
            .map_or(max_late_wait, |expected| remaining.saturating_sub(expected));
        Wait {
            in_time: false,
            limit: self.limit(false),
            max_wait: spare.min(max_late_wait),
        }
    }

    fn limit(&self, in_time: bool) -> Limit {
        Limit {
            in_flight: 0,
            rate: 0,
            weight: 1,
            priority: lowest_priority(self.rank) + u8::from(in_time),
        }
    }
}
