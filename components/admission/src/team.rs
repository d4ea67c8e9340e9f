//! One team.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use names::{
    Clock,
    Team, //
};
use rand::{
    Rng,
    RngExt, //
};

use crate::{
    Settings,
    Ticket,
    fair::length, //
};

/// Limits of a team at one entry. A limit for the whole system is divided among the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests that may be in flight at once; 0 is no limit.
    pub in_flight: u32,
    /// Requests a second; 0 is no limit.
    pub rate: u32,
    /// Weight of the fair share; 0 counts as 1.
    pub weight: u32,
    /// Priority: higher goes first.
    pub priority: u8,
}

impl Limit {
    /// A limit for the whole system, as one of so many entries has to keep it. It is rounded up,
    /// so that small limits don't become none: with more entries than the limit, a team can have
    /// as many requests as there are entries.
    pub fn divided(self, entries: u32) -> Limit {
        Limit {
            in_flight: self.in_flight.div_ceil(entries.max(1)),
            rate: self.rate.div_ceil(entries.max(1)),
            ..self
        }
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) cost: u64,
}

/// What is known of a team while it has work, or had some a moment ago.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) name: Team,
    pub(crate) limit: Limit,
    /// Priority level that its queue stands in.
    pub(crate) level: u8,
    pub(crate) queue: VecDeque<Waiting>,
    pub(crate) running: u32,
    /// Virtual time at which all its work so far is paid for.
    pub(crate) paid: u64,
    /// Requests that its rate still allows, and when that was worked out.
    bucket: (f64, Clock),
    /// Time that the next refused caller is told.
    next: Clock,
}

impl Member {
    pub(crate) fn new(now: Clock, name: Team, limit: Limit) -> Member {
        Member {
            name,
            limit,
            level: limit.priority,
            queue: VecDeque::new(),
            running: 0,
            paid: 0,
            bucket: (f64::from(limit.rate), now),
            next: now,
        }
    }

    /// Virtual time at which its last waiting request, and one more of that cost, is paid for.
    pub(crate) fn tail(&self, time: u64, cost: u64) -> u64 {
        let queued: u64 = self.queue.iter().map(|waiting| waiting.cost.max(1)).sum();
        let length = length(queued.saturating_add(cost), self.weight());
        self.paid.max(time).saturating_add(length)
    }

    pub(crate) fn weight(&self) -> u64 {
        u64::from(self.limit.weight.max(1))
    }

    pub(crate) fn full(&self) -> bool {
        let held = self.running as usize + self.queue.len();
        self.limit.in_flight > 0 && held >= self.limit.in_flight as usize
    }

    /// Takes a request out of the rate.
    pub(crate) fn take(&mut self, now: Clock) -> bool {
        if self.limit.rate == 0 {
            return true;
        }
        let rate = f64::from(self.limit.rate);
        let passed = now.saturating_sub(self.bucket.1).as_secs_f64();
        let left = (self.bucket.0 + passed * rate).min(rate);
        let enough = left >= 1.0;
        self.bucket = (if enough { left - 1.0 } else { left }, now);
        enough
    }

    /// Whether forgetting the team loses nothing: a new one would be treated the same.
    pub(crate) fn idle(&self, now: Clock, paid: u64) -> bool {
        let second = Duration::from_secs(1);
        let rested = now.saturating_sub(self.bucket.1) >= second;
        let expected = self.next > now;
        self.running == 0 && self.queue.is_empty() && self.paid <= paid && rested && !expected
    }

    /// When a refused caller shall come back. Each is told a later time than the one before, so
    /// that together they come back at a rate that can be served; all coming back together would
    /// be refused together again, for as long as they try.
    pub(crate) fn come_back(
        &mut self,
        now: Clock,
        rate: f64,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> Duration {
        let (least, most) = settings.retry_after;
        let gap = Duration::from_secs_f64((1.0 / rate.max(0.001)).min(most.as_secs_f64()));
        self.next = self.next.clamp(now + least, now + most);
        let jitter = gap.max(least).mul_f64(rng.random_range(0.0..1.0));
        let mut time = self.next - now + jitter;
        if time >= most {
            // Beyond the longest time all are told the same; so they are spread below it.
            time = most.mul_f64(rng.random_range(0.5..1.0));
        }
        self.next += gap;
        time
    }
}
