//! Simulates one move from start to end, over generated requests in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use moves::{
    Side,
    evidence::Cause,
    outcome::End,
    step::Pick, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    baseline::{
        Baseline,
        Rule, //
    },
    fleet::Fleet,
    traffic::{
        self,
        Case,
        Fault,
        Onset,
        RequestResult, //
    },
};

/// Number of entries.
const ENTRY_COUNT: usize = 4;

/// Time by which the operator wants the move completed; see [`super::fleet::plan`].
const DEADLINE_SECONDS: f64 = 3600.0;

/// Number of tokens after which the time between tokens is reported.
const TOKENS_UNTIL_BETWEEN: u32 = 50;

/// Virtual time at which a simulation ends even if the move hasn't.
const END_SECONDS: f64 = 5400.0;

/// What sets the new version's share of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The production movers.
    Movers,
    /// A baseline.
    Fixed(Rule),
}

/// Outcome of one simulated move.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Whether all traffic had moved by the operator's deadline.
    pub in_time: bool,
    /// Whether the new version was reverted.
    pub reverted: bool,
    /// Requests to the new version since the fault's onset.
    pub bad_requests: u64,
    /// All requests from the fault's onset to the end of the move.
    pub requests: u64,
    /// Seconds from the onset until the new version gets no more traffic; 0 if that doesn't happen.
    pub revert_seconds: f64,
    /// Number of writes to the store, accepted or refused.
    pub writes: u32,
}

enum Control {
    Movers(Box<Fleet>),
    Fixed(Baseline),
}

/// A milestone of a request.
enum Milestone {
    First,
    Between,
    Last,
}

struct Pending {
    entry: usize,
    pick: Pick,
    result: RequestResult,
    milestone: Milestone,
}

struct Simulation {
    case: Case,
    control: Control,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    slots: Vec<Option<Pending>>,
    free_slots: Vec<usize>,
    full_since: Option<f64>,
    onset: Option<f64>,
    deaths: u64,
    outcome: Outcome,
}

/// Simulates one move; the same seed gives the same result.
pub fn simulate(case: Case, policy: Policy, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let control = match policy {
        Policy::Movers => {
            Control::Movers(Box::new(Fleet::new(ENTRY_COUNT, case.replicas, &mut rng)))
        }
        Policy::Fixed(rule) => Control::Fixed(Baseline::new(rule)),
    };
    let mut simulation = Simulation {
        case,
        control,
        rng,
        queue: BinaryHeap::new(),
        slots: Vec::new(),
        free_slots: Vec::new(),
        full_since: None,
        onset: None,
        deaths: 0,
        outcome: Outcome::default(),
    };
    simulation.drive();
    simulation.outcome
}

impl Simulation {
    fn drive(&mut self) {
        let mut next = 0.0;
        let mut tick = 0.0;
        while tick < END_SECONDS {
            while next < tick {
                self.deliver_until(next);
                self.arrive(next);
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.case.rate;
                next += gap;
            }
            self.deliver_until(tick);
            if self.tick(tick) {
                return;
            }
            tick += 1.0;
        }
    }

    fn is_fault_active(&self, now: f64) -> bool {
        match self.case.onset {
            Onset::AtOnce => true,
            Onset::Later => now >= 600.0,
            Onset::AfterFull => self.full_since.is_some_and(|full| now >= full + 120.0),
        }
    }

    fn arrive(&mut self, now: f64) {
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let route = traffic::route(&mut self.rng);
        let hash = self.rng.random();
        let pick = self.pick(entry, route, hash, now);
        let new = pick.side == Side::New;
        let active = self.is_fault_active(now);
        let load = match &self.control {
            Control::Movers(fleet) => fleet.load(self.case.replicas),
            Control::Fixed(fixed) => fixed.share,
        };
        let result = self.case.draw(new, route, active, load, now, &mut self.rng);
        let harmful = self.case.fault != Fault::UnderLoad || load >= 0.8;
        if active && harmful && self.case.fault.is_bad() {
            if new && self.onset.is_none() {
                self.onset = Some(now);
            }
            if self.onset.is_some() {
                self.outcome.requests += 1;
                self.outcome.bad_requests += u64::from(new);
            }
        }
        self.schedule(
            now + result.first.as_secs_f64(),
            entry,
            &pick,
            result,
            Milestone::First,
        );
        let until_between =
            (result.first + result.between * TOKENS_UNTIL_BETWEEN).min(result.duration);
        self.schedule(
            now + until_between.as_secs_f64(),
            entry,
            &pick,
            result,
            Milestone::Between,
        );
        self.schedule(
            now + result.duration.as_secs_f64(),
            entry,
            &pick,
            result,
            Milestone::Last,
        );
    }

