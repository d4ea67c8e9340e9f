//! The events, and what a choice meets.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    time::Duration, //
};

use names::Clock;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use routing::{
    Event,
    Kind, //
};

use super::policy::{
    Chooser,
    Policy, //
};

const ENTRIES: usize = 4;
const REPLICAS: usize = 40;
const CAPACITY: u32 = 16;
/// Prefixes, used by Zipf's law.
const PREFIXES: usize = 300;
/// Prefixes that count as being lately at a replica.
const KEPT: usize = 32;
/// What comes before this time is not counted.
const BEGIN: Duration = Duration::from_secs(120);
const END: Duration = Duration::from_secs(300);
/// When the case's fault begins.
const FAULT: Duration = Duration::from_secs(150);
const REPORTS: Duration = Duration::from_secs(1);
const LAG: Duration = Duration::from_secs(1);
const EVENT_LAG: Duration = Duration::from_millis(500);
/// Time in which a failing replica answers.
const FAILS_IN: Duration = Duration::from_millis(5);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    Steady,
    FailsAtOnce,
    ReportsZero,
    HalfDie,
}

impl Case {
    pub const ALL: [Self; 4] = [
        Self::Steady,
        Self::FailsAtOnce,
        Self::ReportsZero,
        Self::HalfDie,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady, 70% of capacity",
            Self::FailsAtOnce => "one replica fails at once",
            Self::ReportsZero => "one replica reports no load",
            Self::HalfDie => "half die at 45% of capacity",
        }
    }

    fn load(self) -> f64 {
        match self {
            Self::HalfDie => 0.45,
            Self::Steady | Self::FailsAtOnce | Self::ReportsZero => 0.7,
        }
    }
}

/// What was met, over all counted requests.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub full_percent: f64,
    pub load_met: f64,
    pub prefix_percent: f64,
    pub failed_percent: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    End {
        entry: usize,
        replica: usize,
        time: Duration,
        failed: bool,
    },
    Report,
    Fault,
}

/// What is counted of a replica.
#[derive(Clone, Default)]
struct Replica {
    running: u32,
    /// Number of runs over time, for readings that lag.
    levels: VecDeque<(Clock, u32)>,
    prefixes: VecDeque<u64>,
    /// Cache events that entries don't know yet.
    events: VecDeque<(Clock, Event)>,
    seq: u64,
}

impl Replica {
    fn set(&mut self, now: Clock, running: u32) {
        self.running = running;
        self.levels.push_back((now, running));
        while self.levels.len() > 1 && self.levels[1].0 + LAG <= now {
            self.levels.pop_front();
        }
    }

    /// Number of runs as it was when the reading was taken.
    fn reading(&mut self, now: Clock) -> u32 {
        while self.levels.len() > 1 && self.levels[1].0 + LAG <= now {
            self.levels.pop_front();
        }
        match self.levels.front() {
            Some((at, running)) if *at + LAG <= now => *running,
            _ => 0,
        }
    }

    /// Notes a prefix; tells whether it was there lately.
    fn prefix(&mut self, now: Clock, prefix: u64) -> bool {
        let known = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(place) = known {
            self.prefixes.remove(place);
        } else {
            self.note(now, Kind::Stored, prefix);
        }
        self.prefixes.push_front(prefix);
        if self.prefixes.len() > KEPT
            && let Some(gone) = self.prefixes.pop_back()
        {
            self.note(now, Kind::Evicted, gone);
        }
        known.is_some()
    }

    fn note(&mut self, now: Clock, kind: Kind, prefix: u64) {
        self.seq += 1;
        let seq = self.seq;
        // One in ten is lost.
        if !seq.is_multiple_of(10) {
            self.events.push_back((now, Event { seq, kind, prefix }));
        }
    }
}

struct Run {
    case: Case,
    rng: StdRng,
    steps: BinaryHeap<Reverse<(Clock, u64, Step)>>,
    number: u64,
    entries: Vec<Chooser>,
    replicas: Vec<Replica>,
    zipf: Vec<f64>,
    loads: Vec<f64>,
    full: u32,
    prefixes: u32,
    failed: u32,
    requests: u32,
    refused: u32,
}

/// Runs one case with one policy.
pub fn run(case: Case, policy: Policy, seed: u64) -> Seen {
    let mut run = Run::new(case, policy, seed);
    while let Some(Reverse((now, _, step))) = run.steps.pop() {
        if now >= END {
            break;
        }
        run.step(now, step);
    }
    run.seen()
}

