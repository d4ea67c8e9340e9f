//! State of a team's requests of one priority: limits, queue and fair share.

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
    fair::virtual_duration,
    order::Policy, //
};

/// Limits of a team in one process. A limit for the whole system is divided among the processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Maximum number of requests in flight; 0 means no limit.
    pub in_flight: u32,
    /// Requests per second; 0 means no limit.
    pub rate: u32,
    /// Weight of the fair share; 0 counts as 1.
    pub weight: u32,
    /// Priority; higher values go first.
    pub priority: u8,
}

impl Limit {
    /// Returns the part of a system-wide limit that each process enforces if it is divided among
    /// `processes`. It is rounded up, so that small limits don't become 0, which means no limit:
    /// with more processes than the limit, a team can have as many requests as there are processes.
    pub fn divided(self, processes: u32) -> Limit {
        Limit {
            in_flight: self.in_flight.div_ceil(processes.max(1)),
            rate: self.rate.div_ceil(processes.max(1)),
            ..self
        }
    }
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) cost: u64,
    /// Time at which it has to start.
    pub(crate) due: Clock,
}

/// State of a team's requests of one priority, kept while there are any and for a short time after.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) name: Team,
    pub(crate) limit: Limit,
    /// Priority of the queue.
    pub(crate) level: u8,
    pub(crate) queue: VecDeque<Waiting>,
    pub(crate) running: u32,
    /// Virtual time at which all its admitted work finishes.
    pub(crate) finish_tag: u64,
    /// Tokens of the rate limiter, and the time of their last update.
    rate_tokens: (f64, Clock),
    /// Time at which the next refused caller shall retry, before jitter.
    next_retry_at: Clock,
}

impl State {
    pub(crate) fn new(now: Clock, name: Team, limit: Limit) -> State {
        State {
            name,
            limit,
            level: limit.priority,
            queue: VecDeque::new(),
            running: 0,
            finish_tag: 0,
            rate_tokens: (f64::from(limit.rate), now),
            next_retry_at: now,
        }
    }

    /// Returns the virtual time at which the last queued request, and then one more of the given
    /// cost, finishes.
    pub(crate) fn finish_time(&self, time: u64, cost: u64) -> u64 {
        let queued: u64 = self.queue.iter().map(|waiting| waiting.cost.max(1)).sum();
        let duration = virtual_duration(queued.saturating_add(cost), self.weight());
        self.finish_tag.max(time).saturating_add(duration)
    }

    /// Removes and returns the next request: the oldest, or by [`Policy::Cost`] the one that is due
    /// first.
    pub(crate) fn pop(&mut self, policy: Policy) -> Option<Waiting> {
        match policy {
            Policy::Fair => self.queue.pop_front(),
            Policy::Cost => {
                let indexed = self.queue.iter().enumerate();
                let first = indexed.min_by_key(|(_, waiting)| (waiting.due, waiting.ticket));
                let index = first.map(|(index, _)| index)?;
                self.queue.remove(index)
            }
        }
    }

    /// Returns the time at which the first of the queued requests has to start.
    pub(crate) fn due(&self) -> Clock {
        let due = self.queue.iter().map(|waiting| waiting.due);
        due.min().unwrap_or(Clock::MAX)
    }

    pub(crate) fn weight(&self) -> u64 {
        u64::from(self.limit.weight.max(1))
    }

    pub(crate) fn is_full(&self) -> bool {
        let in_flight = self.running as usize + self.queue.len();
        self.limit.in_flight > 0 && in_flight >= self.limit.in_flight as usize
    }

    /// Takes a token out of the rate limiter. Returns `false` if none is available.
    pub(crate) fn take_rate_token(&mut self, now: Clock) -> bool {
        if self.limit.rate == 0 {
            return true;
        }
        let rate = f64::from(self.limit.rate);
        let elapsed = now.saturating_sub(self.rate_tokens.1).as_secs_f64();
        let tokens = (self.rate_tokens.0 + elapsed * rate).min(rate);
        let is_allowed = tokens >= 1.0;
        self.rate_tokens = (if is_allowed { tokens - 1.0 } else { tokens }, now);
        is_allowed
    }

    /// Returns whether the state can be dropped without loss: a new one would be treated the same.
    /// `virtual_time` is that of its priority.
    pub(crate) fn is_idle(&self, now: Clock, virtual_time: u64) -> bool {
        let second = Duration::from_secs(1);
        let has_full_rate = now.saturating_sub(self.rate_tokens.1) >= second;
        let has_pending_retries = self.next_retry_at > now;
        self.running == 0
            && self.queue.is_empty()
            && self.finish_tag <= virtual_time
            && has_full_rate
            && !has_pending_retries
    }

    /// Returns the delay after which a refused caller shall retry. Each caller gets a later time
    /// than the one before, so that together they return at a rate that can be served; if all
    /// returned together, they would be refused together again for as long as they retry.
    pub(crate) fn retry_after(
        &mut self,
        now: Clock,
        rate: f64,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> Duration {
        let (min, max) = settings.retry_after_bounds;
        let interval = Duration::from_secs_f64((1.0 / rate.max(0.001)).min(max.as_secs_f64()));
        self.next_retry_at = self.next_retry_at.clamp(now + min, now + max);
        let jitter = interval.max(min).mul_f64(rng.random_range(0.0..1.0));
        let mut delay = self.next_retry_at - now + jitter;
        if delay >= max {
            // Above the maximum all callers would get the same delay, so the delays are spread
            // below it.
            delay = max.mul_f64(rng.random_range(0.5..1.0));
        }
        self.next_retry_at += interval;
        delay
    }
}
