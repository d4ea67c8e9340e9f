//! The events, and what is counted.

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
    Answer,
    Door,
    Policy, //
};

/// Runs that engines serve at full speed.
pub const CAPACITY: u32 = 400;
/// Longest wait with which the first token is in time.
pub const PATIENCE: Duration = Duration::from_millis(1200);

const TEAMS: usize = 300;
const LARGE: usize = 5;
const TRIES: u32 = 6;
/// Mean length of a run, in seconds.
const MEAN: f64 = 0.12 * 120.0 + 0.88 * 6.0;
/// Requests that capacity can serve in a second.
const RATE: f64 = CAPACITY as f64 / MEAN;
const BEGIN: Duration = Duration::from_secs(120);
const END: Duration = Duration::from_secs(600);
const OUTAGE: (Duration, Duration) = (Duration::from_secs(200), Duration::from_secs(260));
const REPORTS: Duration = Duration::from_secs(1);

/// What load comes.
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

    /// Share of the requests that comes to each entry.
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

    /// Share of capacity that a team asks for.
    fn demand(self, team: usize) -> f64 {
        let whole = match self {
            Self::Below | Self::Outage => 0.9,
            Self::OneTeam if team == 0 => return 2.2,
            Self::OneTeam => 0.8,
            Self::All | Self::FourEntries | Self::OneBusyEntry => 3.0,
        };
        if team < LARGE {
            whole * 0.5 / LARGE as f64
        } else {
            whole * 0.5 / (TEAMS - LARGE) as f64
        }
    }
}

/// What was counted.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub goodput_percent: f64,
    pub small_percent: f64,
    pub low_percent: f64,
    pub tries: f64,
    pub recovery: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    team: usize,
    length: Duration,
    came: Clock,
    tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A new request of some team, and the next one.
    Fresh,
    Try(Request),
    End {
        entry: usize,
        team: usize,
        time: Duration,
    },
    Report,
    Wake(usize),
}