    fn schedule(
        &mut self,
        at: f64,
        entry: usize,
        pick: &Pick,
        result: RequestResult,
        milestone: Milestone,
    ) {
        if !matches!(milestone, Milestone::Last) && result.first > result.duration {
            return;
        }
        let pending = Pending {
            entry,
            pick: pick.clone(),
            result,
            milestone,
        };
        let slot = match self.free_slots.pop() {
            Some(slot) => slot,
            None => {
                self.slots.push(None);
                self.slots.len() - 1
            }
        };
        self.slots[slot] = Some(pending);
        self.queue.push(Reverse(((at * 1e6) as u64, slot)));
    }

    /// Delivers the milestones that are due by `now`.
    fn deliver_until(&mut self, now: f64) {
        while let Some(Reverse((at, slot))) = self.queue.peek().copied() {
            let at = at as f64 / 1e6;
            if at > now {
                return;
            }
            self.queue.pop();
            self.free_slots.push(slot);
            let pending = self.slots[slot].take().expect("a due event is kept");
            self.deliver(&pending, at);
        }
    }

    fn deliver(&mut self, pending: &Pending, now: f64) {
        match (&mut self.control, &pending.milestone) {
            (Control::Movers(fleet), Milestone::First) => {
                fleet.first(
                    pending.entry,
                    &pending.pick,
                    &pending.result,
                    now,
                    &mut self.rng,
                );
            }
            (Control::Movers(fleet), Milestone::Between) => {
                fleet.between(
                    pending.entry,
                    &pending.pick,
                    &pending.result,
                    now,
                    &mut self.rng,
                );
            }
            (Control::Movers(fleet), Milestone::Last) => {
                fleet.finished(
                    pending.entry,
                    &pending.pick,
                    &pending.result,
                    now,
                    &mut self.rng,
                );
            }
            (Control::Fixed(_), Milestone::First | Milestone::Between) => {}
            (Control::Fixed(fixed), Milestone::Last) => {
                fixed.finished(&pending.pick, &pending.result, now)
            }
        }
    }

    fn pick(&self, entry: usize, route: usize, hash: u64, now: f64) -> Pick {
        match &self.control {
            Control::Movers(fleet) => fleet.pick(entry, route, hash, now),
            Control::Fixed(fixed) => fixed.pick(route, hash),
        }
    }

    /// Advances the movers or the baseline by a second; returns whether the move has ended.
    fn tick(&mut self, now: f64) -> bool {
        self.inject_external_fault(now);
        let (share, full, end) = match &mut self.control {
            Control::Movers(fleet) => {
                fleet.tick(now, &mut self.rng);
                self.outcome.writes = fleet.writes;
                (fleet.share(), fleet.is_full(), fleet.end())
            }
            Control::Fixed(fixed) => {
                fixed.tick(now);
                let end = match fixed.reverted {
                    true => Some(End::Reverted),
                    false => (now >= DEADLINE_SECONDS + 900.0).then_some(End::Done),
                };
                (fixed.share, fixed.share >= 1.0, end)
            }
        };
        if full && self.full_since.is_none() {
            self.full_since = Some(now);
        }
        if now <= DEADLINE_SECONDS {
            self.outcome.in_time = full;
        }
        let no_traffic = share == 0.0 && self.onset.is_some();
        if no_traffic && self.outcome.revert_seconds == 0.0 {
            self.outcome.revert_seconds = now - self.onset.unwrap_or(now);
        }
        self.outcome.reverted = end == Some(End::Reverted);
        end.is_some()
    }

    /// Injects faults that are not the new version's.
    fn inject_external_fault(&mut self, now: f64) {
        let second = now as u64;
        let in_window = (900..2700).contains(&second);
        match self.case.fault {
            Fault::Poison if in_window && second.is_multiple_of(30) => self.poison(now),
            Fault::Repeated if in_window && second.is_multiple_of(20) => self.fail_repeated(now),
            Fault::LostHost if second == 1500 || second == 1530 => {
                let explained = second == 1530;
                self.report_death(1, explained, Cause::HostLoss, now);
            }
            _ => {}
        }
    }

    fn poison(&mut self, now: f64) {
        // The first two servers die before the request is identified as poisonous; both deaths are
        // then explained.
        self.deaths += 1;
        if self.deaths > 2 {
            return;
        }
        self.report_death(self.deaths, false, Cause::Poison, now);
        if self.deaths == 2 {
            self.report_death(1, true, Cause::Poison, now);
            self.report_death(2, true, Cause::Poison, now);
        }
    }

    fn report_death(&mut self, run: u64, explained: bool, cause: Cause, now: f64) {
        // The smallest hash goes to the new version as soon as any request does.
        let pick = self.pick(0, 0, 1, now);
        if let Control::Movers(fleet) = &mut self.control {
            let cause = if explained { cause } else { Cause::Unexplained };
            fleet.died(0, &pick, run, cause, now);
        }
    }

    /// Reports a failure of the request that fails on every server.
    fn fail_repeated(&mut self, now: f64) {
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let pick = self.pick(entry, 0, 1, now);
        let mut result = self.case.draw(false, 0, false, 0.0, now, &mut self.rng);
        result.fails = true;
        self.schedule(now + 0.5, entry, &pick, result, Milestone::Last);
    }
}
