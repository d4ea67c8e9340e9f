//! Discrete-event simulation of requests, retries and outages, and its counters.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    time::Duration, //
};

use admission::Ticket;
use names::{
    Clock,
    Team, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::policy::{
    Controller,
    Decision,
    Policy, //
};

/// Number of concurrent runs that the engines serve at full speed.
pub const FULL_SPEED_RUNS: u32 = 400;
/// Longest wait with which the first token is still in time.
pub const MAX_WAIT: Duration = Duration::from_millis(1200);

/// Number of teams.
const TEAM_COUNT: usize = 300;
/// Number of teams that together send half of the requests.
const LARGE_TEAM_COUNT: usize = 5;
/// Attempts of a caller, the first one included.
const MAX_ATTEMPTS: u32 = 6;
/// Mean length of a run; see [`Simulation::length`].
const MEAN_RUN_SECONDS: f64 = 0.12 * 120.0 + 0.88 * 6.0;
/// Requests per second that the capacity can serve.
const CAPACITY_PER_SECOND: f64 = FULL_SPEED_RUNS as f64 / MEAN_RUN_SECONDS;
/// Requests that arrive earlier are not counted.
const MEASUREMENT_START: Duration = Duration::from_secs(120);
const SIMULATION_END: Duration = Duration::from_secs(600);
/// Start and end of the outage.
const OUTAGE_WINDOW: (Duration, Duration) = (Duration::from_secs(200), Duration::from_secs(260));
/// Time between two capacity reports to the entries.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A load case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    Below,
    OneTeam,
    All,
    FourEntries,
    OneBusyEntry,
    Outage,
}

impl Case {
    pub const ALL: [Self; 6] = [
        Self::Below,
        Self::OneTeam,
        Self::All,
        Self::FourEntries,
        Self::OneBusyEntry,
        Self::Outage,
    ];

    /// Share of the requests that arrive at each entry.
    fn entries(self) -> &'static [f64] {
        match self {
            Self::FourEntries => &[0.25; 4],
            Self::OneBusyEntry => &[0.55, 0.15, 0.15, 0.15],
            Self::Below | Self::OneTeam | Self::All | Self::Outage => &[1.0],
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::Below => "90% of capacity",
            Self::OneTeam => "3 times capacity, by one team",
            Self::All => "3 times capacity, by all",
            Self::FourEntries => "the same, over 4 entries",
            Self::OneBusyEntry => "the same, 55% at one of 4",
            Self::Outage => "90%, and 60 s without engines",
        }
    }

    /// Load of a team, as a multiple of the capacity.
    fn demand(self, team: usize) -> f64 {
        let total = match self {
            Self::Below | Self::Outage => 0.9,
            Self::OneTeam if team == 0 => return 2.2,
            Self::OneTeam => 0.8,
            Self::All | Self::FourEntries | Self::OneBusyEntry => 3.0,
        };
        if team < LARGE_TEAM_COUNT {
            total * 0.5 / LARGE_TEAM_COUNT as f64
        } else {
            total * 0.5 / (TEAM_COUNT - LARGE_TEAM_COUNT) as f64
        }
    }
}

/// Figures of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Requests started in time, in percent of the capacity.
    pub goodput_percent: f64,
    /// Requests of small teams started in time, in percent of their fair share.
    pub small_teams_percent: f64,
    /// The 5th percentile of all teams' requests started in time, in percent of their fair shares.
    pub fifth_percentile: f64,
    /// Attempts per request.
    pub attempts: f64,
    /// Time from the end of the outage until goodput is back, in seconds.
    pub recovery_seconds: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    team: usize,
    length: Duration,
    arrived: Clock,
    attempts: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new request of a random team; schedules the next one.
    Arrival,
    Attempt(Request),
    End {
        entry: usize,
        team: usize,
        time: Duration,
    },
    Report,
    Wake(usize),
}

struct Simulation {
    case: Case,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Clock, u64, Event)>>,
    sequence: u64,
    controllers: Vec<Controller>,
    /// Runs of each entry at the last report. The other entries receive them one report later.
    reported_running: Vec<u32>,
    team_names: Vec<Team>,
    cumulative_demand: Vec<f64>,
    waiting: BTreeMap<(usize, Ticket), (Request, Clock)>,
    requests_by_team: Vec<u32>,
    started_by_team: Vec<u32>,
    requests: u32,
    attempts: u32,
    /// Requests started in time, by second.
    in_time_by_second: Vec<u32>,
}

