//! Servers lost per poisonous request and innocents refused, in virtual time.
//!
//! Generated events drive the production ledger: which requests run where is chosen by its own rule
//! of placement. Nothing else of a fleet is modelled.

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

const STEP: Duration = Duration::from_millis(100);
const SERVERS: usize = 25;
const STEPS: usize = 1500;

/// Sends of the poison, each under a new id.
const SENDS: u32 = 10;

/// Fingerprints below this are poisonous.
const INNOCENT: Fingerprint = 100;

/// Which requests are refused, and who runs beside whom.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// Nobody is refused.
    Nothing,
    /// Whoever was in flight at two deaths is refused; suspects run anywhere.
    TwoDeaths,
    /// The ledger of this system.
    Apart,
}

const RULES: [Rule; 3] = [Rule::Nothing, Rule::TwoDeaths, Rule::Apart];

impl Rule {
    fn name(self) -> &'static str {
        match self {
            Self::Nothing => "no refusals",
            Self::TwoDeaths => "refuse after two deaths",
            Self::Apart => "suspects apart (this system)",
        }
    }
}

/// A case of the table.
#[derive(Clone, Copy)]
struct Case {
    innocents: u128,
    poisons: u128,
    /// Time from a poison's start to the death.
    crash: Duration,
    /// An engine without any poison dies as well, a second after the first death.
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
    for crash in [300, 10_000].map(Duration::from_millis) {
        for innocents in [1, 8, 30] {
            cases.push(Case {
                innocents,
                poisons: 1,
                crash,
                accident: false,
            });
        }
        cases.push(Case {
            innocents: 30,
            poisons: 2,
            crash,
            accident: false,
        });
        cases.push(Case {
            innocents: 30,
            poisons: 1,
            crash,
            accident: true,
        });
    }
    cases
}

fn row(case: Case, rule: Rule, seeds: u64) -> Vec<String> {
    let mut lost = Vec::new();
    let mut refused = 0;
    let mut wait = Duration::ZERO;
    for seed in 0..seeds {
        let mut fleet = Fleet::new(case, rule, seed);
        fleet.run();
        lost.push(f64::from(fleet.lost) / case.poisons as f64);
        refused += fleet.innocents_refused;
        wait = wait.max(fleet.longest_wait);
    }
    let mean = lost.iter().sum::<f64>() / seeds as f64;
    vec![
        case.poisons.to_string(),
        case.innocents.to_string(),
        format!("{:.1}", case.crash.as_secs_f64()),
        if case.accident { "yes" } else { "no" }.into(),
        rule.name().into(),
        format!("{mean:.2}"),
        format!("{:.1}", lost.iter().copied().fold(0.0, f64::max)),
        format!("{:.2}", f64::from(refused) / seeds as f64),
        format!("{:.1}", wait.as_secs_f64()),
    ]
}

/// A request that waits for a server, and since when.
#[derive(Clone, Copy)]
struct Waiting {
    fingerprint: Fingerprint,
    since: Duration,
}

struct Fleet {
    case: Case,
    rule: Rule,
    rng: StdRng,
    ledger: Detector,
    deaths: Vec<Vec<Fingerprint>>,
    now: Duration,
    servers: Vec<Vec<Flight>>,
    waiting: Vec<Waiting>,
    sends: u32,
    lost: u32,
    accident_at: Option<Duration>,
    innocents_refused: u32,
    longest_wait: Duration,
}

