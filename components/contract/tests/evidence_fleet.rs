//! Evidence of many processes in virtual time: prompt parts that crash servers beside sound requests,
//! with late news, restarts and failures of whole data centres.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use contract::poison::{
    Fingerprint,
    evidence::{
        Evidence,
        LIFE_SIGN,
        Observation,
        PROBATION,
        Report,
        ServerId,
        ServiceId,
        Stage,
        Subject, //
    },
    trial::{
        Arbiter,
        Permit, //
    },
};
use names::Clock;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

const SERVICE: ServiceId = 1;

/// Time within which all processes hear of a crash, as it is promised.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Crashes after which requests with a harmful part must be refused, and those that may still be
/// sent later than [`CONTACT_TIME`] after.
const CRASH_BOUND: usize = 5;
const MAX_LATE_SENDS: usize = 3;

/// Number of seeds of each case, unless the variable `EVIDENCE_SEEDS` gives another one.
const SEED_COUNT: u64 = 3;

const STEP: Duration = Duration::from_millis(10);

/// Interval at which a report is sent again, as datagrams may be lost, and how often.
const REPEATS: (Duration, u32) = (Duration::from_millis(500), 6);

/// Interval between two events of a run.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// What happens in a case.
#[derive(Clone, Debug)]
struct Plan {
    processes: usize,
    servers: usize,
    /// Requests per second.
    rate: f64,
    /// Share of the requests with each harmful part.
    harmful: Vec<f64>,
    /// Time from the start of a run with a harmful part to the crash, in milliseconds.
    strike_ms: u64,
    /// Position of the harmful part in the prompt.
    position: usize,
    /// Number of different first parts and of different second parts.
    variety: (u64, u64),
    /// Share of lost datagrams, and the longest delay of one in milliseconds.
    news: (f64, u64),
    /// When all servers of each data centre crash by themselves, in seconds.
    outages: Vec<f64>,
    /// While all runs crash their servers, whatever they are: start and end in seconds.
    all_crash: Option<(f64, f64)>,
    /// When a process restarts without what it knew, in seconds.
    restarts: Vec<f64>,
    /// What becomes of a server that crashed.
    restart: Restart,
    /// Longest times from the send of a request to its first event, and from there to its last, in
    /// milliseconds.
    longest_ms: (u64, u64),
    seconds: u64,
}

/// What becomes of a server that crashed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Restart {
    /// It runs again under the id that it had. Requests find other servers.
    SameId { ms: u64 },
    /// Another server takes its place. Requests wait while no server runs.
    NewId { ms: u64 },
}

impl Restart {
    fn time(self) -> Duration {
        let (Restart::SameId { ms } | Restart::NewId { ms }) = self;
        Duration::from_millis(ms)
    }
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            processes: 5,
            servers: 24,
            rate: 18.0,
            harmful: vec![0.1],
            strike_ms: 80,
            position: 1,
            variety: (2, 20),
            news: (0.0, 5),
            outages: Vec::new(),
            all_crash: None,
            restarts: Vec::new(),
            restart: Restart::SameId { ms: 4000 },
            longest_ms: (1200, 5000),
            seconds: 25,
        }
    }
}

impl Plan {
    /// Engines that take as long to come back as requests with the harmful part need to crash all.
    fn few_servers() -> Plan {
        Plan {
            processes: 3,
            servers: 6,
            rate: 60.0,
            harmful: vec![0.2],
            strike_ms: 30,
            variety: (1, 6),
            restart: Restart::NewId { ms: 1000 },
            longest_ms: (24, 600),
            seconds: 10,
            ..Plan::default()
        }
    }
}

#[derive(Clone, Debug)]
struct Request {
    subject: Subject,
    /// Index of the harmful part, if there is one.
    harm: Option<usize>,
    process: usize,
    attempts: u32,
}

#[derive(Clone, Debug)]
struct Run {
    request: Request,
    /// Permit to run, if it needs one, until it has lived.
    permit: Option<Permit>,
    sent: Clock,
    starts: Clock,
    ends: Clock,
    /// Whether a sign of life and the survival were recorded.
    recorded: (bool, bool),
}

#[derive(Clone, Debug, Default)]
struct Server {
    id: ServerId,
    down_until: Clock,
    runs: Vec<Run>,
}

