//! Discrete-event simulation of requests and replicas, and its counters.

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

const ENTRY_COUNT: usize = 4;
const REPLICA_COUNT: usize = 40;
/// Number of concurrent runs with which a replica is full.
const REPLICA_CAPACITY: u32 = 16;
/// Number of prefixes; their frequencies follow Zipf's law.
const PREFIX_COUNT: usize = 300;
/// Number of most recent prefixes that a replica keeps cached.
const CACHED_PREFIXES: usize = 32;
/// Requests that arrive earlier are not counted.
const MEASUREMENT_START: Duration = Duration::from_secs(120);
const SIMULATION_END: Duration = Duration::from_secs(300);
/// Start of the case's fault.
const FAULT_START: Duration = Duration::from_secs(150);
/// Time between two load reports of a replica.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of a load report on arrival.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Minimum age of a cache event on arrival.
const CACHE_EVENT_LAG: Duration = Duration::from_millis(500);
/// Time in which a failing replica responds.
const FAILURE_LATENCY: Duration = Duration::from_millis(5);

/// A fault case.
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

/// Figures over all counted requests.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Requests that were refused or sent to a full replica.
    pub full_replica_percent: f64,
    /// The 99th percentile of the chosen replicas' loads, as shares of their capacity.
    pub load_p99: f64,
    /// Requests sent to a replica that had the prefix cached.
    pub prefix_hit_percent: f64,
    /// Requests that failed.
    pub failed_percent: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
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

/// Counters of one replica.
#[derive(Clone, Default)]
struct Replica {
    running: u32,
    /// Number of runs over time, for delayed load reports.
    running_history: VecDeque<(Clock, u32)>,
    prefixes: VecDeque<u64>,
    /// Cache events that the entries haven't received yet.
    events: VecDeque<(Clock, Event)>,
    seq: u64,
}

impl Replica {
    fn set_running(&mut self, now: Clock, running: u32) {
        self.running = running;
        self.running_history.push_back((now, running));
        while self.running_history.len() > 1 && self.running_history[1].0 + REPORT_LAG <= now {
            self.running_history.pop_front();
        }
    }

    /// Returns the number of runs as it was [`REPORT_LAG`] ago.
    fn lagged_running(&mut self, now: Clock) -> u32 {
        while self.running_history.len() > 1 && self.running_history[1].0 + REPORT_LAG <= now {
            self.running_history.pop_front();
        }
        match self.running_history.front() {
            Some((at, running)) if *at + REPORT_LAG <= now => *running,
            _ => 0,
        }
    }

    /// Caches a prefix; returns whether it was cached already.
    fn cache_prefix(&mut self, now: Clock, prefix: u64) -> bool {
        let known = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(index) = known {
            self.prefixes.remove(index);
        } else {
            self.add_cache_event(now, Kind::Stored, prefix);
        }
        self.prefixes.push_front(prefix);
        if self.prefixes.len() > CACHED_PREFIXES
            && let Some(evicted) = self.prefixes.pop_back()
        {
            self.add_cache_event(now, Kind::Evicted, evicted);
        }
        known.is_some()
    }

    fn add_cache_event(&mut self, now: Clock, kind: Kind, prefix: u64) {
        self.seq += 1;
        let seq = self.seq;
        // One event in ten is lost.
        if !seq.is_multiple_of(10) {
            self.events.push_back((now, Event { seq, kind, prefix }));
        }
    }
}

struct Simulation {
    case: Case,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(Clock, u64, Scheduled)>>,
    sequence: u64,
    entries: Vec<Chooser>,
    replicas: Vec<Replica>,
    cumulative_weights: Vec<f64>,
    loads_met: Vec<f64>,
    full_choices: u32,
    prefix_hits: u32,
    failed: u32,
    requests: u32,
    refused: u32,
}

/// Simulates one case with one policy.
pub fn run(case: Case, policy: Policy, seed: u64) -> Summary {
    let mut simulation = Simulation::new(case, policy, seed);
    while let Some(Reverse((now, _, scheduled))) = simulation.queue.pop() {
        if now >= SIMULATION_END {
            break;
        }
        simulation.handle(now, scheduled);
    }
    simulation.summary()
}

