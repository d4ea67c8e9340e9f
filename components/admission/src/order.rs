//! Order of the requests that wait while capacity is scarce, and which of them are given up.
//!
//! [`Policy::Cost`] serves the requests of a rank in the order in which they would become late. When
//! not all of them can be on time, those whose refusal costs callers least for the engine time that
//! it frees are given up: a refusal costs a caller a part that is the same for all, a part in
//! proportion to the work that it asked for, and the time that it has waited.

use std::time::Duration;

use names::Clock;

use crate::Ticket;

/// Policy by which waiting requests of one rank are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Fair turns of the teams; the request that would be served last is given up.
    #[default]
    Fair,
    /// Least time to spare first, within a bound around the fair turns of the teams; what costs
    /// callers least for its engine time is given up.
    Cost,
}

/// Capacity for the requests below a priority, which is less than that for the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Lowest priority that the bound doesn't apply to.
    pub priority: u8,
    /// Runs that replicas can execute, counted like [`crate::Report::capacity`].
    pub capacity: u32,
    /// Factor by which room comes free more often for the requests at or above the priority, as few
    /// other processes have any.
    pub reach: f64,
}

/// Part of a refusal's cost that doesn't depend on the size of the request.
const FIXED_LOSS: f64 = 0.5;

/// Factor by which the cost of a refusal grows while a caller waits for the length of its own
/// maximum wait.
const WAITING_LOSS: f64 = 1.0;

/// Requests of at least this multiple of the mean work count as large.
const LARGE_SIZE: f64 = 1.3;

/// Share of large requests that are served, relative to that of all, below which none is given up
/// for its size.
const MIN_LARGE_SHARE: f64 = 0.75;

/// Weight of a new request in the mean work and in the shares that were given up.
const EWMA_WEIGHT: f64 = 0.02;

/// Work, in mean requests, by which a team's request may go ahead of its fair turn.
pub(crate) const AHEAD_REQUESTS: u64 = 4;

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) ticket: Ticket,
    pub(crate) level: u8,
    /// Time at which it has to start.
    pub(crate) due: Clock,
    pub(crate) cost: u64,
    /// Time since the caller's first attempt, and the longest that it could wait in all.
    pub(crate) waited: (Duration, Duration),
}

/// Sizes of recent requests, and how many of each class were given up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sizes {
    mean: f64,
    /// Shares of all, and of large requests, that were given up.
    given_up: (f64, f64),
}

impl Sizes {
    /// Returns the mean work of a request.
    pub(crate) fn mean(&self) -> f64 {
        self.mean.max(1.0)
    }

    /// Records an arrival.
    pub(crate) fn arrive(&mut self, cost: u64) {
        let cost = cost.max(1) as f64;
        if self.mean == 0.0 {
            self.mean = cost;
        }
        self.mean += EWMA_WEIGHT * (cost - self.mean);
    }

    /// Records whether a request was given up.
    pub(crate) fn decide(&mut self, cost: u64, given_up: bool) {
        let value = f64::from(u8::from(given_up));
        self.given_up.0 += EWMA_WEIGHT * (value - self.given_up.0);
        if self.is_large(cost) {
            self.given_up.1 += EWMA_WEIGHT * (value - self.given_up.1);
        }
    }

    fn is_large(&self, cost: u64) -> bool {
        self.size(cost) >= LARGE_SIZE
    }

    fn size(&self, cost: u64) -> f64 {
        cost.max(1) as f64 / self.mean()
    }

    /// Returns what a refusal costs the caller, for each unit of engine time that it frees.
    fn loss(&self, candidate: &Candidate) -> f64 {
        let (all, large) = self.given_up;
        let is_protected = 1.0 - large < MIN_LARGE_SHARE * (1.0 - all);
        let size = match is_protected && self.is_large(candidate.cost) {
            true => 1.0 / LARGE_SIZE,
            false => self
                .size(candidate.cost)
                .clamp(1.0 / LARGE_SIZE, LARGE_SIZE),
        };
        let (waited, limit) = candidate.waited;
        let waited = waited.as_secs_f64() / limit.as_secs_f64().max(f64::MIN_POSITIVE);
        let per_work = (FIXED_LOSS + (1.0 - FIXED_LOSS) * size) / size;
        per_work * (1.0 + WAITING_LOSS * waited.min(1.0))
    }

    /// Returns the waiting requests that are given up so that all others start when they are due, if
    /// requests of the mean size start at a `rate` per second that depends on their priority.
    pub(crate) fn give_up(
        &self,
        now: Clock,
        rate: impl Fn(u8) -> f64,
        mut waiting: Vec<Candidate>,
    ) -> Vec<Candidate> {
        waiting.sort_by_key(|candidate| {
            let rank = std::cmp::Reverse(candidate.level);
            (rank, candidate.due, candidate.ticket)
        });
        let mut given_up = Vec::new();
        // Requests that go ahead of the next one, and their work in mean requests.
        let mut ahead: Vec<Candidate> = Vec::new();
        let mut work = 0.0;
        for candidate in waiting {
            work += self.size(candidate.cost);
            ahead.push(candidate);
            let start =
                now + Duration::from_secs_f64((work / rate(candidate.level).max(0.001)).min(1e6));
            if start <= candidate.due {
                continue;
            }
            let same_level = ahead.iter().enumerate();
            let same_level = same_level.filter(|(_, other)| other.level == candidate.level);
            let least = same_level.min_by(|(_, one), (_, other)| {
                let losses = self.loss(one).total_cmp(&self.loss(other));
                losses.then(other.ticket.cmp(&one.ticket))
            });
            if let Some(index) = least.map(|(index, _)| index) {
                let least = ahead.remove(index);
                work -= self.size(least.cost);
                given_up.push(least);
            }
        }
        given_up
    }
}

/// Returns the requests that arrived lately, weighted by their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    count: f64,
    at: Clock,
}

/// Time in which the weight of an arrival falls by half.
const ARRIVAL_HALF_LIFE: Duration = Duration::from_secs(5);

impl Arrivals {
    /// Records an arrival.
    pub fn record(&mut self, now: Clock) {
        self.count = self.weighted(now) + 1.0;
        self.at = now;
    }

    /// Returns the recent arrivals per second.
    pub fn rate(&self, now: Clock) -> f64 {
        self.weighted(now) * std::f64::consts::LN_2 / ARRIVAL_HALF_LIFE.as_secs_f64()
    }

    fn weighted(&self, now: Clock) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / ARRIVAL_HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Time for which room is reserved for requests of urgent ranks, at the rate at which they arrive:
/// about the time in which runs end and free room again.
const RESERVED_TIME: Duration = Duration::from_secs(1);

/// Arrivals per second below which nothing is reserved.
const MIN_ARRIVAL_RATE: f64 = 0.01;

/// Returns whether room is reserved while urgent requests arrive at `rate`.
pub(crate) fn is_reserved(rate: f64) -> bool {
    rate >= MIN_ARRIVAL_RATE
}

/// Returns the room that is left to less urgent requests while urgent ones arrive at `rate`, over
/// all processes.
pub fn unreserved(room: u32, rate: f64) -> u32 {
    if !is_reserved(rate) {
        return room;
    }
    let reserved = (rate * RESERVED_TIME.as_secs_f64()).ceil() as u32;
    room.saturating_sub(reserved.max(1))
}