/// Result of a case.
#[derive(Clone, Debug, Default)]
struct Outcome {
    /// Crashes under each harmful part, in order.
    crashes: Vec<Vec<Clock>>,
    /// Sends of requests with each harmful part.
    sends: Vec<Vec<Clock>>,
    /// Sound requests, and those that were refused.
    sound: Vec<(Clock, bool)>,
}

impl Outcome {
    fn bound(&self, part: usize) -> Option<Clock> {
        let fifth = self.crashes[part].get(CRASH_BOUND - 1)?;
        Some(*fifth + CONTACT_TIME)
    }

    /// Returns the number of sends with a part past the bound.
    fn late_sends(&self, part: usize) -> usize {
        let Some(bound) = self.bound(part) else {
            return 0;
        };
        self.sends[part].iter().filter(|at| **at > bound).count()
    }

    fn refused_after(&self, from: Clock) -> (usize, usize) {
        let after = self.sound.iter().filter(|(at, _)| *at > from);
        let refused = after.clone().filter(|(_, refused)| *refused).count();
        (refused, after.count())
    }
}

fn seed_count() -> u64 {
    let given = std::env::var("EVIDENCE_SEEDS").ok();
    given
        .and_then(|count| count.parse().ok())
        .unwrap_or(SEED_COUNT)
}

/// Sums over seeds.
#[derive(Clone, Debug, Default)]
struct Total {
    seeds: usize,
    /// Most crashes under one harmful part, and their sum.
    most_crashes: usize,
    crashes: usize,
    /// Most sends of requests with one harmful part past the bound.
    most_late: usize,
    /// Sound requests, those that were refused, and those of them that were sent after the bound.
    sound: usize,
    refused: usize,
    refused_after: usize,
}

impl Total {
    fn add(&mut self, outcome: &Outcome, late: usize, from: Clock) {
        let crashes = outcome.crashes.iter().map(Vec::len);
        self.seeds += 1;
        self.most_crashes = self.most_crashes.max(crashes.clone().max().unwrap_or(0));
        self.crashes += crashes.sum::<usize>();
        self.most_late = self.most_late.max(late);
        let (refused, sound) = outcome.refused_after(Clock::ZERO);
        self.sound += sound;
        self.refused += refused;
        self.refused_after += outcome.refused_after(from).0;
    }
}

struct Fleet {
    plan: Plan,
    rng: StdRng,
    now: Clock,
    servers: Vec<Server>,
    last_id: ServerId,
    /// Requests that wait for a server.
    waiting: Vec<Request>,
    processes: Vec<Evidence>,
    arbiter: Arbiter,
    /// Number of the last permit.
    permits: u32,
    /// Datagrams under way: arrival, receiver, time of the observation, report.
    datagrams: BTreeMap<(Clock, u64), (usize, Clock, Subject, Observation)>,
    sequence: u64,
    outcome: Outcome,
}

fn play(plan: Plan, seed: u64) -> Outcome {
    let parts = plan.harmful.len();
    let mut fleet = Fleet {
        rng: StdRng::seed_from_u64(seed),
        now: Duration::from_secs(1000),
        servers: (0..plan.servers as ServerId)
            .map(|id| Server {
                id,
                ..Server::default()
            })
            .collect(),
        last_id: plan.servers as ServerId,
        waiting: Vec::new(),
        processes: vec![Evidence::default(); plan.processes],
        arbiter: Arbiter::default(),
        permits: 0,
        datagrams: BTreeMap::new(),
        sequence: 0,
        outcome: Outcome {
            crashes: vec![Vec::new(); parts],
            sends: vec![Vec::new(); parts],
            sound: Vec::new(),
        },
        plan,
    };
    let began = fleet.now;
    while fleet.now < began + Duration::from_secs(fleet.plan.seconds) {
        fleet.now += STEP;
        fleet.step((fleet.now - began).as_secs_f64());
    }
    fleet.outcome
}

