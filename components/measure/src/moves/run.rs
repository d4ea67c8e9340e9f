//! One move, from its begin to its end, over generated requests in virtual time.

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
        Fate,
        Fault,
        Onset, //
    },
};

/// Entries that take part.
const ENTRIES: usize = 4;

/// The operator's time, in seconds.
const BY: f64 = 3600.0;

/// Tokens after which the time between tokens is known.
const TOKENS: u32 = 50;

/// When a run is given up.
const LAST: f64 = 5400.0;

/// Who sets the share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The production movers.
    Movers,
    /// A baseline.
    Fixed(Rule),
}

/// What came of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Result {
    /// The traffic had moved whole by the operator's time.
    pub in_time: bool,
    /// The new version was taken back.
    pub reverted: bool,
    /// Requests that the new version got since the fault's onset.
    pub bad: u64,
    /// All requests since the fault's onset until the end of the move.
    pub all: u64,
    /// Seconds from the onset to no traffic, if it was taken back.
    pub took: f64,
    /// Calls that wrote to the store.
    pub writes: u32,
}

enum Control {
    Movers(Box<Fleet>),
    Fixed(Baseline),
}

enum What {
    First,
    Between,
    Last,
}

struct Due {
    entry: usize,
    pick: Pick,
    fate: Fate,
    what: What,
}

struct Run {
    case: Case,
    control: Control,
    rng: StdRng,
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    dues: Vec<Option<Due>>,
    free: Vec<usize>,
    full_at: Option<f64>,
    onset: Option<f64>,
    deaths: u64,
    result: Result,
}

/// Runs one move.
pub fn run(case: Case, policy: Policy, seed: u64) -> Result {
    let mut rng = StdRng::seed_from_u64(seed);
    let control = match policy {
        Policy::Movers => Control::Movers(Box::new(Fleet::new(ENTRIES, case.replicas, &mut rng))),
        Policy::Fixed(rule) => Control::Fixed(Baseline::new(rule)),
    };
    let mut run = Run {
        case,
        control,
        rng,
        heap: BinaryHeap::new(),
        dues: Vec::new(),
        free: Vec::new(),
        full_at: None,
        onset: None,
        deaths: 0,
        result: Result::default(),
    };
    run.all();
    run.result
}

impl Run {
    fn all(&mut self) {
        let mut next = 0.0;
        let mut tick = 0.0;
        while tick < LAST {
            while next < tick {
                self.until(next);
                self.arrive(next);
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.case.rate;
                next += gap;
            }
            self.until(tick);
            if self.tick(tick) {
                return;
            }
            tick += 1.0;
        }
    }

    fn active(&self, now: f64) -> bool {
        match self.case.onset {
            Onset::AtOnce => true,
            Onset::Later => now >= 600.0,
            Onset::AfterFull => self.full_at.is_some_and(|full| now >= full + 120.0),
        }
    }

    fn arrive(&mut self, now: f64) {
        let entry = self.rng.random_range(0..ENTRIES);
        let route = traffic::route(&mut self.rng);
        let hash = self.rng.random();
        let pick = self.pick(entry, route, hash, now);
        let new = pick.side == Side::New;
        let active = self.active(now);
        let load = match &self.control {
            Control::Movers(fleet) => fleet.load(self.case.replicas),
            Control::Fixed(fixed) => fixed.share,
        };
        let fate = self.case.draw(new, route, active, load, now, &mut self.rng);
        let harmful = self.case.fault != Fault::UnderLoad || load >= 0.8;
        if active && harmful && self.case.fault.is_bad() {
            if new && self.onset.is_none() {
                self.onset = Some(now);
            }
            if self.onset.is_some() {
                self.result.all += 1;
                self.result.bad += u64::from(new);
            }
        }
        self.later(
            now + fate.first.as_secs_f64(),
            entry,
            &pick,
            fate,
            What::First,
        );
        let some = (fate.first + fate.between * TOKENS).min(fate.lasts);
        self.later(now + some.as_secs_f64(), entry, &pick, fate, What::Between);
        self.later(
            now + fate.lasts.as_secs_f64(),
            entry,
            &pick,
            fate,
            What::Last,
        );
    }

