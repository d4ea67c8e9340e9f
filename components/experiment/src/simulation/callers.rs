//! Callers and their requests.

use std::cmp::Reverse;

use admission::{
    Done,
    scarcity::Standing,
    wait::{
        self,
        Constraints, //
    },
};
use names::Clock;
use rand::RngExt;
use routing::Outcome;

use super::{
    Assignment,
    Simulation,
    TICK,
    team_name, //
};
use crate::{
    Pattern,
    engine::Id, //
};

/// Number of immediate retries of an impatient caller.
const IMPATIENT_RETRIES: u32 = 4;

/// Share of a prompt that is common to all prompts of a [`Pattern::OneKey`] burst.
const ONE_KEY_PREFIX_SHARE: f64 = 0.8;

/// A caller's request.
pub(super) struct Request {
    /// Index in [`crate::Setup::kinds`], if requests differ.
    pub(super) kind: Option<usize>,
    /// Time of the first attempt.
    pub(super) arrived: Clock,
    pub(super) deadline: Clock,
    pub(super) team: usize,
    pub(super) prompt_tokens: f64,
    pub(super) events: f64,
    pub(super) parts: Vec<(u64, u32)>,
    pub(super) entry: usize,
    pub(super) attempts: u32,
    /// Whether the request can no longer be in time, so that the next refusal is final.
    pub(super) late: bool,
    /// Priority at the gate in the last attempt.
    pub(super) priority: u8,
    pub(super) admitted: Option<Clock>,
    pub(super) assignment: Option<Assignment>,
    /// Events delivered to the caller.
    pub(super) delivered: f64,
    pub(super) first_event: Option<Clock>,
    pub(super) last_event: Clock,
    pub(super) longest_pause: Clock,
    /// Time at which the engine was lost; reset by the next event.
    pub(super) interrupted_at: Option<Clock>,
    pub(super) was_interrupted: bool,
    pub(super) finished: bool,
}

impl Request {
    pub(super) fn done(&self, time: Clock) -> Done {
        let cost = self.prompt_tokens as u64;
        // Requests admitted late don't show how fast the engines are.
        let first = self.first_event.filter(|_| !self.late);
        Done {
            priority: self.priority,
            cost,
            used: cost,
            time,
            first_output: first.map(|first| first - self.arrived),
        }
    }
}

