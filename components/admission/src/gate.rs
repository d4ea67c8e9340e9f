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
    Limit,
    Settings,
    fair::{
        Order,
        length, //
    },
    pace::Pace,
    team::{
        Member,
        Waiting, //
    }, //
};

/// Number of a request that waits.
pub type Ticket = u64;

/// How many teams are looked at in a tick for being idle.
const SWEEP: usize = 64;

/// A request that wants to go on.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its team.
    pub team: &'a Team,
    /// The team's limits at this entry.
    pub limit: Limit,
    /// Expected work, in tokens or any other unit that all requests share; 0 counts as 1. For a
    /// continuation, what is left of it.
    pub cost: u64,
    /// Longest wait with which the first-token target can still be met.
    pub patience: Duration,
    /// Continues an answer that has begun.
    pub resume: bool,
}

/// What becomes of an arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on; [`Gate::finish`] must follow.
    Admit,
    /// It waits until [`Gate::tick`] releases the ticket, or [`Gate::cancel`] is called.
    Queue(Ticket),
    /// It is refused, and was not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The team has as many requests in flight as it may.
    InFlight,
    /// The team is over its rate.
    Rate,
    /// It could not be served in time.
    Full,
    /// It waited as long as it could.
    Late,
}

/// What becomes of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Released {
    /// It goes on; [`Gate::finish`] must follow.
    Admit(Ticket),
    /// It is refused, and was not run.
    Refuse {
        /// Which.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// What replicas report, taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Runs at full speed, of the replicas that can be used.
    pub capacity: u32,
    /// Runs in progress or waiting, of all entries, with this entry's own as of now.
    pub load: u32,
    /// Entries that share the capacity.
    pub entries: u32,
}

/// A request that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// The cost that it was admitted with.
    pub cost: u64,
    /// The work that it was; the team's share is corrected by the difference.
    pub used: u64,
    /// From admission to the end.
    pub time: Duration,
    /// From arrival to the first token; `None` when there was none.
    pub first: Option<Duration>,
}

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
    /// Teams by number; a vacant number keeps its last team, which no name leads to.
    members: Vec<Member>,
    vacant: Vec<usize>,
    names: HashMap<Team, usize>,
    /// Next team to look at for being idle.
    sweep: usize,
    resumes: VecDeque<Ticket>,
    waiting: HashMap<Ticket, Place>,
    deadlines: BTreeSet<(Clock, Ticket)>,
    running: u32,
    last: Ticket,
}