impl Fleet {
    fn step(&mut self, elapsed: f64) {
        self.deliver();
        for request in std::mem::take(&mut self.waiting) {
            self.send(request);
        }
        let arrived = self.plan.rate * STEP.as_secs_f64();
        if self.rng.random_bool(arrived.min(1.0)) {
            let request = self.request();
            let is_refused = self.is_refused(&request);
            if request.harm.is_none() {
                self.outcome.sound.push((self.now, is_refused));
            }
            self.send(request);
        }
        let is_due = |at: &f64| *at <= elapsed && elapsed < *at + STEP.as_secs_f64();
        let outages: Vec<usize> = (0..self.plan.outages.len())
            .filter(|index| is_due(&self.plan.outages[*index]))
            .collect();
        for outage in outages {
            for server in 0..self.servers.len() {
                if server % 3 == outage % 3 && self.rng.random_bool(0.9) {
                    self.crash(server);
                }
            }
        }
        if self.plan.restarts.iter().any(is_due) {
            let process = self.rng.random_range(0..self.processes.len());
            self.processes[process] = Evidence::default();
            let peer = (process + 1) % self.processes.len();
            let reports = self.processes[peer].reports(self.now);
            self.processes[process].apply(self.now, &reports);
        }
        let all_crash = self
            .plan
            .all_crash
            .is_some_and(|(from, to)| from <= elapsed && elapsed < to);
        for server in 0..self.servers.len() {
            self.run(server, all_crash);
        }
    }

    /// Creates a request whose last part nobody else has.
    fn request(&mut self) -> Request {
        let id: u64 = self.rng.random();
        let (first, second) = self.plan.variety;
        let mut parts = vec![
            Fingerprint::from(100 + self.rng.random_range(0..first)),
            Fingerprint::from(200 + self.rng.random_range(0..second)),
            Fingerprint::from(id),
        ];
        let mut harm = None;
        for (index, share) in self.plan.harmful.clone().into_iter().enumerate() {
            if harm.is_none() && self.rng.random_bool(share) {
                harm = Some(index);
                parts[self.plan.position] = Fingerprint::from(10 + index as u64);
            }
        }
        Request {
            subject: Subject::new(SERVICE, Fingerprint::from(id) << 64, parts),
            harm,
            process: self.rng.random_range(0..self.processes.len()),
            attempts: 5,
        }
    }

    fn is_refused(&self, request: &Request) -> bool {
        let evidence = &self.processes[request.process];
        evidence.refused_cause(self.now, &request.subject).is_some()
    }

    /// Returns whether a process has a run at a server that hasn't lived yet.
    fn is_occupied(&self, server: usize, process: usize) -> bool {
        let mut runs = self.servers[server].runs.iter();
        runs.any(|run| {
            let has_lived = lived(run, self.now).is_some_and(|lived| lived >= LIFE_SIGN);
            run.request.process == process && !has_lived
        })
    }

