//! Which work goes on, waits, or is refused.

use std::{
    collections::{
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
    fair::{
        Order,
        length, //
    },
    pace::Pace,
    table::Table,
    team::Waiting, //
};

#[derive(Clone, Copy, Debug)]
struct Place {
    /// `None` for a continuation, which stands in no team's queue.
    team: Option<usize>,
    owner: usize,
    cost: u64,
    deadline: Clock,
}

/// Admission of one service's work at one entry.
#[derive(Clone, Debug)]
pub struct Gate {
    settings: Settings,
    pace: Pace,
    order: Order,
    teams: Table,
    resumes: VecDeque<Ticket>,
    waiting: HashMap<Ticket, Place>,
    deadlines: BTreeSet<(Clock, Ticket)>,
    /// Requests that made room for others, until the next tick.
    displaced: Vec<Released>,
    running: u32,
    last: Ticket,
}

impl Gate {
    /// A gate that knows nothing yet.
    pub fn new(settings: Settings) -> Gate {
        Gate {
            pace: Pace::new(&settings),
            order: Order::default(),
            teams: Table::default(),
            resumes: VecDeque::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            displaced: Vec::new(),
            running: 0,
            last: 0,
            settings,
        }
    }

    /// Requests in progress.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Teams that are known.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }

    /// Concurrency that is allowed now.
    pub fn limit(&self) -> u32 {
        self.pace.limit() as u32
    }

    /// Takes what the replicas report. What is free is shared evenly with the other entries.
    pub fn report(&mut self, report: Report) {
        let aim = f64::from(report.capacity) * self.settings.target_utilization;
        let free = aim - f64::from(report.load);
        let share = free / f64::from(report.entries.max(1));
        self.pace.learn(f64::from(self.running) + share);
    }

    /// Decides on an arrival.
    pub fn arrive(&mut self, now: Clock, arrival: &Arrival, rng: &mut impl Rng) -> Verdict {
        let most = self.settings.max_teams;
        let Some(team) = self.teams.take(now, arrival.team, arrival.limit, most) else {
            // The table is full of teams with work.
            return Verdict::Refuse {
                reason: Reason::Full,
                retry_after: self.settings.retry_after.1,
            };
        };
        if arrival.resume {
            return self.resume(now, team, arrival, rng);
        }
        if self.teams[team].full() {
            return self.refuse(now, team, Reason::InFlight, rng);
        }
        if !self.teams[team].take(now) {
            return self.refuse(now, team, Reason::Rate, rng);
        }
        if self.below(self.pace.limit()) && self.waiting.is_empty() {
            let member = &self.teams[team];
            let start = self.order.start(member.level, member.paid);
            self.admit(team, start, arrival.cost);
            return Verdict::Admit;
        }
        if !self.fits(arrival.max_wait) && !self.displace(now, team, arrival, rng) {
            return self.refuse(now, team, Reason::Full, rng);
        }
        Verdict::Queue(self.enqueue(now, team, arrival))
    }

    /// Notes that a request of the team has ended.
    pub fn finish(&mut self, team: &Team, done: &Done) {
        self.running = self.running.saturating_sub(1);
        self.pace.finished(
            done.time,
            done.first_token,
            self.settings.first_token_target,
        );
        let Some(number) = self.teams.number(team, done.priority) else {
            return;
        };
        let member = &mut self.teams[number];
        member.running = member.running.saturating_sub(1);
        let weight = member.weight();
        let paid = member.paid.saturating_add(length(done.used, weight));
        member.paid = paid.saturating_sub(length(done.cost.max(1), weight));
    }

    /// Takes a request out that no longer waits, as its caller went away.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(place) = self.forget(ticket) {
            self.unqueue(ticket, place);
        }
    }

    /// Releases what can go on and refuses what can't be in time any more. To be called after each
    /// [`Gate::finish`] and [`Gate::report`], after an arrival that was queued, as it may have
    /// taken another's place, and when the time of [`Gate::deadline`] comes.
    pub fn tick(&mut self, now: Clock, rng: &mut impl Rng) -> Vec<Released> {
        let mut released = std::mem::take(&mut self.displaced);
        self.pace.tick(now, &self.settings);
        self.expire(now, &mut released, rng);
        // Their bound is above the limit of new work: while one of them waits, nothing else goes on.
        while self.below(self.bound_of_resumes()) {
            let Some(ticket) = self.resumes.pop_front() else {
                break;
            };
            if let Some(place) = self.forget(ticket) {
                self.admit_resume(place.owner, place.cost);
                released.push(Released::Admit(ticket));
            }
        }
        while self.below(self.pace.limit()) {
            let teams = &self.teams;
            let next = self.order.next(|team| teams[team].weight());
            let Some((start, team)) = next else {
                break;
            };
            let Some(waiting) = self.teams[team].queue.pop_front() else {
                continue;
            };
            self.forget(waiting.ticket);
            self.admit(team, start, waiting.cost);
            self.queue_again(team);
            released.push(Released::Admit(waiting.ticket));
        }
        self.teams.drop_idle(now, &self.order);
        released
    }

    /// When the next waiting request has to be refused.
    pub fn deadline(&self) -> Option<Clock> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Whether one more fits. A part of a place is none: rounded up at each of many entries, the
    /// parts add up to more than there is.
    fn below(&self, limit: f64) -> bool {
        f64::from(self.running) + 1.0 <= limit
    }

    fn bound_of_resumes(&self) -> f64 {
        let limit = self.pace.limit();
        limit + (limit * self.settings.resume_reserve).max(1.0)
    }

    /// Continuations go before all new work, and no team's limits hold them up: the answer that
    /// they belong to was admitted once.
    fn resume(
        &mut self,
        now: Clock,
        team: usize,
        arrival: &Arrival,
        rng: &mut impl Rng,
    ) -> Verdict {
        if self.resumes.is_empty() && self.below(self.bound_of_resumes()) {
            self.admit_resume(team, arrival.cost);
            return Verdict::Admit;
        }
        if self.resumes.len() >= self.settings.max_waiting {
            return self.refuse(now, team, Reason::Full, rng);
        }
        let ticket = self.ticket(now, None, team, arrival);
        self.resumes.push_back(ticket);
        Verdict::Queue(ticket)
    }

    fn admit(&mut self, team: usize, start: u64, cost: u64) {
        self.running += 1;
        let member = &mut self.teams[team];
        member.running += 1;
        let length = length(cost.max(1), member.weight());
        member.paid = member.paid.max(start).saturating_add(length);
    }

    fn admit_resume(&mut self, team: usize, cost: u64) {
        // The time stays, as work that waits has its places by it.
        let start = self.order.time(self.teams[team].level);
        self.admit(team, start, cost);
    }

    /// Whether one more that waits would still be in time, behind all others.
    fn fits(&self, patience: Duration) -> bool {
        let all = self.waiting.len() as f64 + 1.0;
        let wait = all / self.pace.rate();
        wait <= patience.as_secs_f64() && self.waiting.len() < self.settings.max_waiting
    }

    /// Makes room by refusing the request that would be served last, if the new one would be
    /// served before it. So the queue holds what is due first: without this, whoever finds it full
    /// is refused, and a team gets its share only by luck.
    fn displace(&mut self, now: Clock, team: usize, arrival: &Arrival, rng: &mut impl Rng) -> bool {
        let (teams, order) = (&self.teams, &self.order);
        let tail = |team: usize, cost: u64| {
            let member = &teams[team];
            member.tail(order.time(member.level), cost)
        };
        let Some((priority, last)) = order.last(|team| tail(team, 0)) else {
            return false;
        };
        let own = self.teams[team].level;
        let later = tail(last, 0) > tail(team, arrival.cost.max(1));
        if priority > own || priority == own && !later {
            return false;
        }
        let Some(waiting) = self.teams[last].queue.back() else {
            return false;
        };
        let ticket = waiting.ticket;
        if let Some(place) = self.forget(ticket) {
            self.unqueue(ticket, place);
        }
        let retry_after = self.come_back(now, last, rng);
        self.displaced.push(Released::Refuse {
            ticket,
            reason: Reason::Full,
            retry_after,
        });
        true
    }

    fn ticket(
        &mut self,
        now: Clock,
        team: Option<usize>,
        owner: usize,
        arrival: &Arrival,
    ) -> Ticket {
        self.last += 1;
        let place = Place {
            team,
            owner,
            cost: arrival.cost,
            deadline: now + arrival.max_wait,
        };
        self.deadlines.insert((place.deadline, self.last));
        self.waiting.insert(self.last, place);
        self.last
    }

    fn enqueue(&mut self, now: Clock, team: usize, arrival: &Arrival) -> Ticket {
        let ticket = self.ticket(now, Some(team), team, arrival);
        let member = &mut self.teams[team];
        let first = member.queue.is_empty();
        member.queue.push_back(Waiting {
            ticket,
            cost: arrival.cost,
        });
        if first {
            self.queue_again(team);
        }
        ticket
    }

    fn queue_again(&mut self, team: usize) {
        let member = &self.teams[team];
        if !member.queue.is_empty() {
            self.order
                .wait(member.level, member.paid, team, member.weight());
        }
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Place> {
        let place = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(place.deadline, ticket));
        Some(place)
    }

    fn unqueue(&mut self, ticket: Ticket, place: Place) {
        let Some(team) = place.team else {
            self.resumes.retain(|waiting| *waiting != ticket);
            return;
        };
        let member = &mut self.teams[team];
        member.queue.retain(|waiting| waiting.ticket != ticket);
        if member.queue.is_empty() {
            self.order.leave(member.level, team, member.weight());
        }
    }

    /// Refuses what has waited as long as it could: a request that can't meet its target any more
    /// would take a place from one that can.
    fn expire(&mut self, now: Clock, released: &mut Vec<Released>, rng: &mut impl Rng) {
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let Some(place) = self.forget(ticket) else {
                continue;
            };
            self.unqueue(ticket, place);
            let retry_after = self.come_back(now, place.owner, rng);
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
            retry_after: self.come_back(now, team, rng),
        }
    }

    fn come_back(&mut self, now: Clock, team: usize, rng: &mut impl Rng) -> Duration {
        let member = &self.teams[team];
        let weights = self.order.weight().max(member.weight());
        let share = member.weight() as f64 / weights as f64;
        let mut rate = self.pace.rate() * share * self.settings.retry_share;
        if member.limit.rate > 0 {
            rate = rate.min(f64::from(member.limit.rate));
        }
        self.teams[team].come_back(now, rate, &self.settings, rng)
    }
}
