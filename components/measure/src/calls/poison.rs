//! Servers lost per poisonous request and innocent requests refused, in virtual time.
//!
//! A simulated fleet drives the production detector, whose placement rule decides which requests may
//! run together. Nothing else of a fleet is modelled.

use std::time::Duration;

use contract::poison::{
    Death,
    Detector,
    Fingerprint,
    Flight,
    Placement,
    Settings,
    Verdict, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};

use crate::table;

/// Increment of the virtual time.
const TICK: Duration = Duration::from_millis(100);
const SERVER_COUNT: usize = 25;
const TICK_COUNT: usize = 1500;

/// Number of times that callers send the poisonous requests, each time under a new ID.
const MAX_POISON_SENDS: u32 = 10;

/// Lowest fingerprint of an innocent request; those below are poisonous.
const FIRST_INNOCENT: Fingerprint = 100;

/// Which requests are refused, and which may share a server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// No request is refused.
    NoRefusals,
    /// A request that was in flight at two deaths is refused; suspects run on any server.
    TwoDeaths,
    /// The production detector, which isolates suspects.
    Isolation,
}

const RULES: [Rule; 3] = [Rule::NoRefusals, Rule::TwoDeaths, Rule::Isolation];

impl Rule {
    fn name(self) -> &'static str {
        match self {
            Self::NoRefusals => "no refusals",
            Self::TwoDeaths => "refuse after two deaths",
            Self::Isolation => "suspects apart (this system)",
        }
    }
}

/// A case, which gives one row of the table per rule.
#[derive(Clone, Copy)]
struct Case {
    innocents: u128,
    poisons: u128,
    /// Time from the start of a poisonous request to the server's death.
    time_to_crash: Duration,
    /// Whether a server without a poisonous request dies too, a second after the first death.
    accident: bool,
}

pub(super) fn print(seeds: u64) {
    let mut rows = Vec::new();
    for case in cases() {
        for rule in RULES {
            rows.push(row(case, rule, seeds));
        }
    }
    let heading = [
        "poisons",
        "innocents in the batch",
        "strikes after s",
        "accident",
        "rule",
        "servers lost per poison, mean",
        "most",
        "innocents refused a run, mean",
        "longest wait of an innocent s",
    ];
    table::print(&heading, &rows);
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for time_to_crash in [300, 10_000].map(Duration::from_millis) {
        for innocents in [1, 8, 30] {
            cases.push(Case {
                innocents,
                poisons: 1,
                time_to_crash,
                accident: false,
            });
        }
        cases.push(Case {
            innocents: 30,
            poisons: 2,
            time_to_crash,
            accident: false,
        });
        cases.push(Case {
            innocents: 30,
            poisons: 1,
            time_to_crash,
            accident: true,
        });
    }
    cases
}

fn row(case: Case, rule: Rule, seeds: u64) -> Vec<String> {
    let mut losses = Vec::new();
    let mut refused = 0;
    let mut longest_wait = Duration::ZERO;
    for seed in 0..seeds {
        let mut fleet = Fleet::new(case, rule, seed);
        fleet.run();
        losses.push(f64::from(fleet.servers_lost) / case.poisons as f64);
        refused += fleet.innocents_refused;
        longest_wait = longest_wait.max(fleet.longest_wait);
    }
    let mean = losses.iter().sum::<f64>() / seeds as f64;
    vec![
        case.poisons.to_string(),
        case.innocents.to_string(),
        format!("{:.1}", case.time_to_crash.as_secs_f64()),
        if case.accident { "yes" } else { "no" }.into(),
        rule.name().into(),
        format!("{mean:.2}"),
        format!("{:.1}", losses.iter().copied().fold(0.0, f64::max)),
        format!("{:.2}", f64::from(refused) / seeds as f64),
        format!("{:.1}", longest_wait.as_secs_f64()),
    ]
}

/// A request that waits for a server.
#[derive(Clone, Copy)]
struct Waiting {
    fingerprint: Fingerprint,
    since: Duration,
}

struct Fleet {
    case: Case,
    rule: Rule,
    rng: StdRng,
    detector: Detector,
    deaths: Vec<Vec<Fingerprint>>,
    now: Duration,
    servers: Vec<Vec<Flight>>,
    waiting: Vec<Waiting>,
    sends: u32,
    servers_lost: u32,
    accident_at: Option<Duration>,
    innocents_refused: u32,
    longest_wait: Duration,
}