    /// Sends a request to a server, or refuses it.
    fn send(&mut self, mut request: Request) {
        if request.attempts == 0 || self.is_refused(&request) {
            return;
        }
        let up = (0..self.servers.len()).filter(|server| {
            let server = &self.servers[*server];
            server.down_until <= self.now
        });
        let evidence = &self.processes[request.process];
        let is_separated = evidence.separates(self.now, SERVICE);
        let up = up.filter(|server| !is_separated || !self.is_occupied(*server, request.process));
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            if matches!(self.plan.restart, Restart::NewId { .. }) {
                self.waiting.push(request);
            }
            return;
        }
        let is_held = self.processes[request.process].held_causes(&request.subject) > 0;
        let permit = is_held.then(|| {
            self.permits += 1;
            Permit {
                process: request.process as u64,
                number: self.permits,
            }
        });
        if permit.is_some_and(|permit| !self.arbiter.grant(self.now, SERVICE, permit)) {
            self.waiting.push(request);
            return;
        }
        request.attempts -= 1;
        if let Some(part) = request.harm {
            self.outcome.sends[part].push(self.now);
        }
        let candidates = [
            up[self.rng.random_range(0..up.len())],
            up[self.rng.random_range(0..up.len())],
        ];
        let [first, second] = candidates;
        let server = match self.servers[first].runs.len() <= self.servers[second].runs.len() {
            true => first,
            false => second,
        };
        let (longest_start, longest) = self.plan.longest_ms;
        let prefill = self.rng.random_range(longest_start / 12..longest_start);
        let prefill = Duration::from_millis(prefill);
        let length = Duration::from_millis(self.rng.random_range(longest / 10..longest));
        let starts = self.now + prefill;
        self.servers[server].runs.push(Run {
            request,
            permit,
            sent: self.now,
            starts,
            ends: starts + length,
            recorded: (false, false),
        });
    }

    /// Advances the runs of a server.
    fn run(&mut self, server: usize, all_crash: bool) {
        let strike = Duration::from_millis(self.plan.strike_ms);
        let now = self.now;
        let strikes =
            |run: &Run| (all_crash || run.request.harm.is_some()) && run.starts + strike <= now;
        if let Some(run) = self.servers[server].runs.iter().find(|run| strikes(run)) {
            if let Some(part) = run.request.harm {
                self.outcome.crashes[part].push(now);
            }
            self.crash(server);
            return;
        }
        let mut observed = Vec::new();
        for run in &mut self.servers[server].runs {
            if let Some(permit) = run.permit {
                self.arbiter.grant(now, SERVICE, permit);
            }
            let Some(lived) = lived(run, now) else {
                continue;
            };
            let ended = run.ends <= now;
            let evidence = &self.processes[run.request.process];
            let is_over = ended
                || lived >= PROBATION
                || lived >= LIFE_SIGN && evidence.held_causes(&run.request.subject) == 0;
            if let Some(permit) = run.permit.take_if(|_| is_over) {
                self.arbiter.release(SERVICE, permit);
            }
            if !run.recorded.1 && (lived >= PROBATION || ended) {
                run.recorded = (true, true);
                observed.push((run.request.clone(), Observation::Survived));
            } else if !run.recorded.0 && lived >= LIFE_SIGN {
                run.recorded.0 = true;
                observed.push((run.request.clone(), Observation::Lived));
            }
        }
        self.servers[server].runs.retain(|run| run.ends > now);
        for (request, observation) in observed {
            let evidence = &self.processes[request.process];
            if let Some(relevant) = evidence.relevant_to(&request.subject, observation) {
                self.observe(request.process, relevant, observation);
            }
        }
    }

    /// Crashes a server; its requests are sent again.
    fn crash(&mut self, server: usize) {
        if self.servers[server].down_until > self.now {
            return;
        }
        self.servers[server].down_until = self.now + self.plan.restart.time();
        let id = self.servers[server].id;
        if matches!(self.plan.restart, Restart::NewId { .. }) {
            self.servers[server].id = self.last_id;
            self.last_id += 1;
        }
        let runs = std::mem::take(&mut self.servers[server].runs);
        for run in &runs {
            let stage = match lived(run, self.now) {
                None => Stage::Pending,
                Some(lived) if lived >= PROBATION => continue,
                Some(lived) if lived >= LIFE_SIGN => Stage::Lived,
                Some(_) => Stage::Started,
            };
            let observation = Observation::Crashed {
                server: id,
                incarnation: 0,
                stage,
                run_ms: (self.now - run.sent).as_millis() as u32,
            };
            self.observe(
                run.request.process,
                run.request.subject.clone(),
                observation,
            );
        }
        for run in runs {
            if let Some(permit) = run.permit {
                self.arbiter.release(SERVICE, permit);
            }
            self.send(run.request);
        }
    }

    /// Records an observation of a process and sends it to the others.
    fn observe(&mut self, process: usize, subject: Subject, observation: Observation) {
        let now = self.now;
        if !self.processes[process].record(now, now, &subject, observation) {
            return;
        }
        let (loss, max_delay_ms) = self.plan.news;
        for peer in 0..self.processes.len() {
            if peer == process {
                continue;
            }
            for repeat in 0..REPEATS.1 {
                if loss > 0.0 && self.rng.random_bool(loss) {
                    continue;
                }
                let delay = Duration::from_millis(self.rng.random_range(1..=max_delay_ms));
                self.sequence += 1;
                let key = (now + REPEATS.0 * repeat + delay, self.sequence);
                self.datagrams
                    .insert(key, (peer, now, subject.clone(), observation));
                break;
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.datagrams.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (peer, at, subject, observation) = entry.remove();
            let report = Report::new(self.now, at, subject, observation);
            self.processes[peer].apply(self.now, &[report]);
        }
    }
}

/// Returns the time from the start of a run to its last event; `None` before the start.
fn lived(run: &Run, now: Clock) -> Option<Duration> {
    let since = now.min(run.ends).checked_sub(run.starts)?;
    let events = since.as_millis() / EVENT_INTERVAL.as_millis();
    Some(EVENT_INTERVAL * events as u32)
}