/// Simulates one case with one policy.
pub fn run(case: Case, policy: Policy, seed: u64) -> Summary {
    let mut simulation = Simulation::new(case, policy, seed);
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        if now >= SIMULATION_END {
            break;
        }
        simulation.handle(now, event);
    }
    simulation.summary()
}

impl Simulation {
    fn new(case: Case, policy: Policy, seed: u64) -> Self {
        let mut cumulative_demand = Vec::new();
        let mut sum = 0.0;
        for team in 0..TEAM_COUNT {
            sum += case.demand(team);
            cumulative_demand.push(sum);
        }
        let mut simulation = Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            controllers: case
                .entries()
                .iter()
                .map(|_| Controller::new(policy))
                .collect(),
            reported_running: vec![0; case.entries().len()],
            team_names: (0..TEAM_COUNT).map(|team| format!("team-{team}")).collect(),
            cumulative_demand,
            waiting: BTreeMap::new(),
            requests_by_team: vec![0; TEAM_COUNT],
            started_by_team: vec![0; TEAM_COUNT],
            requests: 0,
            attempts: 0,
            in_time_by_second: vec![0; SIMULATION_END.as_secs() as usize],
        };
        simulation.schedule(Clock::ZERO, Event::Arrival);
        simulation.schedule(Clock::ZERO, Event::Report);
        simulation
    }

    fn schedule(&mut self, at: Clock, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn in_outage(&self, now: Clock) -> bool {
        self.case == Case::Outage && now >= OUTAGE_WINDOW.0 && now < OUTAGE_WINDOW.1
    }

    fn handle(&mut self, now: Clock, event: Event) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Attempt(request) => self.attempt(now, request),
            Event::End { entry, team, time } => {
                self.controllers[entry].finish(&self.team_names[team], time);
                self.tick(now, entry);
            }
            Event::Report => self.report(now),
            Event::Wake(entry) => self.tick(now, entry),
        }
    }

    fn report(&mut self, now: Clock) {
        let capacity = if self.in_outage(now) {
            0
        } else {
            FULL_SPEED_RUNS
        };
        let all: u32 = self.reported_running.iter().sum();
        let entries = self.controllers.len();
        for entry in 0..entries {
            let others = all - self.reported_running[entry];
            self.controllers[entry].report(capacity, others, entries as u32);
            self.tick(now, entry);
        }
        self.reported_running = self.controllers.iter().map(Controller::running).collect();
        self.schedule(now + REPORT_INTERVAL, Event::Report);
    }

    fn arrive(&mut self, now: Clock) {
        let total = self.cumulative_demand[TEAM_COUNT - 1];
        let draw = self.rng.random_range(0.0..total);
        let team = self.cumulative_demand.partition_point(|sum| *sum <= draw);
        let length = self.length();
        if now >= MEASUREMENT_START {
            self.requests += 1;
            self.requests_by_team[team] += 1;
        }
        self.attempt(
            now,
            Request {
                team,
                length,
                arrived: now,
                attempts: 0,
            },
        );
        let gap = -(1.0 - self.rng.random_range(0.0..1.0f64)).ln() / (CAPACITY_PER_SECOND * total);
        self.schedule(now + Duration::from_secs_f64(gap), Event::Arrival);
    }

    fn attempt(&mut self, now: Clock, mut request: Request) {
        request.attempts += 1;
        if request.arrived >= MEASUREMENT_START {
            self.attempts += 1;
        }
        let entry = self.entry();
        let team = &self.team_names[request.team];
        let decision = self.controllers[entry].arrive(now, team, &mut self.rng);
        self.apply(now, entry, now, request, decision);
        if let Some(deadline) = self.controllers[entry].deadline() {
            self.schedule(deadline, Event::Wake(entry));
        }
    }

    /// Draws the entry at which an attempt arrives.
    fn entry(&mut self) -> usize {
        let mut draw = self.rng.random_range(0.0..1.0);
        for (entry, share) in self.case.entries().iter().enumerate() {
            if draw < *share {
                return entry;
            }
            draw -= share;
        }
        0
    }

    /// Applies the decision on an attempt that was made at `attempted_at`.
    fn apply(
        &mut self,
        now: Clock,
        entry: usize,
        attempted_at: Clock,
        request: Request,
        decision: Decision,
    ) {
        match decision {
            Decision::Start => self.start(now, entry, attempted_at, request),
            Decision::Wait(ticket) => {
                self.waiting.insert((entry, ticket), (request, now));
                self.tick(now, entry);
            }
            Decision::Refuse(time) => self.retry(now + time, request),
        }
    }

    fn retry(&mut self, at: Clock, request: Request) {
        if request.attempts < MAX_ATTEMPTS {
            self.schedule(at, Event::Attempt(request));
        }
    }

    fn start(&mut self, now: Clock, entry: usize, attempted_at: Clock, request: Request) {
        if self.in_outage(now) {
            // Without engines the run fails at once, and its caller retries.
            let team = &self.team_names[request.team];
            self.controllers[entry].finish(team, Duration::from_millis(10));
            self.retry(now + Duration::from_secs(1), request);
            return;
        }
        let running: u32 = self.controllers.iter().map(Controller::running).sum();
        let in_time = running <= FULL_SPEED_RUNS && now - attempted_at <= MAX_WAIT;
        if in_time {
            self.in_time_by_second[now.as_secs() as usize] += 1;
            if request.arrived >= MEASUREMENT_START {
                self.started_by_team[request.team] += 1;
            }
        }
        let end = Event::End {
            entry,
            team: request.team,
            time: request.length,
        };
        self.schedule(now + request.length, end);
    }

    fn tick(&mut self, now: Clock, entry: usize) {
        for (ticket, decision) in self.controllers[entry].tick(now, &mut self.rng) {
            if let Some((request, attempted_at)) = self.waiting.remove(&(entry, ticket)) {
                self.apply(now, entry, attempted_at, request, decision);
            }
        }
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

    fn summary(&self) -> Summary {
        let seconds = (SIMULATION_END - MEASUREMENT_START).as_secs_f64();
        let total = CAPACITY_PER_SECOND * seconds;
        let start = MEASUREMENT_START.as_secs() as usize;
        let in_time: u32 = self.in_time_by_second[start..].iter().sum();
        let fair_shares = fair_shares(&self.requests_by_team, total);
        let mut small = (0.0, 0.0);
        let mut shares = Vec::new();
        for (team, fair) in fair_shares.iter().enumerate() {
            if *fair < 1.0 {
                continue;
            }
            let started = f64::from(self.started_by_team[team]).min(*fair);
            shares.push(100.0 * started / fair);
            if team >= LARGE_TEAM_COUNT {
                small = (small.0 + started, small.1 + fair);
            }
        }
        shares.sort_by(f64::total_cmp);
        Summary {
            goodput_percent: 100.0 * f64::from(in_time) / total,
            small_teams_percent: 100.0 * small.0 / small.1,
            fifth_percentile: shares[shares.len() / 20],
            attempts: f64::from(self.attempts) / f64::from(self.requests),
            recovery_seconds: self.recovery(),
        }
    }

    /// Returns the seconds from the end of the outage until, over a window of five seconds, 95 % as
    /// many requests start in time as before it.
    fn recovery(&self) -> f64 {
        let window = |from: usize, to: usize| {
            let sum: u32 = self.in_time_by_second[from..to].iter().sum();
            f64::from(sum) / (to - from) as f64
        };
        let (start, end) = (
            OUTAGE_WINDOW.0.as_secs() as usize,
            OUTAGE_WINDOW.1.as_secs() as usize,
        );
        let before = window(MEASUREMENT_START.as_secs() as usize, start);
        for second in end..self.in_time_by_second.len() - 5 {
            if window(second, second + 5) >= 0.95 * before {
                return (second - end) as f64;
            }
        }
        f64::INFINITY
    }
}

/// Returns the max-min fair share of each team: its demand, or an equal share of the rest if it
/// demands more.
fn fair_shares(requests_by_team: &[u32], total: f64) -> Vec<f64> {
    let mut sorted: Vec<f64> = requests_by_team
        .iter()
        .map(|requests| f64::from(*requests))
        .collect();
    sorted.sort_by(f64::total_cmp);
    let mut remaining = total;
    let mut fair_share = f64::INFINITY;
    for (index, requests) in sorted.iter().enumerate() {
        let share = remaining / (sorted.len() - index) as f64;
        if *requests > share {
            fair_share = share;
            break;
        }
        remaining -= requests;
    }
    requests_by_team
        .iter()
        .map(|requests| f64::from(*requests).min(fair_share))
        .collect()
}
