//! Order of a gate by what a delay or a refusal costs callers.

use std::time::Duration;

use names::Clock;
use rand::{
    Rng,
    RngExt, //
};

use super::{
    Gate,
    Queued, //
};
use crate::{
    Arrival,
    Reason,
    Released,
    Verdict,
    fair::virtual_duration,
    order::{
        self,
        Candidate,
        Policy, //
    },
    wait, //
};

/// Largest number of urgent requests in progress, as a share of the others, up to which one is sent
/// without room for it.
const MAX_PREEMPTING_SHARE: f64 = 0.5;

/// Share of its maximum wait after which an urgent request is sent without room.
const PREEMPTION_WAIT_SHARE: f64 = 0.25;

impl Gate {
    /// Returns the limit of the requests of a priority.
    pub(super) fn limit_for(&self, priority: u8) -> f64 {
        let limit = self.concurrency.limit();
        match &self.bound {
            // A process that runs nothing admits one request, like with the limit itself.
            Some(bound) if priority < bound.priority => {
                limit.min(f64::from(bound.capacity).max(1.0))
            }
            _ => limit,
        }
    }

    /// Returns whether the next request of a level is sent although no replica has room: it goes
    /// before the others by its rank, a part of its maximum wait is over, and replicas begin it before
    /// less urgent requests, or in the place of one. The number of such requests is bounded, as they
    /// delay each other.
    pub(super) fn may_preempt(&self, now: Clock, level: u8) -> bool {
        let Some(bound) = self.bound.filter(|bound| level >= bound.priority) else {
            return false;
        };
        let running = self.teams.running(bound.priority);
        let others = self.running.saturating_sub(running);
        let max = (f64::from(others) * MAX_PREEMPTING_SHARE).ceil() as u32;
        let is_urgent = |queued: &Queued| {
            let max_wait = queued.deadline.saturating_sub(queued.queued_at);
            let sent_at = queued.queued_at + max_wait.mul_f64(PREEMPTION_WAIT_SHARE);
            let own = queued.team.map(|team| self.teams[team].level);
            own == Some(level) && sent_at <= now
        };
        running < max && self.waiting.values().any(is_urgent)
    }

    /// Returns the delay after which a refused caller of a level shall retry, in the order of
    /// refusals of its rank over all teams: room comes free for one after the other, and if each
    /// team's callers were told the next free place, all teams would return to the same one.
    pub(super) fn retry_by_rank(&mut self, now: Clock, level: u8, rng: &mut impl Rng) -> Duration {
        let rate = self.concurrency.rate() * self.settings.retry_share;
        let (min, max) = self.settings.retry_after_bounds;
        let interval = Duration::from_secs_f64((1.0 / rate.max(0.001)).min(max.as_secs_f64()));
        let rank = wait::lowest_priority_of(level);
        let next = self.next_retries.entry(rank).or_insert(now);
        *next = (*next).clamp(now + min, now + max);
        let delay = *next - now + interval.mul_f64(rng.random_range(0.0..1.0));
        // A request that can no longer be on time may still wait as a late one.
        if !wait::is_in_time(level) {
            *next += interval;
        }
        match delay >= max {
            true => max.mul_f64(rng.random_range(0.5..1.0)),
            false => delay,
        }
    }

    /// Returns the requests per second that start, if all were of a priority. Urgent ones don't
    /// depend on the room that comes free while more others run, as they take their places.
    fn rate_for(&self, priority: u8) -> f64 {
        let rate = self.concurrency.rate();
        match &self.bound {
            Some(bound) if priority >= bound.priority => {
                let urgent = self.teams.running(bound.priority);
                match urgent < self.running.saturating_sub(urgent) {
                    true => f64::INFINITY,
                    false => rate * bound.reach,
                }
            }
            _ => rate,
        }
    }

    /// Removes and returns the next team and the virtual time of its turn.
    pub(super) fn pop_team(&mut self) -> Option<(u64, usize)> {
        let teams = &self.teams;
        let weight = |team: usize| teams[team].weight();
        match self.policy {
            Policy::Fair => self.queue.pop(weight),
            Policy::Cost => {
                let mean = self.sizes.mean() as u64;
                let ahead = virtual_duration(order::AHEAD_REQUESTS * mean, 1);
                self.queue.pop_due(ahead, |team| teams[team].due(), weight)
            }
        }
    }

    /// Queues a request, and gives up those that cost callers least if not all can be on time.
    pub(super) fn arrive_by_cost(
        &mut self,
        now: Clock,
        team: usize,
        arrival: &Arrival,
        rng: &mut impl Rng,
    ) -> Verdict {
        if self.waiting.len() >= self.settings.max_waiting {
            return self.refuse(now, team, Reason::Full, rng);
        }
        let own = self.enqueue(now, team, arrival);
        let queued = self.waiting.iter();
        let candidates = queued.filter_map(|(ticket, queued)| {
            let waited = queued.waited + now.saturating_sub(queued.queued_at);
            Some(Candidate {
                ticket: *ticket,
                level: self.teams[queued.team?].level,
                due: queued.deadline,
                cost: queued.cost,
                waited: (waited, waited + queued.deadline.saturating_sub(now)),
            })
        });
        let candidates = candidates.collect();
        let given_up = self
            .sizes
            .give_up(now, |level| self.rate_for(level), candidates);
        let mut verdict = Verdict::Queue(own);
        for candidate in given_up {
            let Some(queued) = self.take_queued(candidate.ticket) else {
                continue;
            };
            self.dequeue(candidate.ticket, queued);
            self.sizes.decide(queued.cost, true);
            let retry_after = self.retry_after(now, queued.owner, rng);
            if candidate.ticket == own {
                verdict = Verdict::Refuse {
                    reason: Reason::Full,
                    retry_after,
                };
                continue;
            }
            self.displaced.push(Released::Refuse {
                ticket: candidate.ticket,
                reason: Reason::Full,
                retry_after,
            });
        }
        verdict
    }
}