impl Gate {
    /// A gate that knows nothing yet.
    pub fn new(settings: Settings) -> Gate {
        Gate {
            pace: Pace::new(&settings),
            order: Order::default(),
            members: Vec::new(),
            vacant: Vec::new(),
            names: HashMap::new(),
            sweep: 0,
            resumes: VecDeque::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
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
        self.names.len()
    }

    /// Concurrency that is allowed now.
    pub fn limit(&self) -> u32 {
        self.pace.limit() as u32
    }

    /// Takes what the replicas report. What is free is shared evenly with the other entries.
    pub fn report(&mut self, report: Report) {
        let aim = f64::from(report.capacity) * self.settings.aim;
        let free = aim - f64::from(report.load);
        let share = free / f64::from(report.entries.max(1));
        self.pace.learn(f64::from(self.running) + share);
    }

    /// Decides on an arrival.
    pub fn arrive(&mut self, now: Clock, arrival: &Arrival, rng: &mut impl Rng) -> Verdict {
        let Some(team) = self.member(now, arrival) else {
            // The table is full of teams with work.
            return Verdict::Refuse {
                reason: Reason::Full,
                retry_after: self.settings.come_back.1,
            };
        };
        if arrival.resume {
            return self.resume(now, team, arrival, rng);
        }
        if self.members[team].full() {
            return self.refuse(now, team, Reason::InFlight, rng);
        }
        if !self.members[team].take(now) {
            return self.refuse(now, team, Reason::Rate, rng);
        }
        let free = f64::from(self.running) < self.pace.limit();
        if free && self.waiting.is_empty() {
            let member = &self.members[team];
            let start = self.order.start(member.level, member.paid);
            self.admit(team, start, arrival.cost);
            return Verdict::Admit;
        }
        let wait = self.wait_of(team);
        if wait > arrival.patience || self.waiting.len() >= self.settings.waiting {
            return self.refuse(now, team, Reason::Full, rng);
        }
        Verdict::Queue(self.enqueue(now, team, arrival))
    }

    /// Notes that a request of the team has ended.
    pub fn finish(&mut self, team: &Team, done: &Done) {
        self.running = self.running.saturating_sub(1);
        self.pace
            .finished(done.time, done.first, self.settings.first);
        let Some(number) = self.names.get(team) else {
            return;
        };
        let member = &mut self.members[*number];
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

    /// Releases what can go on and refuses what can't be in time any more. To be called after
    /// each [`Gate::finish`] and [`Gate::report`], and when the time of [`Gate::deadline`] comes.
    pub fn tick(&mut self, now: Clock, rng: &mut impl Rng) -> Vec<Released> {
        let mut released = Vec::new();
        self.pace.tick(now, &self.settings);
        self.expire(now, &mut released, rng);
        // Their bound is above the limit of new work: while one of them waits, nothing else goes on.
        while f64::from(self.running) < self.bound_of_resumes() {
            let Some(ticket) = self.resumes.pop_front() else {
                break;
            };
            if let Some(place) = self.forget(ticket) {
                self.admit_resume(place.owner, place.cost);
                released.push(Released::Admit(ticket));
            }
        }
        while f64::from(self.running) < self.pace.limit() {
            let members = &self.members;
            let next = self.order.next(|team| members[team].weight());
            let Some((start, team)) = next else {
                break;
            };
            let Some(waiting) = self.members[team].queue.pop_front() else {
                continue;
            };
            self.forget(waiting.ticket);
            self.admit(team, start, waiting.cost);
            self.queue_again(team);
            released.push(Released::Admit(waiting.ticket));
        }
        self.drop_idle(now);
        released
    }

    /// When the next waiting request has to be refused.
    pub fn deadline(&self) -> Option<Clock> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    fn bound_of_resumes(&self) -> f64 {
        self.pace.limit() * (1.0 + self.settings.reserve)
    }

    /// The team's number; `None` when there is no room for another team.
    fn member(&mut self, now: Clock, arrival: &Arrival) -> Option<usize> {
        if let Some(number) = self.names.get(arrival.team) {
            let member = &mut self.members[*number];
            if member.queue.is_empty() {
                // The weight and the level of a queue stay as they were while it stands.
                member.limit = arrival.limit;
                member.level = arrival.limit.priority;
            }
            return Some(*number);
        }
        if self.names.len() >= self.settings.teams {
            return None;
        }
        let member = Member::new(now, arrival.team.clone(), arrival.limit);
        let number = match self.vacant.pop() {
            Some(number) => {
                self.members[number] = member;
                number
            }
            None => {
                self.members.push(member);
                self.members.len() - 1
            }
        };
        self.names.insert(arrival.team.clone(), number);
        Some(number)
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
        if self.resumes.is_empty() && f64::from(self.running) < self.bound_of_resumes() {
            self.admit_resume(team, arrival.cost);
            return Verdict::Admit;
        }
        if self.resumes.len() >= self.settings.waiting {
            return self.refuse(now, team, Reason::Full, rng);
        }
        let ticket = self.ticket(now, None, team, arrival);
        self.resumes.push_back(ticket);
        Verdict::Queue(ticket)
    }

    fn admit(&mut self, team: usize, start: u64, cost: u64) {
        self.running += 1;
        let member = &mut self.members[team];
        member.running += 1;
        let length = length(cost.max(1), member.weight());
        member.paid = member.paid.max(start).saturating_add(length);
    }

    fn admit_resume(&mut self, team: usize, cost: u64) {
        // The time stays, as work that waits has its places by it.
        let start = self.order.time(self.members[team].level);
        self.admit(team, start, cost);
    }

    /// Time that a new request of the team would wait: its queue is served at the team's share of
    /// the rate, and never later than all that waits before it.
    fn wait_of(&self, team: usize) -> Duration {
        let member = &self.members[team];
        let own = member.queue.len() as f64 + 1.0;
        let mut weights = self.order.weight(member.level);
        if member.queue.is_empty() {
            weights += member.weight();
        }
        let fair = own * weights as f64 / member.weight() as f64;
        let all = self.waiting.len() as f64 + 1.0;
        Duration::from_secs_f64(fair.min(all) / self.pace.rate())
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
            deadline: now + arrival.patience,
        };
        self.deadlines.insert((place.deadline, self.last));
        self.waiting.insert(self.last, place);
        self.last
    }

    fn enqueue(&mut self, now: Clock, team: usize, arrival: &Arrival) -> Ticket {
        let ticket = self.ticket(now, Some(team), team, arrival);
        let member = &mut self.members[team];
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
        let member = &self.members[team];
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
        let member = &mut self.members[team];
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
        let member = &self.members[team];
        let weights = self.order.weight(0).max(member.weight());
        let share = member.weight() as f64 / weights as f64;
        let mut rate = self.pace.rate() * share * self.settings.returning;
        if member.limit.rate > 0 {
            rate = rate.min(f64::from(member.limit.rate));
        }
        self.members[team].come_back(now, rate, &self.settings, rng)
    }

    /// Forgets some of the teams that are idle.
    fn drop_idle(&mut self, now: Clock) {
        for _ in 0..SWEEP.min(self.members.len()) {
            self.sweep = (self.sweep + 1) % self.members.len();
            let member = &self.members[self.sweep];
            if self.names.get(&member.name) != Some(&self.sweep) {
                continue;
            }
            // While nobody waits, shares mean nothing, and time may stand still.
            let paid = if self.order.weight(0) == 0 {
                u64::MAX
            } else {
                self.order.time(member.level)
            };
            if member.idle(now, paid) {
                self.names.remove(&member.name);
                self.vacant.push(self.sweep);
            }
        }
    }
}
