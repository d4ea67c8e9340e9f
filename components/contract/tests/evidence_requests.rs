//! Evidence against whole requests in virtual time: few servers of a plain service that crash and
//! return together, with repeats and second sends of what was in flight there.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use contract::poison::{
    Fingerprint, Verdict,
    evidence::{
        Evidence,
        LIFE_SIGN,
        Observation,
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

/// Crashes after which a harmful request must be refused, and sends that are still allowed later
/// than [`CONTACT_TIME`] after.
const CRASH_BOUND: usize = 3;
const MAX_LATE_SENDS: usize = 3;

/// Share of the sound requests that may be refused wrongly.
const MAX_REFUSED_SHARE: f64 = 0.001;

/// Number of seeds of each case, unless the variable `EVIDENCE_SEEDS` gives another one.
const SEED_COUNT: u64 = 8;

/// Interval at which a request that waits for others is tried again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const STEP: Duration = Duration::from_millis(2);

/// Time from the start of a run that crashes its server to the crash, in milliseconds.
const STRIKE_MS: (u64, u64) = (30, 90);

/// Delay after which a second server gets a request, and most sends of an attempt.
const HEDGE_DELAY: Duration = Duration::from_millis(50);
const MAX_SENDS: usize = 3;

/// Interval at which a report is sent again, as datagrams may be lost, and how often.
const REPEATS: (Duration, u32) = (Duration::from_millis(500), 6);

/// What happens in a case.
#[derive(Clone, Debug)]
struct Plan {
    processes: usize,
    servers: usize,
    slots: usize,
    /// Requests per second.
    rate: f64,
    /// Share of the requests with each harmful fingerprint.
    harmful: Vec<f64>,
    /// Share of the sound requests that have one fingerprint.
    hot: f64,
    /// Share of the requests that are sent at most once.
    once: f64,
    /// Time of a sound run, in milliseconds.
    run_ms: (u64, u64),
    /// Time for which a server is gone after a crash, in milliseconds.
    down_ms: (u64, u64),
    /// Share of lost datagrams, and the longest delay of one in milliseconds.
    news: (f64, u64),
    /// When a process restarts without what it knew, in seconds.
    restarts: Vec<f64>,
    seconds: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            processes: 5,
            servers: 3,
            slots: 6,
            rate: 80.0,
            harmful: vec![0.05],
            hot: 0.0,
            once: 0.5,
            run_ms: (10, 40),
            down_ms: (2900, 3500),
            news: (0.0, 5),
            restarts: Vec::new(),
            seconds: 30,
        }
    }
}

#[derive(Clone, Debug)]
struct Request {
    fingerprint: Fingerprint,
    harm: Option<usize>,
    process: usize,
    sends_left: usize,
    /// Whether the caller may come back under another id.
    may_return: bool,
}

impl Request {
    fn subject(&self) -> Subject {
        Subject::new(SERVICE, self.fingerprint, [])
    }
}

#[derive(Clone, Debug)]
struct Run {
    request: Request,
    sent: Clock,
    started: Option<Clock>,
    /// Time from the start to the end, or to the crash.
    length: Duration,
    hedged: bool,
    /// Permit to run, if it needs one.
    permit: Option<Permit>,
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
    crashes: Vec<Vec<Clock>>,
    sends: Vec<Vec<Clock>>,
    sound: usize,
    refused: usize,
}

impl Outcome {
    fn late_sends(&self, harm: usize) -> usize {
        let Some(third) = self.crashes[harm].get(CRASH_BOUND - 1) else {
            return 0;
        };
        let bound = *third + CONTACT_TIME;
        self.sends[harm].iter().filter(|at| **at > bound).count()
    }
}

fn seed_count() -> u64 {
    let given = std::env::var("EVIDENCE_SEEDS").ok();
    given
        .and_then(|count| count.parse().ok())
        .unwrap_or(SEED_COUNT)
}