    fn later(&mut self, at: f64, entry: usize, pick: &Pick, fate: Fate, what: What) {
        if !matches!(what, What::Last) && fate.first > fate.lasts {
            return;
        }
        let due = Due {
            entry,
            pick: pick.clone(),
            fate,
            what,
        };
        let place = match self.free.pop() {
            Some(place) => place,
            None => {
                self.dues.push(None);
                self.dues.len() - 1
            }
        };
        self.dues[place] = Some(due);
        self.heap.push(Reverse(((at * 1e6) as u64, place)));
    }

    fn until(&mut self, now: f64) {
        while let Some(Reverse((at, place))) = self.heap.peek().copied() {
            let at = at as f64 / 1e6;
            if at > now {
                return;
            }
            self.heap.pop();
            self.free.push(place);
            let due = self.dues[place].take().expect("a due event is kept");
            self.happen(&due, at);
        }
    }

    fn happen(&mut self, due: &Due, now: f64) {
        match (&mut self.control, &due.what) {
            (Control::Movers(fleet), What::First) => {
                fleet.first(due.entry, &due.pick, &due.fate, now, &mut self.rng);
            }
            (Control::Movers(fleet), What::Between) => {
                fleet.between(due.entry, &due.pick, &due.fate, now, &mut self.rng);
            }
            (Control::Movers(fleet), What::Last) => {
                fleet.finished(due.entry, &due.pick, &due.fate, now, &mut self.rng);
            }
            (Control::Fixed(_), What::First | What::Between) => {}
            (Control::Fixed(fixed), What::Last) => fixed.finished(&due.pick, &due.fate, now),
        }
    }

    fn pick(&self, entry: usize, route: usize, hash: u64, now: f64) -> Pick {
        match &self.control {
            Control::Movers(fleet) => fleet.pick(entry, route, hash, now),
            Control::Fixed(fixed) => fixed.pick(route, hash),
        }
    }

    /// Lets a second pass; tells whether the move has ended.
    fn tick(&mut self, now: f64) -> bool {
        self.beside(now);
        let (share, full, end) = match &mut self.control {
            Control::Movers(fleet) => {
                fleet.tick(now, &mut self.rng);
                self.result.writes = fleet.writes;
                (fleet.share(), fleet.is_full(), fleet.end())
            }
            Control::Fixed(fixed) => {
                fixed.tick(now);
                let end = match fixed.reverted {
                    true => Some(End::Reverted),
                    false => (now >= BY + 900.0).then_some(End::Done),
                };
                (fixed.share, fixed.share >= 1.0, end)
            }
        };
        if full && self.full_at.is_none() {
            self.full_at = Some(now);
        }
        if now <= BY {
            self.result.in_time = full;
        }
        let gone = share == 0.0 && self.onset.is_some();
        if gone && self.result.took == 0.0 {
            self.result.took = now - self.onset.unwrap_or(now);
        }
        self.result.reverted = end == Some(End::Reverted);
        end.is_some()
    }

    /// Faults that aren't the version's.
    fn beside(&mut self, now: f64) {
        let second = now as u64;
        let minutes = (900..2700).contains(&second);
        match self.case.fault {
            Fault::Poison if minutes && second.is_multiple_of(30) => self.poison(now),
            Fault::Repeated if minutes && second.is_multiple_of(20) => self.repeated(now),
            Fault::LostHost if second == 1500 || second == 1530 => {
                let explained = second == 1530;
                self.died(1, explained, Cause::HostLoss, now);
            }
            _ => {}
        }
    }

    fn poison(&mut self, now: f64) {
        // The first two servers are lost before the request is known for what it is.
        self.deaths += 1;
        if self.deaths > 2 {
            return;
        }
        self.died(self.deaths, false, Cause::Poison, now);
        if self.deaths == 2 {
            self.died(1, true, Cause::Poison, now);
            self.died(2, true, Cause::Poison, now);
        }
    }

    fn died(&mut self, run: u64, explained: bool, cause: Cause, now: f64) {
        // Always the smallest hash, so that it falls to the new version as soon as any does.
        let pick = self.pick(0, 0, 1, now);
        if let Control::Movers(fleet) = &mut self.control {
            let cause = if explained { cause } else { Cause::Unexplained };
            fleet.died(0, &pick, run, cause, now);
        }
    }

    fn repeated(&mut self, now: f64) {
        let entry = self.rng.random_range(0..ENTRIES);
        let pick = self.pick(entry, 0, 1, now);
        let mut fate = self.case.draw(false, 0, false, 0.0, now, &mut self.rng);
        fate.fails = true;
        self.later(now + 0.5, entry, &pick, fate, What::Last);
    }
}