impl Fleet {
    /// Starts with requests of other callers on every server but the first, which runs the batch
    /// with the poisonous requests.
    fn new(case: Case, rule: Rule, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut servers = vec![Vec::new(); SERVER_COUNT];
        for (index, server) in servers.iter_mut().enumerate() {
            for slot in 0..8 {
                server.push(Flight {
                    fingerprint: 1000 * (1 + index as u128) + slot,
                    elapsed: Duration::from_millis(rng.random_range(0..60_000)),
                });
            }
        }
        let innocents = (0..case.innocents).map(|index| FIRST_INNOCENT + index);
        servers[0] = (0..case.poisons)
            .chain(innocents)
            .map(|fingerprint| Flight {
                fingerprint,
                elapsed: Duration::ZERO,
            })
            .collect();
        Self {
            case,
            rule,
            rng,
            detector: Detector::new(Settings::default()),
            deaths: Vec::new(),
            now: Duration::from_secs(1_000_000),
            servers,
            waiting: Vec::new(),
            sends: 0,
            servers_lost: 0,
            accident_at: None,
            innocents_refused: 0,
            longest_wait: Duration::ZERO,
        }
    }

    fn run(&mut self) {
        for tick in 0..TICK_COUNT {
            self.now += TICK;
            self.add_requests(tick);
            self.place_waiting();
            for server in 0..SERVER_COUNT {
                self.advance(server);
            }
            if self.accident_at.is_some_and(|at| self.now >= at) {
                self.accident_at = None;
                let server = self.rng.random_range(0..SERVER_COUNT);
                let poisonous = self.servers[server]
                    .iter()
                    .any(|flight| flight.fingerprint < FIRST_INNOCENT);
                if !poisonous {
                    self.die(server, false);
                }
            }
        }
    }

    /// Adds new requests, and resends the poisonous ones every 50 ticks.
    fn add_requests(&mut self, tick: usize) {
        if self.rng.random_bool(0.3) {
            self.enqueue(1_000_000 + tick as u128);
        }
        if tick % 50 != 49 || self.sends >= MAX_POISON_SENDS {
            return;
        }
        for poison in 0..self.case.poisons {
            let mut running = self.servers.iter().flatten();
            let is_running = running.any(|flight| flight.fingerprint == poison);
            if !is_running
                && !self
                    .waiting
                    .iter()
                    .any(|request| request.fingerprint == poison)
            {
                self.enqueue(poison);
            }
        }
        self.sends += 1;
    }

    fn enqueue(&mut self, fingerprint: Fingerprint) {
        self.waiting.push(Waiting {
            fingerprint,
            since: self.now,
        });
    }

    /// Refuses or starts waiting requests.
    fn place_waiting(&mut self) {
        let mut order: Vec<usize> = (0..SERVER_COUNT).collect();
        for request in std::mem::take(&mut self.waiting) {
            let innocent = request.fingerprint >= FIRST_INNOCENT;
            if self.refuses(request.fingerprint) {
                self.innocents_refused += u32::from(innocent);
                continue;
            }
            order.shuffle(&mut self.rng);
            let allowed = order.iter().find(|server| {
                let running = &self.servers[**server];
                self.rule != Rule::Isolation
                    || self
                        .detector
                        .placement(request.fingerprint, running, self.now)
                        == Placement::Allowed
            });
            let Some(server) = allowed else {
                self.waiting.push(request);
                continue;
            };
            if innocent {
                self.longest_wait = self.longest_wait.max(self.now - request.since);
            }
            self.servers[*server].push(Flight {
                fingerprint: request.fingerprint,
                elapsed: Duration::ZERO,
            });
        }
    }

    fn refuses(&self, fingerprint: Fingerprint) -> bool {
        match self.rule {
            Rule::NoRefusals => false,
            Rule::TwoDeaths => {
                let deaths = self.deaths.iter();
                deaths.filter(|death| death.contains(&fingerprint)).count() >= 2
            }
            Rule::Isolation => matches!(
                self.detector.verdict(fingerprint, self.now),
                Verdict::Refused { .. }
            ),
        }
    }

    /// Runs a server for one tick.
    fn advance(&mut self, server: usize) {
        for flight in &mut self.servers[server] {
            flight.elapsed += TICK;
        }
        let time_to_crash = self.case.time_to_crash;
        let mut flights = self.servers[server].iter();
        if flights
            .any(|flight| flight.fingerprint < FIRST_INNOCENT && flight.elapsed >= time_to_crash)
        {
            self.die(server, true);
            return;
        }
        let run_time = Duration::from_secs(60);
        for flight in self.servers[server].extract_if(.., |flight| flight.elapsed >= run_time) {
            if self.rule == Rule::Isolation {
                self.detector
                    .record_completion(flight.fingerprint, self.now);
            }
        }
    }

    fn die(&mut self, server: usize, poisonous: bool) {
        let flights = std::mem::take(&mut self.servers[server]);
        if poisonous {
            self.servers_lost += 1;
        }
        if poisonous && self.case.accident && self.servers_lost == 1 {
            self.accident_at = Some(self.now + Duration::from_secs(1));
        }
        for flight in &flights {
            self.enqueue(flight.fingerprint);
        }
        self.deaths
            .push(flights.iter().map(|flight| flight.fingerprint).collect());
        if self.rule != Rule::Isolation {
            return;
        }
        let death = Death {
            server: format!("engine-{server}"),
            at: self.now,
            flights,
        };
        let death_id = self.deaths.len() as u64;
        self.detector.record_death(death_id, death, self.now);
    }
}