struct Run {
    case: Case,
    rng: StdRng,
    steps: BinaryHeap<Reverse<(Clock, u64, Step)>>,
    number: u64,
    doors: Vec<Door>,
    /// Runs of each entry when the last reports were made: the others hear of them late.
    before: Vec<u32>,
    names: Vec<Team>,
    demands: Vec<f64>,
    waiting: BTreeMap<(usize, Ticket), (Request, Clock)>,
    asked: Vec<u32>,
    served: Vec<u32>,
    requests: u32,
    tries: u32,
    /// Requests begun in time, by second.
    good: Vec<u32>,
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
        let mut demands = Vec::new();
        let mut sum = 0.0;
        for team in 0..TEAMS {
            sum += case.demand(team);
            demands.push(sum);
        }
        let mut run = Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            number: 0,
            doors: case.entries().iter().map(|_| Door::new(policy)).collect(),
            before: vec![0; case.entries().len()],
            names: (0..TEAMS).map(|team| format!("team-{team}")).collect(),
            demands,
            waiting: BTreeMap::new(),
            asked: vec![0; TEAMS],
            served: vec![0; TEAMS],
            requests: 0,
            tries: 0,
            good: vec![0; END.as_secs() as usize],
        };
        run.at(Clock::ZERO, Step::Fresh);
        run.at(Clock::ZERO, Step::Report);
        run
    }

    fn at(&mut self, at: Clock, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at, self.number, step)));
    }

    fn out(&self, now: Clock) -> bool {
        self.case == Case::Outage && now >= OUTAGE.0 && now < OUTAGE.1
    }

    fn step(&mut self, now: Clock, step: Step) {
        match step {
            Step::Fresh => self.fresh(now),
            Step::Try(request) => self.attempt(now, request),
            Step::End { entry, team, time } => {
                self.doors[entry].finish(&self.names[team], time);
                self.tick(now, entry);
            }
            Step::Report => self.report(now),
            Step::Wake(entry) => self.tick(now, entry),
        }
    }

    fn report(&mut self, now: Clock) {
        let capacity = if self.out(now) { 0 } else { CAPACITY };
        let all: u32 = self.before.iter().sum();
        let entries = self.doors.len();
        for entry in 0..entries {
            let others = all - self.before[entry];
            self.doors[entry].report(capacity, others, entries as u32);
            self.tick(now, entry);
        }
        self.before = self.doors.iter().map(Door::running).collect();
        self.at(now + REPORTS, Step::Report);
    }

    fn fresh(&mut self, now: Clock) {
        let whole = self.demands[TEAMS - 1];
        let draw = self.rng.random_range(0.0..whole);
        let team = self.demands.partition_point(|sum| *sum <= draw);
        let length = self.length();
        if now >= BEGIN {
            self.requests += 1;
            self.asked[team] += 1;
        }
        self.attempt(
            now,
            Request {
                team,
                length,
                came: now,
                tries: 0,
            },
        );
        let gap = -(1.0 - self.rng.random_range(0.0..1.0f64)).ln() / (RATE * whole);
        self.at(now + Duration::from_secs_f64(gap), Step::Fresh);
    }

    fn attempt(&mut self, now: Clock, mut request: Request) {
        request.tries += 1;
        if request.came >= BEGIN {
            self.tries += 1;
        }
        let entry = self.entry();
        let team = &self.names[request.team];
        let answer = self.doors[entry].arrive(now, team, &mut self.rng);
        self.answer(now, entry, now, request, answer);
        if let Some(deadline) = self.doors[entry].deadline() {
            self.at(deadline, Step::Wake(entry));
        }
    }

    /// The entry that a try comes to.
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

    /// Takes an answer to a try that was made at `tried`.
    fn answer(&mut self, now: Clock, entry: usize, tried: Clock, request: Request, answer: Answer) {
        match answer {
            Answer::Begin => self.begin(now, entry, tried, request),
            Answer::Wait(ticket) => {
                self.waiting.insert((entry, ticket), (request, now));
                self.tick(now, entry);
            }
            Answer::Refuse(time) => self.again(now + time, request),
        }
    }

    fn again(&mut self, at: Clock, request: Request) {
        if request.tries < TRIES {
            self.at(at, Step::Try(request));
        }
    }

    fn begin(&mut self, now: Clock, entry: usize, tried: Clock, request: Request) {
        if self.out(now) {
            // There is no engine: it fails at once, and its caller tries again.
            let team = &self.names[request.team];
            self.doors[entry].finish(team, Duration::from_millis(10));
            self.again(now + Duration::from_secs(1), request);
            return;
        }
        let running: u32 = self.doors.iter().map(Door::running).sum();
        let good = running <= CAPACITY && now - tried <= PATIENCE;
        if good {
            self.good[now.as_secs() as usize] += 1;
            if request.came >= BEGIN {
                self.served[request.team] += 1;
            }
        }
        let end = Step::End {
            entry,
            team: request.team,
            time: request.length,
        };
        self.at(now + request.length, end);
    }

    fn tick(&mut self, now: Clock, entry: usize) {
        for (ticket, answer) in self.doors[entry].tick(now, &mut self.rng) {
            if let Some((request, tried)) = self.waiting.remove(&(entry, ticket)) {
                self.answer(now, entry, tried, request, answer);
            }
        }
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

    fn seen(&self) -> Seen {
        let seconds = (END - BEGIN).as_secs_f64();
        let whole = RATE * seconds;
        let begin = BEGIN.as_secs() as usize;
        let good: u32 = self.good[begin..].iter().sum();
        let due = due(&self.asked, whole);
        let mut small = (0.0, 0.0);
        let mut shares = Vec::new();
        for (team, due) in due.iter().enumerate() {
            if *due < 1.0 {
                continue;
            }
            let served = f64::from(self.served[team]).min(*due);
            shares.push(100.0 * served / due);
            if team >= LARGE {
                small = (small.0 + served, small.1 + due);
            }
        }
        shares.sort_by(f64::total_cmp);
        Seen {
            goodput_percent: 100.0 * f64::from(good) / whole,
            small_percent: 100.0 * small.0 / small.1,
            low_percent: shares[shares.len() / 20],
            tries: f64::from(self.tries) / f64::from(self.requests),
            recovery: self.recovery(),
        }
    }

    /// Seconds from the outage's end until over five seconds as much began in time as before it.
    fn recovery(&self) -> f64 {
        let window = |from: usize, to: usize| {
            let sum: u32 = self.good[from..to].iter().sum();
            f64::from(sum) / (to - from) as f64
        };
        let (start, end) = (OUTAGE.0.as_secs() as usize, OUTAGE.1.as_secs() as usize);
        let before = window(BEGIN.as_secs() as usize, start);
        for second in end..self.good.len() - 5 {
            if window(second, second + 5) >= 0.95 * before {
                return (second - end) as f64;
            }
        }
        f64::INFINITY
    }
}

/// What each team is due when the whole is shared evenly: what it asks for, or else the same as
/// every other one that asks for more.
fn due(asked: &[u32], whole: f64) -> Vec<f64> {
    let mut sorted: Vec<f64> = asked.iter().map(|asked| f64::from(*asked)).collect();
    sorted.sort_by(f64::total_cmp);
    let mut left = whole;
    let mut level = f64::INFINITY;
    for (place, asked) in sorted.iter().enumerate() {
        let share = left / (sorted.len() - place) as f64;
        if *asked > share {
            level = share;
            break;
        }
        left -= asked;
    }
    asked
        .iter()
        .map(|asked| f64::from(*asked).min(level))
        .collect()
}
