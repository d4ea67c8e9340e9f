//! Service-level burn rates: how fast the error budget, the share of requests that may miss a
//! service level, is spent.
//!
//! At a burn rate of 1 the budget lasts exactly for its period. Each alert checks a long window,
//! which shows that the burn matters, and a short one, so that the alert ends soon after the
//! failure does.

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
    WindowedCounts, //
};

/// Period of the error budget.
pub const BUDGET_PERIOD: Duration = Duration::from_secs(3 * 24 * 3600);

/// Largest number of rows in [`Counters`]. Requests of further rows are counted as team
/// [`OVERFLOW_TEAM`] of their service.
pub const MAX_ROWS: usize = 4096;

/// Team name under which all rows beyond [`MAX_ROWS`] are counted.
pub const OVERFLOW_TEAM: &str = "(others)";

/// Fewest requests in the short window for an alert. Among fewer, a single miss would raise one.
const MIN_ALERT_REQUESTS: u64 = 10;

/// Smallest error budget, as a share of the requests; an objective of 1 has none.
const MIN_ERROR_BUDGET: f64 = 1e-6;

/// Alerts on a fast burn, a slow burn, and a burn over the whole period.
pub const ALERT_WINDOWS: [Window; 3] = [
    Window::new("fast", 5 * 60, 3600, 14.4),
    Window::new("slow", 30 * 60, 6 * 3600, 6.0),
    Window::new("long", 6 * 3600, 3 * 24 * 3600, 1.0),
];

/// A pair of windows with an alert threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Name of the pair.
    pub name: &'static str,
    /// The short window.
    pub short: Duration,
    /// The long window.
    pub long: Duration,
    /// Burn rate that both windows must reach for an alert.
    pub threshold: f64,
}

impl Window {
    const fn new(name: &'static str, short_secs: u64, long_secs: u64, threshold: f64) -> Self {
        Self {
            name,
            short: Duration::from_secs(short_secs),
            long: Duration::from_secs(long_secs),
            threshold,
        }
    }
}

/// Service level of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Longest allowed time to the first token or byte.
    pub first: Duration,
    /// Longest allowed mean time between tokens, if there is a limit.
    pub between: Option<Duration>,
    /// Share of requests that must meet the level.
    pub objective: f64,
}

/// Measurements of one ended request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Service of the request.
    pub service: &'a Service,
    /// Route of the request.
    pub route: &'a Route,
    /// Team of the caller.
    pub team: &'a Team,
    /// Version that served the request.
    pub version: &'a Version,
    /// Time to the first token or byte; `None` if none was received.
    pub first: Option<Duration>,
    /// Mean time between tokens, if there were several.
    pub between: Option<Duration>,
    /// Whether the response was complete.
    pub complete: bool,
}

/// Requests of a service that a row counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case", tag = "by", content = "name")]
pub enum Subject {
    /// All requests of the service.
    Service,
    /// Requests of one route.
    Route(Route),
    /// Requests served by one version.
    Version(Version),
    /// Requests of one team.
    Team(Team),
}

/// Request counters of all services with a level, bounded in memory.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    levels: BTreeMap<Service, Level>,
    rows: BTreeMap<(Service, Subject), WindowedCounts>,
}

/// Burn rates of one row over one pair of windows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rate {
    /// Name of the pair.
    pub window: &'static str,
    /// Burn rate over the short window.
    pub short: f64,
    /// Burn rate over the long window.
    pub long: f64,
    /// Whether both reach the threshold, with at least `MIN_ALERT_REQUESTS` in the short window.
    pub alert: bool,
}

/// Error budget and burn rates of one row.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Service that received the requests.
    pub service: Service,
    /// Counted requests of the service.
    pub subject: Subject,
    /// Requests in the period.
    pub requests: u64,
    /// Requests in the period that missed the level.
    pub missed: u64,
    /// Remaining share of the budget that the period's requests so far allow; below 0 when it
    /// is overspent.
    pub left: f64,
    /// Burn rates by pair of windows.
    pub rates: Vec<Rate>,
}

/// Report on burn rates.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// Rows, worst first: by number of alerts, then by remaining budget.
    pub rows: Vec<Row>,
}

impl Level {
    /// Returns whether a request missed the level.
    pub fn missed(&self, request: &Request<'_>) -> bool {
        let late = request.first.is_none_or(|first| first > self.first);
        let slow = match (request.between, self.between) {
            (Some(between), Some(limit)) => between > limit,
            _ => false,
        };
        !request.complete || late || slow
    }

    /// Returns the burn rate: the share of missed requests over the share that the objective
    /// allows.
    fn burn(&self, count: Count) -> f64 {
        if count.requests == 0 {
            return 0.0;
        }
        let allowed = (1.0 - self.objective).max(MIN_ERROR_BUDGET);
        count.missed as f64 / count.requests as f64 / allowed
    }
}

impl Counters {
    /// Replaces the levels, and drops the rows of services that no longer have one.
    pub fn set_levels(&mut self, levels: BTreeMap<Service, Level>) {
        self.rows
            .retain(|(service, _), _| levels.contains_key(service));
        self.levels = levels;
    }

    /// Counts an ended request. Callers of this function leave out requests that a caller
    /// abandoned.
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
            if !self.rows.contains_key(&key) && self.rows.len() >= MAX_ROWS {
                key.1 = Subject::Team(OVERFLOW_TEAM.into());
            }
            self.rows.entry(key).or_default().add(missed, now);
        }
    }

    /// Returns the number of rows.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Returns the report at time `now`.
    pub fn report(&self, now: Clock) -> Burn {
        let mut rows = Vec::new();
        for ((service, subject), counts) in &self.rows {
            let Some(level) = self.levels.get(service) else {
                continue;
            };
            let period = counts.sum(BUDGET_PERIOD, now);
            rows.push(Row {
                service: service.clone(),
                subject: subject.clone(),
                requests: period.requests,
                missed: period.missed,
                left: 1.0 - level.burn(period),
                rates: ALERT_WINDOWS
                    .map(|window| rate(level, counts, window, now))
                    .to_vec(),
            });
        }
        rows.sort_by(|a, b| {
            let alerts = b.alerts().cmp(&a.alerts());
            alerts.then(a.left.total_cmp(&b.left))
        });
        Burn { rows }
    }
}

impl Row {
    /// Returns the number of pairs of windows with an alert.
    pub fn alerts(&self) -> usize {
        self.rates.iter().filter(|rate| rate.alert).count()
    }
}

/// Returns the burn rates of a row over a pair of windows.
fn rate(level: &Level, counts: &WindowedCounts, window: Window, now: Clock) -> Rate {
    let recent = counts.sum(window.short, now);
    let short = level.burn(recent);
    let long = level.burn(counts.sum(window.long, now));
    Rate {
        window: window.name,
        short,
        long,
        alert: recent.requests >= MIN_ALERT_REQUESTS
            && short >= window.threshold
            && long >= window.threshold,
    }
}