impl Run {
    fn new(case: Case, policy: Policy, seed: u64) -> Self {
        let mut zipf = Vec::new();
        let mut sum = 0.0;
        for rank in 1..=PREFIXES {
            sum += 1.0 / rank as f64;
            zipf.push(sum);
        }
        let mut entries = Vec::new();
        for entry in 0..ENTRIES {
            entries.push(Chooser::new(policy, REPLICAS, entry * REPLICAS / ENTRIES));
        }
        let mut run = Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            number: 0,
            entries,
            replicas: vec![Replica::default(); REPLICAS],
            zipf,
            loads: Vec::new(),
            full: 0,
            prefixes: 0,
            failed: 0,
            requests: 0,
            refused: 0,
        };
        run.at(Clock::ZERO, Step::Arrive);
        run.at(Clock::ZERO, Step::Report);
        run.at(FAULT, Step::Fault);
        run
    }

    fn at(&mut self, at: Clock, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at, self.number, step)));
    }

    fn step(&mut self, now: Clock, step: Step) {
        match step {
            Step::Arrive => self.arrive(now),
            Step::End {
                entry,
                replica,
                time,
                failed,
            } => {
                let running = self.replicas[replica].running.saturating_sub(1);
                self.replicas[replica].set(now, running);
                self.entries[entry].done(now, replica, time, failed);
            }
            Step::Report => self.report(now),
            Step::Fault if self.case == Case::HalfDie => {
                for replica in 0..REPLICAS / 2 {
                    for entry in &mut self.entries {
                        entry.gone(replica);
                    }
                }
            }
            Step::Fault => {}
        }
    }

    fn arrive(&mut self, now: Clock) {
        let length = self.length();
        let draw = self.rng.random_range(0.0..self.zipf[PREFIXES - 1]);
        let prefix = self.zipf.partition_point(|sum| *sum <= draw) as u64;
        let entry = self.rng.random_range(0..ENTRIES);
        let chosen = self.entries[entry].choose(now, prefix, &mut self.rng);
        let counted = now >= BEGIN && (self.case != Case::HalfDie || now >= FAULT);
        if counted {
            self.requests += 1;
        }
        match chosen {
            Some(replica) => self.begin(now, entry, replica, prefix, length, counted),
            None => self.refused += u32::from(counted),
        }
        let rate = f64::from(CAPACITY) * REPLICAS as f64 * self.case.load() / MEAN;
        let gap = -(1.0 - self.rng.random_range(0.0..1.0f64)).ln() / rate;
        self.at(now + Duration::from_secs_f64(gap), Step::Arrive);
    }

    fn begin(
        &mut self,
        now: Clock,
        entry: usize,
        replica: usize,
        prefix: u64,
        length: Duration,
        counted: bool,
    ) {
        let failed = self.case == Case::FailsAtOnce && replica == 0 && now >= FAULT;
        let there = &mut self.replicas[replica];
        let met = there.running;
        there.set(now, met + 1);
        let lately = there.prefix(now, prefix);
        if counted {
            self.loads.push(f64::from(met) / f64::from(CAPACITY));
            self.full += u32::from(met >= CAPACITY);
            self.prefixes += u32::from(lately);
            self.failed += u32::from(failed);
        }
        let time = if failed { FAILS_IN } else { length };
        let end = Step::End {
            entry,
            replica,
            time,
            failed,
        };
        self.at(now + time, end);
    }

    /// 12 in 100 run minutes.
    fn length(&mut self) -> Duration {
        let seconds = if self.rng.random_bool(0.12) {
            self.rng.random_range(60.0..180.0)
        } else {
            -6.0 * (1.0 - self.rng.random_range(0.0..1.0f64)).ln()
        };
        Duration::from_secs_f64(seconds)
    }

    fn report(&mut self, now: Clock) {
        for number in 0..REPLICAS {
            let wrong = self.case == Case::ReportsZero && number == 0 && now >= FAULT;
            let replica = &mut self.replicas[number];
            let running = if wrong { 0 } else { replica.reading(now) };
            let mut due = Vec::new();
            while replica
                .events
                .front()
                .is_some_and(|(at, _)| *at + EVENT_LAG <= now)
            {
                due.extend(replica.events.pop_front().map(|(_, event)| event));
            }
            for entry in &mut self.entries {
                entry.learn(now, number, running, CAPACITY, LAG);
                for event in &due {
                    entry.cached(now, number, *event);
                }
            }
        }
        self.at(now + REPORTS, Step::Report);
    }

    fn seen(mut self) -> Seen {
        self.loads.sort_by(f64::total_cmp);
        let all = f64::from(self.requests.max(1));
        let percent = |count: u32| 100.0 * f64::from(count) / all;
        Seen {
            full_percent: percent(self.full + self.refused),
            load_met: self.loads[self.loads.len() * 99 / 100],
            prefix_percent: percent(self.prefixes),
            failed_percent: percent(self.failed),
        }
    }
}

/// Mean length of a run, in seconds.
const MEAN: f64 = 0.12 * 120.0 + 0.88 * 6.0;
