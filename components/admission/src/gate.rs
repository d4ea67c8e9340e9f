//! Admission gate: admits, queues or refuses requests.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use names::{
    Clock,
    Team, //
};
use rand::Rng;

use crate::{
    Arrival,
    Done,
    Reason,
    Released,
    Report,
    Settings,
    Ticket,
    Verdict,
    concurrency::Concurrency,
    fair::{
        Queue,
        virtual_duration, //
    },
    order::{
        Bound,
        Policy,
        Sizes, //
    },
    table::Table,
    team::Waiting, //
};

mod cost;

#[derive(Clone, Copy, Debug)]
struct Queued {
    /// `None` for a continuation, which is in no team's queue.
    team: Option<usize>,
    /// Team that the request is charged to.
    owner: usize,
    cost: u64,
    /// Time at which it has to start.
    deadline: Clock,
    /// Time at which it was queued.
    queued_at: Clock,
    /// Time that the caller had waited before.
    waited: Duration,
}

/// Admission control of one service in one process.
#[derive(Clone, Debug)]
pub struct Gate {
    settings: Settings,
    concurrency: Concurrency,
    queue: Queue,
    teams: Table,
    resumes: VecDeque<Ticket>,
    waiting: HashMap<Ticket, Queued>,
    deadlines: BTreeSet<(Clock, Ticket)>,
    /// Queued requests that were refused to make room, until the next tick.
    displaced: Vec<Released>,
    running: u32,
    last_ticket: Ticket,
    policy: Policy,
    /// Limit of the requests below a priority.
    bound: Option<Bound>,
    /// Time at which the next refused caller of a rank shall retry, before jitter.
    next_retries: BTreeMap<u8, Clock>,
    sizes: Sizes,
}

impl Gate {
    /// Creates a gate without any reports.
    pub fn new(settings: Settings) -> Gate {
        Gate {
            concurrency: Concurrency::new(&settings),
            queue: Queue::default(),
            teams: Table::default(),
            resumes: VecDeque::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            displaced: Vec::new(),
            running: 0,
            last_ticket: 0,
            policy: Policy::Fair,
            bound: None,
            next_retries: BTreeMap::new(),
            sizes: Sizes::default(),
            settings,
        }
    }