/// Guards against more sends past the bound than are allowed, and against sound requests that are
/// refused for long, whatever else happens beside.
#[rstest]
#[case::five_processes(Plan::default())]
#[case::one_process(Plan { processes: 1, ..Plan::default() })]
#[case::the_first_part(Plan { position: 0, ..Plan::default() })]
#[case::one_common_part(Plan { variety: (1, 20), ..Plan::default() })]
#[case::few_parts(Plan { variety: (1, 2), ..Plan::default() })]
#[case::late_strike(Plan { strike_ms: 600, ..Plan::default() })]
#[case::late_news(Plan { news: (0.3, 400), ..Plan::default() })]
#[case::two_parts(Plan { harmful: vec![0.07, 0.07], ..Plan::default() })]
#[case::a_third_of_all(Plan { harmful: vec![0.33], ..Plan::default() })]
#[case::two_of_a_quarter(Plan { harmful: vec![0.25, 0.25], variety: (1, 20), ..Plan::default() })]
#[case::rare(Plan { harmful: vec![0.02], seconds: 60, ..Plan::default() })]
#[case::outages(Plan { outages: vec![2.0, 4.0, 6.0, 9.0, 12.0], ..Plan::default() })]
#[case::an_outage_of_all(Plan { outages: vec![3.0, 3.0, 3.0, 8.0], ..Plan::default() })]
#[case::restarts(Plan { restarts: vec![2.0, 4.0, 6.0, 8.0, 10.0], ..Plan::default() })]
#[case::few_servers(Plan::few_servers())]
#[case::few_servers_and_a_third(Plan { harmful: vec![0.33], ..Plan::few_servers() })]
#[case::few_servers_and_late_news(Plan { news: (0.3, 400), ..Plan::few_servers() })]
#[case::many_processes(Plan { processes: 40, servers: 60, rate: 60.0, seconds: 12, ..Plan::default() })]
fn a_harmful_part_is_found_and_sound_requests_are_served(#[case] plan: Plan) {
    let seeds = if plan.processes > 10 { 1 } else { seed_count() };
    let mut total = Total::default();
    for seed in 0..seeds {
        let outcome = play(plan.clone(), seed);
        let bounds = (0..plan.harmful.len()).filter_map(|part| outcome.bound(part));
        let from = bounds.max().unwrap_or_default();
        let late = (0..plan.harmful.len()).map(|part| outcome.late_sends(part));
        total.add(&outcome, late.max().unwrap_or(0), from);
    }
    println!("{total:?}");
    assert!(total.most_late <= MAX_LATE_SENDS, "{total:?}");
    assert_eq!(total.refused_after, 0, "{total:?}");
}

/// Guards against the refusal of sound requests while servers crash by themselves.
#[rstest]
#[case::outages(Plan { harmful: vec![], outages: vec![2.0, 4.0, 6.0, 9.0, 12.0], ..Plan::default() })]
#[case::outages_of_all(Plan { harmful: vec![], outages: vec![2.0, 2.0, 2.0, 9.0, 9.5, 10.0, 15.0], ..Plan::default() })]
#[case::outages_under_one_common_part(Plan { harmful: vec![], variety: (1, 3), outages: vec![2.0, 4.0, 6.0, 9.0, 12.0], ..Plan::default() })]
#[case::all_runs_crash(Plan { harmful: vec![], all_crash: Some((3.0, 12.0)), ..Plan::default() })]
#[case::all_runs_crash_under_few_parts(Plan { harmful: vec![], variety: (2, 3), all_crash: Some((3.0, 12.0)), ..Plan::default() })]
#[case::all_runs_crash_under_one_part(Plan { harmful: vec![], variety: (1, 3), all_crash: Some((3.0, 12.0)), ..Plan::default() })]
fn sound_requests_are_served_while_servers_crash_by_themselves(#[case] plan: Plan) {
    let mut total = Total::default();
    for seed in 0..seed_count() {
        let outcome = play(plan.clone(), seed);
        let end = plan.all_crash.map_or(0.0, |(_, to)| to);
        let from = Duration::from_secs(1000) + Duration::from_secs_f64(end) + CONTACT_TIME;
        total.add(&outcome, 0, from);
    }
    println!("{total:?}");
    assert_eq!(total.refused_after, 0, "{total:?}");
}