impl Simulation<'_> {
    pub(super) fn create_arrivals(&mut self) {
        if self.setup.kinds.is_empty() {
            let load = self.pattern.load(self.setup, self.now);
            self.create_arrivals_of(None, load);
        }
        for kind in 0..self.setup.kinds.len() {
            let load = self.pattern.kind_load(self.setup, self.now, kind);
            self.create_arrivals_of(Some(kind), load);
        }
    }

    fn create_arrivals_of(&mut self, kind: Option<usize>, load: f64) {
        let mean = self.setup.capacity() * load * TICK.as_secs_f64();
        let mut count = mean.floor() as u32;
        count += u32::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            self.arrive(kind);
        }
    }

    pub(super) fn arrive(&mut self, kind: Option<usize>) {
        let id = self.requests.len();
        let setup = self.setup;
        let active = self.pattern.is_active(setup, self.now);
        // Squaring the draw gives a few large teams and many small ones.
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let team = match (self.pattern, active) {
            (Pattern::OneTeam, true) if self.rng.random_bool(0.8) => 0,
            _ => (draw * draw * setup.teams as f64) as usize,
        };
        let prompt_tokens = setup.mean_lengths.0 * self.rng.random_range(0.5..1.5);
        let events = setup.mean_lengths.1 * self.rng.random_range(0.7..1.3);
        let shared = match (self.pattern, active) {
            (Pattern::OneKey, true) => prompt_tokens * ONE_KEY_PREFIX_SHARE,
            _ => setup.shared_prefix as f64,
        };
        let rest = (prompt_tokens - shared) as u32;
        let (min, max) = setup.deadline_share;
        let time_limit = match min < max {
            true => setup.timeout.mul_f64(self.rng.random_range(min..max)),
            false => setup.timeout.mul_f64(max),
        };
        self.summary.requests += 1;
        if let Some(kind) = kind {
            self.summary.kinds[kind].requests += 1;
        }
        self.summary.teams[team].0 += 1;
        self.summary.sizes[usize::from(prompt_tokens > setup.mean_lengths.0)].0 += 1;
        self.requests.push(Request {
            kind,
            arrived: self.now,
            deadline: self.now + time_limit,
            team,
            prompt_tokens,
            events: events.floor(),
            parts: vec![(1, shared as u32), (id as u64 + 2, rest)],
            entry: 0,
            attempts: 0,
            late: false,
            priority: 0,
            admitted: None,
            assignment: None,
            delivered: 0.0,
            first_event: None,
            last_event: self.now,
            longest_pause: Clock::ZERO,
            interrupted_at: None,
            was_interrupted: false,
            finished: false,
        });
        self.attempt(id);
    }

    /// Sends a request to a random entry, for the first time or as a retry.
    pub(super) fn attempt(&mut self, id: Id) {
        let entry = self.rng.random_range(0..self.entries.len());
        let request = &mut self.requests[id];
        request.entry = entry;
        request.attempts += 1;
        request.late = false;
        match self.policy.queues() {
            true => self.enqueue(id),
            false => self.dispatch(id, &[]),
        }
    }

    /// Passes a request to its entry's gate.
    pub(super) fn enqueue(&mut self, id: Id) {
        let request = &self.requests[id];
        let deadline = request.deadline.saturating_sub(self.now);
        let kind = request.kind.map(|kind| self.setup.kinds[kind]);
        let objective = kind.map_or(self.setup.first_event_target, |kind| kind.objective);
        let rank = kind.map_or(1, |kind| kind.rank);
        let mut engine_time = wait::engine_time(objective);
        if kind.is_some() && self.policy.orders_by_cost() {
            let kinds = self.setup.kinds.iter();
            let standing = Standing {
                rank,
                is_first: kinds.clone().any(|other| other.rank > rank),
                place: kinds.clone().filter(|other| other.rank < rank).count() as u8,
                shortest_objective: kinds.map(|kind| kind.objective).min().unwrap_or(objective),
            };
            let size = request.prompt_tokens / self.setup.mean_lengths.0;
            let entry = &mut self.entries[request.entry];
            engine_time = entry.record_arrival(self.now, &standing, size, objective);
        }
        let constraints = Constraints {
            rank,
            objective,
            timeout: Some(self.setup.timeout),
            deadline: Some(deadline),
            engine_time,
            expected: Some(
                self.setup
                    .event_interval
                    .mul_f64(self.setup.mean_lengths.1 * 2.0),
            ),
        };
        let wait = constraints
            .waits()
            .find(|wait| !request.late || !wait.in_time);
        let Some(wait) = wait else {
            return;
        };
        let (entry, team) = (request.entry, team_name(request.team));
        let cost = request.prompt_tokens as u64;
        self.requests[id].late = !wait.in_time;
        self.requests[id].priority = wait.limit.priority;
        let arrival = (id, &team, cost);
        let entry = &mut self.entries[entry];
        let waited = constraints.spent();
        let decision = entry.arrive(self.setup, self.now, arrival, waited, &wait, &mut self.rng);
        if let Some(decision) = decision {
            self.apply_decision(decision);
        }
    }

    /// Schedules a retry of a refused request, or ends it.
    pub(super) fn refuse(&mut self, id: Id, retry_after: Clock) {
        let impatient = self.pattern == Pattern::Impatient;
        let max = if impatient {
            IMPATIENT_RETRIES
        } else {
            self.setup.retries
        };
        let request = &mut self.requests[id];
        let remaining = request.deadline.saturating_sub(self.now);
        if request.attempts > max || remaining.is_zero() {
            request.finished = true;
            self.summary.refused += 1;
            if let Some(kind) = request.kind {
                self.summary.kinds[kind].refused += 1;
            }
            return;
        }
        let wait = if impatient {
            TICK
        } else {
            retry_after.min(remaining / 3)
        };
        self.retries.push(Reverse((self.now + wait, id)));
    }

    /// Ends the requests whose deadline has passed.
    pub(super) fn expire_requests(&mut self) {
        for id in 0..self.requests.len() {
            let request = &self.requests[id];
            if request.finished || request.deadline > self.now {
                continue;
            }
            if request.assignment.is_some() {
                self.summary.wasted += request.prompt_tokens;
            }
            self.release(id, Outcome::Cancelled);
            self.summary.failed += 1;
        }
    }
}