impl Simulation {
    fn new(case: Case, policy: Policy, seed: u64) -> Self {
        let mut cumulative_weights = Vec::new();
        let mut sum = 0.0;
        for rank in 1..=PREFIX_COUNT {
            sum += 1.0 / rank as f64;
            cumulative_weights.push(sum);
        }
        let mut entries = Vec::new();
        for entry in 0..ENTRY_COUNT {
            entries.push(Chooser::new(
                policy,
                REPLICA_COUNT,
                entry * REPLICA_COUNT / ENTRY_COUNT,
            ));
        }
        let mut simulation = Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            sequence: 0,
            entries,
            replicas: vec![Replica::default(); REPLICA_COUNT],
            cumulative_weights,
            loads_met: Vec::new(),
            full_choices: 0,
            prefix_hits: 0,
            failed: 0,
            requests: 0,
            refused: 0,
        };
        simulation.schedule(Clock::ZERO, Scheduled::Arrive);
        simulation.schedule(Clock::ZERO, Scheduled::Report);
        simulation.schedule(FAULT_START, Scheduled::Fault);
        simulation
    }

    fn schedule(&mut self, at: Clock, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, scheduled)));
    }

    fn handle(&mut self, now: Clock, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Arrive => self.arrive(now),
            Scheduled::End {
                entry,
                replica,
                time,
                failed,
            } => {
                let running = self.replicas[replica].running.saturating_sub(1);
                self.replicas[replica].set_running(now, running);
                self.entries[entry].done(now, replica, time, failed);
            }
            Scheduled::Report => self.report(now),
            Scheduled::Fault if self.case == Case::HalfDie => {
                for replica in 0..REPLICA_COUNT / 2 {
                    for entry in &mut self.entries {
                        entry.remove(replica);
                    }
                }
            }
            Scheduled::Fault => {}
        }
    }

    fn arrive(&mut self, now: Clock) {
        let length = self.length();
        let draw = self
            .rng
            .random_range(0.0..self.cumulative_weights[PREFIX_COUNT - 1]);
        let prefix = self.cumulative_weights.partition_point(|sum| *sum <= draw) as u64;
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let chosen = self.entries[entry].choose(now, prefix, &mut self.rng);
        let counted =
            now >= MEASUREMENT_START && (self.case != Case::HalfDie || now >= FAULT_START);
        if counted {
            self.requests += 1;
        }
        match chosen {
            Some(replica) => self.begin(now, entry, replica, prefix, length, counted),
            None => self.refused += u32::from(counted),
        }
        let rate = f64::from(REPLICA_CAPACITY) * REPLICA_COUNT as f64 * self.case.load()
            / MEAN_RUN_SECONDS;
        let gap = -(1.0 - self.rng.random_range(0.0..1.0f64)).ln() / rate;
        self.schedule(now + Duration::from_secs_f64(gap), Scheduled::Arrive);
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
        let failed = self.case == Case::FailsAtOnce && replica == 0 && now >= FAULT_START;
        let chosen_replica = &mut self.replicas[replica];
        let running_before = chosen_replica.running;
        chosen_replica.set_running(now, running_before + 1);
        let cached = chosen_replica.cache_prefix(now, prefix);
        if counted {
            self.loads_met
                .push(f64::from(running_before) / f64::from(REPLICA_CAPACITY));
            self.full_choices += u32::from(running_before >= REPLICA_CAPACITY);
            self.prefix_hits += u32::from(cached);
            self.failed += u32::from(failed);
        }
        let time = if failed { FAILURE_LATENCY } else { length };
        let end = Scheduled::End {
            entry,
            replica,
            time,
            failed,
        };
        self.schedule(now + time, end);
    }

    /// Draws the length of a run: 12 in 100 last one to three minutes, the others 6 s on average.
    fn length(&mut self) -> Duration {
        let seconds = if self.rng.random_bool(0.12) {
            self.rng.random_range(60.0..180.0)
        } else {
            -6.0 * (1.0 - self.rng.random_range(0.0..1.0f64)).ln()
        };
        Duration::from_secs_f64(seconds)
    }

    fn report(&mut self, now: Clock) {
        for index in 0..REPLICA_COUNT {
            let faulty = self.case == Case::ReportsZero && index == 0 && now >= FAULT_START;
            let replica = &mut self.replicas[index];
            let running = if faulty {
                0
            } else {
                replica.lagged_running(now)
            };
            let mut arrived = Vec::new();
            while replica
                .events
                .front()
                .is_some_and(|(at, _)| *at + CACHE_EVENT_LAG <= now)
            {
                arrived.extend(replica.events.pop_front().map(|(_, event)| event));
            }
            for entry in &mut self.entries {
                entry.record_report(now, index, running, REPLICA_CAPACITY, REPORT_LAG);
                for event in &arrived {
                    entry.record_cache_event(now, index, *event);
                }
            }
        }
        self.schedule(now + REPORT_INTERVAL, Scheduled::Report);
    }

    fn summary(mut self) -> Summary {
        self.loads_met.sort_by(f64::total_cmp);
        let all = f64::from(self.requests.max(1));
        let percent = |count: u32| 100.0 * f64::from(count) / all;
        Summary {
            full_replica_percent: percent(self.full_choices + self.refused),
            load_p99: self.loads_met[self.loads_met.len() * 99 / 100],
            prefix_hit_percent: percent(self.prefix_hits),
            failed_percent: percent(self.failed),
        }
    }
}

/// Mean length of a run; see [`Simulation::length`].
const MEAN_RUN_SECONDS: f64 = 0.12 * 120.0 + 0.88 * 6.0;