    /// Returns the number of requests in progress.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of known queues, one for each team and priority.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.concurrency.limit() as u32
    }

    /// Records the reports of the replicas. Free capacity is shared evenly with the other
    /// processes.
    pub fn report(&mut self, report: Report) {
        let target = f64::from(report.capacity) * self.settings.target_utilization;
        let free = target - f64::from(report.load);
        let share = free / f64::from(report.processes.max(1));
        self.concurrency.set_max(f64::from(self.running) + share);
    }

    /// Sets the policy of the order, and the capacity for the requests below a priority. It follows
    /// each [`Gate::report`], as the bound is relative to the requests that run now.
    pub fn set_order(&mut self, policy: Policy, bound: Option<Bound>) {
        self.policy = policy;
        self.bound = bound;
    }

    /// Decides on an arrival.
    pub fn arrive(&mut self, now: Clock, arrival: &Arrival, rng: &mut impl Rng) -> Verdict {
        let max_teams = self.settings.max_teams;
        let Some(team) = self
            .teams
            .get_or_insert(now, arrival.team, arrival.limit, max_teams)
        else {
            // All teams in the table have work.
            return Verdict::Refuse {
                reason: Reason::Full,
                retry_after: self.settings.retry_after_bounds.1,
            };
        };
        if arrival.resume {
            return self.resume(now, team, arrival, rng);
        }
        if self.teams[team].is_full() {
            return self.refuse(now, team, Reason::InFlight, rng);
        }
        if !self.teams[team].take_rate_token(now) {
            return self.refuse(now, team, Reason::Rate, rng);
        }
        self.sizes.arrive(arrival.cost);
        if self.has_room(self.limit_for(arrival.limit.priority)) && self.waiting.is_empty() {
            let state = &self.teams[team];
            let start = self.queue.start(state.level, state.finish_tag);
            self.admit(team, start, arrival.cost);
            self.sizes.decide(arrival.cost, false);
            return Verdict::Admit;
        }
        if self.policy == Policy::Cost {
            return self.arrive_by_cost(now, team, arrival, rng);
        }
        if !self.fits_in_time(arrival.max_wait) && !self.displace(now, team, arrival, rng) {
            return self.refuse(now, team, Reason::Full, rng);
        }
        Verdict::Queue(self.enqueue(now, team, arrival))
    }

    /// Records that a request of the team has ended.
    pub fn finish(&mut self, team: &Team, done: &Done) {
        self.running = self.running.saturating_sub(1);
        self.concurrency.finished(
            done.time,
            done.first_output,
            self.settings.first_output_target,
        );
        let Some(index) = self.teams.index_of(team, done.priority) else {
            return;
        };
        let state = &mut self.teams[index];
        state.running = state.running.saturating_sub(1);
        let weight = state.weight();
        let finish_tag = state
            .finish_tag
            .saturating_add(virtual_duration(done.used, weight));
        state.finish_tag = finish_tag.saturating_sub(virtual_duration(done.cost.max(1), weight));
    }

    /// Removes a queued request whose caller went away.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(queued) = self.take_queued(ticket) {
            self.dequeue(ticket, queued);
        }
    }

    /// Admits queued requests for which there is room and refuses those that can no longer be
    /// served in time. It must be called after each [`Gate::finish`] and [`Gate::report`], after an
    /// arrival that was queued, as that may displace another, and at the time that
    /// [`Gate::deadline`] returns.
    pub fn tick(&mut self, now: Clock, rng: &mut impl Rng) -> Vec<Released> {
        let mut released = std::mem::take(&mut self.displaced);
        self.concurrency.tick(now, &self.settings);
        self.expire(now, &mut released, rng);
        // The limit of continuations is above that of new work: while one of them waits, no new
        // work is admitted.
        while self.has_room(self.resume_limit()) {
            let Some(ticket) = self.resumes.pop_front() else {
                break;
            };
            if let Some(queued) = self.take_queued(ticket) {
                self.admit_resume(queued.owner, queued.cost);
                released.push(Released::Admit(ticket));
            }
        }
        while let Some(level) = self.queue.highest()
            && (self.has_room(self.limit_for(level)) || self.may_preempt(now, level))
        {
            let Some((start, team)) = self.pop_team() else {
                break;
            };
            let Some(waiting) = self.teams[team].pop(self.policy) else {
                continue;
            };
            self.take_queued(waiting.ticket);
            self.admit(team, start, waiting.cost);
            self.sizes.decide(waiting.cost, false);
            self.requeue(team);
            released.push(Released::Admit(waiting.ticket));
        }
        self.teams.drop_idle(now, &self.queue);
        released
    }

    /// Returns the time at which the next queued request has to be refused.
    pub fn deadline(&self) -> Option<Clock> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Returns whether one more request fits within the limit. A fractional slot doesn't count:
    /// rounded up at each of many processes, the fractions would exceed the capacity.
    fn has_room(&self, limit: f64) -> bool {
        f64::from(self.running) + 1.0 <= limit
    }

    fn resume_limit(&self) -> f64 {
        let limit = self.concurrency.limit();
        limit + (limit * self.settings.resume_reserve).max(1.0)
    }

    /// Admits or queues a continuation. Continuations go before all new work, and the limits of
    /// their team don't apply, as the answer was admitted before.
    fn resume(
        &mut self,
        now: Clock,
        team: usize,
        arrival: &Arrival,
        rng: &mut impl Rng,
    ) -> Verdict {
        if self.resumes.is_empty() && self.has_room(self.resume_limit()) {
            self.admit_resume(team, arrival.cost);
            return Verdict::Admit;
        }
        if self.resumes.len() >= self.settings.max_waiting {
            return self.refuse(now, team, Reason::Full, rng);
        }
        let ticket = self.issue_ticket(now, None, team, arrival);
        self.resumes.push_back(ticket);
        Verdict::Queue(ticket)
    }

    fn admit(&mut self, team: usize, start: u64, cost: u64) {
        self.running += 1;
        let state = &mut self.teams[team];
        state.running += 1;
        let duration = virtual_duration(cost.max(1), state.weight());
        state.finish_tag = state.finish_tag.max(start).saturating_add(duration);
    }

    fn admit_resume(&mut self, team: usize, cost: u64) {
        // The virtual time must not advance, as the positions of queued work depend on it.
        let start = self.queue.virtual_time(self.teams[team].level);
        self.admit(team, start, cost);
    }

    /// Returns whether one more request, behind all that are queued, would still be served in time.
    fn fits_in_time(&self, max_wait: Duration) -> bool {
        let queued = self.waiting.len() as f64 + 1.0;
        let wait = queued / self.concurrency.rate();
        wait <= max_wait.as_secs_f64() && self.waiting.len() < self.settings.max_waiting
    }

    /// Makes room by refusing the request that would be served last, if the new one would be served
    /// before it. The queue thus holds the requests that are due first; otherwise any request that
    /// finds it full is refused, and a team gets its share only by chance.
    fn displace(&mut self, now: Clock, team: usize, arrival: &Arrival, rng: &mut impl Rng) -> bool {
        let (teams, queue) = (&self.teams, &self.queue);
        let finish_time = |team: usize, cost: u64| {
            let state = &teams[team];
            state.finish_time(queue.virtual_time(state.level), cost)
        };
        let Some((priority, last)) = queue.last(|team| finish_time(team, 0)) else {
            return false;
        };
        let own = self.teams[team].level;
        let is_later = finish_time(last, 0) > finish_time(team, arrival.cost.max(1));
        if priority > own || priority == own && !is_later {
            return false;
        }
        let Some(waiting) = self.teams[last].queue.back() else {
            return false;
        };
        let ticket = waiting.ticket;
        if let Some(queued) = self.take_queued(ticket) {
            self.dequeue(ticket, queued);
        }
        let retry_after = self.retry_after(now, last, rng);
        self.displaced.push(Released::Refuse {
            ticket,
            reason: Reason::Full,
            retry_after,
        });
        true
    }

    fn issue_ticket(
        &mut self,
        now: Clock,
        team: Option<usize>,
        owner: usize,
        arrival: &Arrival,
    ) -> Ticket {
        self.last_ticket += 1;
        let queued = Queued {
            team,
            owner,
            cost: arrival.cost,
            deadline: now + arrival.max_wait,
            queued_at: now,
            waited: arrival.waited,
        };
        self.deadlines.insert((queued.deadline, self.last_ticket));
        self.waiting.insert(self.last_ticket, queued);
        self.last_ticket
    }

    fn enqueue(&mut self, now: Clock, team: usize, arrival: &Arrival) -> Ticket {
        let ticket = self.issue_ticket(now, Some(team), team, arrival);
        let state = &mut self.teams[team];
        let was_empty = state.queue.is_empty();
        state.queue.push_back(Waiting {
            ticket,
            cost: arrival.cost,
            due: now + arrival.max_wait,
        });
        if was_empty {
            self.requeue(team);
        }
        ticket
    }

    fn requeue(&mut self, team: usize) {
        let state = &self.teams[team];
        if !state.queue.is_empty() {
            self.queue
                .insert(state.level, state.finish_tag, team, state.weight());
        }
    }

    fn take_queued(&mut self, ticket: Ticket) -> Option<Queued> {
        let queued = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(queued.deadline, ticket));
        Some(queued)
    }

    fn dequeue(&mut self, ticket: Ticket, queued: Queued) {
        let Some(team) = queued.team else {
            self.resumes.retain(|waiting| *waiting != ticket);
            return;
        };
        let state = &mut self.teams[team];
        state.queue.retain(|waiting| waiting.ticket != ticket);
        if state.queue.is_empty() {
            self.queue.remove(state.level, team, state.weight());
        }
    }

    /// Refuses requests that reached their maximum wait: a request that can no longer meet its
    /// target would take a slot from one that can.
    fn expire(&mut self, now: Clock, released: &mut Vec<Released>, rng: &mut impl Rng) {
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let Some(queued) = self.take_queued(ticket) else {
                continue;
            };
            self.dequeue(ticket, queued);
            let retry_after = self.retry_after(now, queued.owner, rng);
            released.push(Released::Refuse {
                ticket,
                reason: Reason::Late,
                retry_after,
            });
        }
    }

    fn refuse(&mut self, now: Clock, team: usize, reason: Reason, rng: &mut impl Rng) -> Verdict {
        Verdict::Refuse {
            reason,
            retry_after: self.retry_after(now, team, rng),
        }
    }

    fn retry_after(&mut self, now: Clock, team: usize, rng: &mut impl Rng) -> Duration {
        if self.policy == Policy::Cost {
            let level = self.teams[team].level;
            return self.retry_by_rank(now, level, rng);
        }
        let state = &self.teams[team];
        let weights = self.queue.weight().max(state.weight());
        let share = state.weight() as f64 / weights as f64;
        let mut rate = self.concurrency.rate() * share * self.settings.retry_share;
        if state.limit.rate > 0 {
            rate = rate.min(f64::from(state.limit.rate));
        }
        self.teams[team].retry_after(now, rate, &self.settings, rng)
    }
}
