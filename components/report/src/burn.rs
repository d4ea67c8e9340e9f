//! Service-level burn: how fast the share of requests that may miss a level is used up.
//!
//! A burn of 1 uses the budget up exactly over the budget's period. Each alert looks at a long
//! window, for what matters, and at a short one, so that it ends soon after the trouble does.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::{
    Clock,
    Route,
    Service,
    Team,
    Version, //
};
use serde::Serialize;

use crate::ring::{
    Count,
    Ring, //
};

/// Period over which the budget is counted.
pub const PERIOD: Duration = Duration::from_secs(3 * 24 * 3600);

/// Most rows that a ledger keeps; further teams are counted together as [`OTHERS`].
pub const ROWS: usize = 4096;

/// Name under which the rows beyond [`ROWS`] are counted.
pub const OTHERS: &str = "(others)";

/// Fewest requests in the short window for an alert; a single miss of few isn't a burn.
const FEWEST: u64 = 10;

/// Windows and the burn from which they alert: fast, slow, and over the complete period.
pub const WINDOWS: [Window; 3] = [
    Window::new("fast", 5 * 60, 3600, 14.4),
    Window::new("slow", 30 * 60, 6 * 3600, 6.0),
    Window::new("long", 6 * 3600, 3 * 24 * 3600, 1.0),
];

/// A pair of windows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Name.
    pub name: &'static str,
    /// The short window.
    pub short: Duration,
    /// The long window.
    pub long: Duration,
    /// Burn in both from which there is an alert.
    pub alert: f64,
}

impl Window {
    const fn new(name: &'static str, short: u64, long: u64, alert: f64) -> Self {
        Self {
            name,
            short: Duration::from_secs(short),
            long: Duration::from_secs(long),
            alert,
        }
    }
}

/// A service level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Longest time to the first token or byte.
    pub first: Duration,
    /// Longest mean time between tokens, if it counts.
    pub between: Option<Duration>,
    /// Share of requests that must meet the level.
    pub objective: f64,
}

/// One request as the entry saw it.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Its service.
    pub service: &'a Service,
    /// Its route.
    pub route: &'a Route,
    /// Its team.
    pub team: &'a Team,
    /// The version that answered.
    pub version: &'a Version,
    /// Time to the first token or byte; none if there was none.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub between: Option<Duration>,
    /// It came to its end.
    pub complete: bool,
}

/// What a row is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case", tag = "by", content = "name")]
pub enum Subject {
    /// The complete service.
    Service,
    /// A route.
    Route(Route),
    /// A version.
    Version(Version),
    /// A team.
    Team(Team),
}

/// Counters of all services, bounded in memory.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    levels: BTreeMap<Service, Level>,
    rows: BTreeMap<(Service, Subject), Ring>,
}

/// Burn of one row over one pair of windows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rate {
    /// Name of the pair.
    pub window: &'static str,
    /// Burn over the short window.
    pub short: f64,
    /// Burn over the long window.
    pub long: f64,
    /// Both are past the pair's limit.
    pub alert: bool,
}

/// Burn of one row.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Service.
    pub service: Service,
    /// What of it.
    pub subject: Subject,
    /// Requests in the period.
    pub requests: u64,
    /// Requests in the period that missed the level.
    pub missed: u64,
    /// Share that is left of the budget which the period's requests so far allow; below 0 when it
    /// is overdrawn.
    pub left: f64,
    /// Burn by window.
    pub rates: Vec<Rate>,
}

/// The report, worst rows first.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// Rows.
    pub rows: Vec<Row>,
}

impl Level {
    /// Tells whether a request missed the level.
    pub fn missed(&self, request: &Request<'_>) -> bool {
        let late = request.first.is_none_or(|first| first > self.first);
        let slow = match (request.between, self.between) {
            (Some(between), Some(most)) => between > most,
            _ => false,
        };
        !request.complete || late || slow
    }

    fn burn(&self, count: Count) -> f64 {
        if count.all == 0 {
            return 0.0;
        }
        let allowed = (1.0 - self.objective).max(1e-6);
        count.missed as f64 / count.all as f64 / allowed
    }
}

impl Counters {
    /// Takes the levels of a document. Rows of services without a level are dropped.
    pub fn set_levels(&mut self, levels: BTreeMap<Service, Level>) {
        self.rows
            .retain(|(service, _), _| levels.contains_key(service));
        self.levels = levels;
    }

    /// Counts a request that has ended. Requests given up by their callers aren't counted.
    pub fn count(&mut self, request: &Request<'_>, now: Clock) {
        let Some(level) = self.levels.get(request.service) else {
            return;
        };
        let missed = level.missed(request);
        let subjects = [
            Subject::Service,
            Subject::Route(request.route.clone()),
            Subject::Version(request.version.clone()),
            Subject::Team(request.team.clone()),
        ];
        for subject in subjects {
            let mut key = (request.service.clone(), subject);
            if !self.rows.contains_key(&key) && self.rows.len() >= ROWS {
                key.1 = Subject::Team(OTHERS.into());
            }
            self.rows.entry(key).or_default().add(missed, now);
        }
    }

    /// Number of rows.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// The report as of now.
    pub fn report(&self, now: Clock) -> Burn {
        let mut rows = Vec::new();
        for ((service, subject), ring) in &self.rows {
            let Some(level) = self.levels.get(service) else {
                continue;
            };
            let period = ring.sum(PERIOD, now);
            rows.push(Row {
                service: service.clone(),
                subject: subject.clone(),
                requests: period.all,
                missed: period.missed,
                left: 1.0 - level.burn(period),
                rates: WINDOWS.map(|w| rate(level, ring, w, now)).to_vec(),
            });
        }
        rows.sort_by(|one, other| {
            let alerts = other.alerts().cmp(&one.alerts());
            alerts.then(one.left.total_cmp(&other.left))
        });
        Burn { rows }
    }
}

impl Row {
    /// Number of pairs of windows that alert.
    pub fn alerts(&self) -> usize {
        self.rates.iter().filter(|rate| rate.alert).count()
    }
}

fn rate(level: &Level, ring: &Ring, window: Window, now: Clock) -> Rate {
    let recent = ring.sum(window.short, now);
    let short = level.burn(recent);
    let long = level.burn(ring.sum(window.long, now));
    Rate {
        window: window.name,
        short,
        long,
        alert: recent.all >= FEWEST && short >= window.alert && long >= window.alert,
    }
}