impl Fleet {
    /// Every server runs work of other callers; the batch with the poison runs on the first one.
    fn new(case: Case, rule: Rule, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut servers = vec![Vec::new(); SERVERS];
        for (number, server) in servers.iter_mut().enumerate() {
            for slot in 0..8 {
                server.push(Flight {
                    fingerprint: 1000 * (1 + number as u128) + slot,
                    elapsed: Duration::from_millis(rng.random_range(0..60_000)),
                });
            }
        }
        let innocents = (0..case.innocents).map(|number| INNOCENT + number);
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
            ledger: Detector::new(Settings::default()),
            deaths: Vec::new(),
            now: Duration::from_secs(1_000_000),
            servers,
            waiting: Vec::new(),
            sends: 0,
            lost: 0,
            accident_at: None,
            innocents_refused: 0,
            longest_wait: Duration::ZERO,
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.now += STEP;
            self.send(step);
            self.place();
            for server in 0..SERVERS {
                self.advance(server);
            }
            if self.accident_at.is_some_and(|at| self.now >= at) {
                self.accident_at = None;
                let server = self.rng.random_range(0..SERVERS);
                let poisoned = self.servers[server]
                    .iter()
                    .any(|f| f.fingerprint < INNOCENT);
                if !poisoned {
                    self.die(server, false);
                }
            }
        }
    }

    /// New work arrives all the time; the callers of the poison send it again.
    fn send(&mut self, step: usize) {
        if self.rng.random_bool(0.3) {
            self.wait(1_000_000 + step as u128);
        }
        if step % 50 != 49 || self.sends >= SENDS {
            return;
        }
        for poison in 0..self.case.poisons {
            let mut running = self.servers.iter().flatten();
            let there = running.any(|flight| flight.fingerprint == poison);
            if !there && !self.waiting.iter().any(|w| w.fingerprint == poison) {
                self.wait(poison);
            }
        }
        self.sends += 1;
    }

    fn wait(&mut self, fingerprint: Fingerprint) {
        self.waiting.push(Waiting {
            fingerprint,
            since: self.now,
        });
    }

    fn place(&mut self) {
        let mut order: Vec<usize> = (0..SERVERS).collect();
        for request in std::mem::take(&mut self.waiting) {
            let innocent = request.fingerprint >= INNOCENT;
            if self.refuses(request.fingerprint) {
                self.innocents_refused += u32::from(innocent);
                continue;
            }
            order.shuffle(&mut self.rng);
            let free = order.iter().find(|server| {
                let running = &self.servers[**server];
                self.rule != Rule::Apart
                    || self
                        .ledger
                        .placement(request.fingerprint, running, self.now)
                        == Placement::Allowed
            });
            let Some(server) = free else {
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
            Rule::Nothing => false,
            Rule::TwoDeaths => {
                let deaths = self.deaths.iter();
                deaths.filter(|death| death.contains(&fingerprint)).count() >= 2
            }
            Rule::Apart => matches!(
                self.ledger.verdict(fingerprint, self.now),
                Verdict::Refused { .. }
            ),
        }
    }

    fn advance(&mut self, server: usize) {
        for flight in &mut self.servers[server] {
            flight.elapsed += STEP;
        }
        let crash = self.case.crash;
        let mut flights = self.servers[server].iter();
        if flights.any(|flight| flight.fingerprint < INNOCENT && flight.elapsed >= crash) {
            self.die(server, true);
            return;
        }
        let length = Duration::from_secs(60);
        for flight in self.servers[server].extract_if(.., |flight| flight.elapsed >= length) {
            if self.rule == Rule::Apart {
                self.ledger.record_completion(flight.fingerprint, self.now);
            }
        }
    }

    fn die(&mut self, server: usize, poisoned: bool) {
        let flights = std::mem::take(&mut self.servers[server]);
        if poisoned {
            self.lost += 1;
        }
        if poisoned && self.case.accident && self.lost == 1 {
            self.accident_at = Some(self.now + Duration::from_secs(1));
        }
        for flight in &flights {
            self.wait(flight.fingerprint);
        }
        self.deaths
            .push(flights.iter().map(|flight| flight.fingerprint).collect());
        if self.rule != Rule::Apart {
            return;
        }
        let death = Death {
            server: format!("engine-{server}"),
            at: self.now,
            flights,
        };
        let number = self.deaths.len() as u64;
        self.ledger.record_death(number, death, self.now);
    }
}