struct Fleet {
    plan: Plan,
    rng: StdRng,
    now: Clock,
    servers: Vec<Server>,
    last_id: ServerId,
    /// Callers who come back.
    returning: Vec<(Clock, Request)>,
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
    let harms = plan.harmful.len();
    let servers = (0..plan.servers as ServerId).map(|id| Server {
        id,
        ..Server::default()
    });
    let mut fleet = Fleet {
        rng: StdRng::seed_from_u64(seed),
        now: Duration::from_secs(1000),
        servers: servers.collect(),
        last_id: plan.servers as ServerId,
        returning: Vec::new(),
        processes: vec![Evidence::default(); plan.processes],
        arbiter: Arbiter::default(),
        permits: 0,
        datagrams: BTreeMap::new(),
        sequence: 0,
        outcome: Outcome {
            crashes: vec![Vec::new(); harms],
            sends: vec![Vec::new(); harms],
            ..Outcome::default()
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
        let now = self.now;
        let due: Vec<Request> = self
            .returning
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, request)| request)
            .collect();
        for request in due {
            self.send(request, None);
        }
        if self.rng.random_bool(self.plan.rate * STEP.as_secs_f64()) {
            let request = self.request();
            self.arrive(request);
        }
        let is_due = |at: &f64| *at <= elapsed && elapsed < *at + STEP.as_secs_f64();
        if self.plan.restarts.iter().any(is_due) {
            let process = self.rng.random_range(0..self.processes.len());
            let peer = (process + 1) % self.processes.len();
            let reports = self.processes[peer].reports(now);
            self.processes[process] = Evidence::default();
            self.processes[process].apply(now, &reports);
        }
        for server in 0..self.servers.len() {
            self.run(server);
        }
    }

    fn request(&mut self) -> Request {
        let mut harm = None;
        let mut fingerprint: Fingerprint = self.rng.random();
        if self.rng.random_bool(self.plan.hot) {
            fingerprint = 7;
        }
        for (index, share) in self.plan.harmful.clone().into_iter().enumerate() {
            if harm.is_none() && self.rng.random_bool(share) {
                harm = Some(index);
                fingerprint = 10 + index as Fingerprint;
            }
        }
        let is_once = self.rng.random_bool(self.plan.once);
        Request {
            fingerprint,
            harm,
            process: self.rng.random_range(0..self.processes.len()),
            sends_left: if is_once { 1 } else { MAX_SENDS },
            may_return: !is_once,
        }
    }

    fn is_refused(&self, request: &Request) -> bool {
        let evidence = &self.processes[request.process];
        evidence
            .refused_cause(self.now, &request.subject())
            .is_some()
    }

    fn arrive(&mut self, request: Request) {
        if request.harm.is_none() {
            self.outcome.sound += 1;
            self.outcome.refused += usize::from(self.is_refused(&request));
        }
        self.send(request, None);
    }

    fn is_suspect(&self, request: &Request) -> bool {
        let evidence = &self.processes[request.process];
        evidence.verdict(self.now, request.fingerprint) == Verdict::Suspect
    }

    /// Returns whether a request waits for another one of its process that may have crashed servers.
    fn must_wait(&self, request: &Request) -> bool {
        let is_beside = |run: &Run| {
            run.request.process == request.process
                && run.sent + LIFE_SIGN > self.now
                && self.is_suspect(&run.request)
        };
        let mut runs = self.servers.iter().flat_map(|server| &server.runs);
        self.is_suspect(request) && runs.any(is_beside)
    }

    /// Sends a request to the least loaded server but one, keeps it waiting or refuses it.
    fn send(&mut self, mut request: Request, but: Option<usize>) -> bool {
        if request.sends_left == 0 || self.is_refused(&request) {
            return false;
        }
        if self.must_wait(&request) {
            self.returning.push((self.now + POLL_INTERVAL, request));
            return true;
        }
        let is_up = |server: &usize| self.servers[*server].down_until <= self.now;
        let up = (0..self.servers.len()).filter(|server| is_up(server) && Some(*server) != but);
        let least = up.min_by_key(|server| self.servers[*server].runs.len());
        let Some(server) = least else {
            return false;
        };
        let evidence = &self.processes[request.process];
        let is_held = evidence.held_causes(&request.subject()) > 0;
        let permit = is_held.then(|| {
            self.permits += 1;
            Permit {
                process: request.process as u64,
                number: self.permits,
            }
        });
        if permit.is_some_and(|permit| !self.arbiter.grant(self.now, SERVICE, permit)) {
            self.returning.push((self.now + POLL_INTERVAL, request));
            return true;
        }
        request.sends_left -= 1;
        let (least, most) = match request.harm {
            Some(harm) => {
                self.outcome.sends[harm].push(self.now);
                STRIKE_MS
            }
            None => self.plan.run_ms,
        };
        let length = Duration::from_millis(self.rng.random_range(least..=most));
        self.servers[server].runs.push(Run {
            request,
            sent: self.now,
            started: None,
            length,
            hedged: false,
            permit,
        });
        true
    }

    /// Advances the runs of a server.
    fn run(&mut self, server: usize) {
        let now = self.now;
        let slots = self.plan.slots;
        for run in self.servers[server].runs.iter_mut().take(slots) {
            run.started.get_or_insert(now);
        }
        let is_over = |run: &Run| run.started.is_some_and(|at| at + run.length <= now);
        let runs = &mut self.servers[server].runs;
        if let Some(run) = runs
            .iter()
            .find(|run| run.request.harm.is_some() && is_over(run))
        {
            let harm = run.request.harm.expect("was found by it");
            self.outcome.crashes[harm].push(now);
            self.crash(server);
            return;
        }
        for permit in runs.iter().filter_map(|run| run.permit) {
            self.arbiter.grant(now, SERVICE, permit);
        }
        let ended: Vec<Run> = runs.extract_if(.., |run| is_over(run)).collect();
        for run in ended {
            if let Some(permit) = run.permit {
                self.arbiter.release(SERVICE, permit);
            }
            let subject = run.request.subject();
            let evidence = &self.processes[run.request.process];
            if let Some(relevant) = evidence.relevant_to(&subject, Observation::Survived) {
                self.observe(run.request.process, relevant, Observation::Survived);
            }
        }
        for index in 0..self.servers[server].runs.len() {
            let run = &mut self.servers[server].runs[index];
            if run.hedged || run.request.sends_left == 0 || run.sent + HEDGE_DELAY > now {
                continue;
            }
            run.hedged = true;
            let request = run.request.clone();
            if self.is_suspect(&request) {
                continue;
            }
            let run = &mut self.servers[server].runs[index];
            let mut request = run.request.clone();
            run.request.sends_left -= 1;
            request.sends_left = 1;
            self.send(request, Some(server));
        }
    }

    /// Crashes a server; its requests are sent again, or their callers come back.
    fn crash(&mut self, server: usize) {
        let (least, most) = self.plan.down_ms;
        let down = Duration::from_millis(self.rng.random_range(least..=most));
        let id = self.servers[server].id;
        let runs = std::mem::take(&mut self.servers[server].runs);
        self.servers[server].down_until = self.now + down;
        self.servers[server].id = self.last_id;
        self.last_id += 1;
        for run in &runs {
            let observation = Observation::Crashed {
                server: id,
                incarnation: 0,
                stage: Stage::Started,
                run_ms: (self.now - run.sent).as_millis() as u32,
            };
            self.observe(run.request.process, run.request.subject(), observation);
        }
        for run in runs {
            if let Some(permit) = run.permit {
                self.arbiter.release(SERVICE, permit);
            }
            let mut request = run.request;
            if self.send(request.clone(), None) || !request.may_return {
                continue;
            }
            request.may_return = false;
            request.sends_left = MAX_SENDS;
            request.process = self.rng.random_range(0..self.processes.len());
            let wait = Duration::from_millis(self.rng.random_range(20..300));
            self.returning.push((self.now + wait, request));
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
                let datagram = (peer, now, subject.clone(), observation);
                self.datagrams.insert(key, datagram);
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

/// Guards against a request that goes on to crash servers while sound ones meet it again at each of
/// the few servers, and against the refusal of those.
#[rstest]
#[case::three_servers(Plan::default())]
#[case::two_servers(Plan { servers: 2, ..Plan::default() })]
#[case::frequent(Plan { harmful: vec![0.3], ..Plan::default() })]
#[case::all_repeated(Plan { once: 0.0, ..Plan::default() })]
#[case::none_repeated(Plan { once: 1.0, ..Plan::default() })]
#[case::hot(Plan { hot: 0.6, ..Plan::default() })]
#[case::slow_runs(Plan { run_ms: (60, 250), ..Plan::default() })]
#[case::slow_and_hot(Plan { run_ms: (60, 250), hot: 0.6, ..Plan::default() })]
#[case::quick_return(Plan { down_ms: (300, 350), ..Plan::default() })]
#[case::late_news(Plan { news: (0.3, 400), ..Plan::default() })]
#[case::two_harmful(Plan { harmful: vec![0.05, 0.05], ..Plan::default() })]
#[case::two_slow(Plan { harmful: vec![0.05, 0.05], run_ms: (60, 250), ..Plan::default() })]
#[case::four_harmful(Plan { harmful: vec![0.05; 4], ..Plan::default() })]
#[case::overload(Plan { rate: 300.0, run_ms: (40, 120), ..Plan::default() })]
#[case::restarts(Plan { restarts: vec![4.0, 5.0, 8.0, 9.0, 12.0], ..Plan::default() })]
#[case::many_processes(Plan { processes: 40, rate: 200.0, seconds: 15, ..Plan::default() })]
fn a_request_that_crashes_few_servers_is_refused_beside_sound_ones(#[case] plan: Plan) {
    let (mut late, mut sound, mut refused) = (0, 0, 0);
    for seed in 0..seed_count() {
        let outcome = play(plan.clone(), seed);
        let sends = (0..plan.harmful.len()).map(|harm| outcome.late_sends(harm));
        late = late.max(sends.max().unwrap_or(0));
        sound += outcome.sound;
        refused += outcome.refused;
    }
    println!("late {late}, sound {sound}, refused {refused}");
    assert!(late <= MAX_LATE_SENDS, "{late} sends past the bound");
    assert!(
        refused as f64 <= sound as f64 * MAX_REFUSED_SHARE,
        "{refused} of {sound}"
    );
}
