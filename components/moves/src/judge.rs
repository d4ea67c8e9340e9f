//! Sequential tests of the new version against the old one, valid whenever they are evaluated.
//!
//! While both versions get traffic, each request goes to the new one by its hash with the
//! probability of the share `s`, independent of the request's properties. If the new version is no
//! worse, a failed request is thus one of the new version's with probability `s`. If it fails `r`
//! times as often, that probability is `r s / (r s + 1 - s)`. The product of these ratios over all
//! events is an e-process: under a good version it ever exceeds `1 / a` with probability at most
//! `a`, however often it is evaluated (Ville's inequality). Overloads, noise and lost hosts affect
//! both versions in proportion to the share and leave it unchanged, without any model of how rates
//! change over time.
//!
//! The same holds for requests slower than a limit derived from the old version. Averages of
//! e-processes are e-processes, so tests, ratios and possible onset times are averaged.

use std::collections::BTreeMap;

use names::Route;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    evidence::{
        Cause,
        Cells,
        Death,
        Pair,
        Tally, //
    },
    history::History,
    plan::SLOTS_PER_MOVE,
    share::{
        Level,
        Side, //
    },
};

/// E-value at which the new version is reverted.
///
/// A good version reaches it with a probability of at most 1 in 500 at any one entry.
pub const VETO_THRESHOLD: f64 = 500.0;

/// E-value at which the share stops growing until the value falls.
pub const HOLD_THRESHOLD: f64 = 4.0;

/// Assumed ratios of a bad version's failure or slowness rate to the old version's.
const BAD_RATE_RATIOS: [f64; 4] = [2.0, 4.0, 12.0, 64.0];

/// Weight of an onset in the first slot; later onsets share the rest.
const FIRST_SLOT_ONSET_WEIGHT: f64 = 0.4;

/// Successful requests of the new version required for the full share; smaller shares require
/// proportionally fewer.
const REQUESTS_FOR_FULL_SHARE: f64 = 1000.0;

/// Requests of the new version required on each route for the full share.
const MIN_REQUESTS_PER_ROUTE: u32 = 20;

/// Quantity that a test compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Requests that failed.
    Failed,
    /// First tokens over the limit.
    SlowFirst,
    /// Times between tokens over the limit.
    SlowBetween,
    /// Backend servers that died without another known cause.
    Died,
}

/// Result of the strongest test.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Finding {
    /// The compared quantity.
    pub metric: Metric,
    /// The route, or `None` for all routes together.
    pub route: Option<Route>,
    /// Events of the new version.
    pub new: u32,
    /// Requests of the new version.
    pub of_new: u32,
    /// Events of the old version.
    pub old: u32,
    /// Requests of the old version.
    pub of_old: u32,
}

/// Result of assessing the evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// E-value against the new version.
    pub e_value: f64,
    /// The test with the largest contribution, if any event of the new version was seen.
    pub finding: Option<Finding>,
}

const METRICS: [Metric; 4] = [
    Metric::Failed,
    Metric::SlowFirst,
    Metric::SlowBetween,
    Metric::Died,
];

impl Metric {
    /// Returns the events and requests of a tally for this metric.
    fn count(self, tally: &Tally) -> (u32, u32) {
        match self {
            Self::Failed => (tally.distinct_failures(), tally.requests),
            Self::SlowFirst => (tally.slow_first, tally.firsts),
            Self::SlowBetween => (tally.slow_between, tally.betweens),
            Self::Died => (0, tally.requests),
        }
    }

    /// Returns the weight of the metric among all tests.
    fn weight(self) -> f64 {
        match self {
            Self::Failed => 0.5,
            Self::SlowFirst | Self::SlowBetween => 0.2,
            Self::Died => 0.1,
        }
    }
}

/// Evidence of one test: log likelihood ratios by slot and assumed ratio.
struct Series {
    slots: Vec<[f64; BAD_RATE_RATIOS.len()]>,
    history: History,
    by_slot: Vec<(u32, u32)>,
    new: (u32, u32),
    old: (u32, u32),
}

impl Series {
    fn new() -> Self {
        Self {
            slots: vec![[0.0; BAD_RATE_RATIOS.len()]; SLOTS_PER_MOVE as usize],
            history: History::default(),
            by_slot: vec![(0, 0); SLOTS_PER_MOVE as usize],
            new: (0, 0),
            old: (0, 0),
        }
    }

    fn count_old(&mut self, slot: u16, (events, requests): (u32, u32)) {
        let sum = &mut self.by_slot[usize::from(slot)];
        *sum = (sum.0 + events, sum.1 + requests);
        self.old = (self.old.0 + events, self.old.1 + requests);
    }

    fn close_history(&mut self) {
        for (events, requests) in &self.by_slot {
            self.history.add(*events, *requests);
        }
    }

    /// Adds events from a time when both versions had traffic.
    fn compare(&mut self, slot: u16, level: Level, new: u32, old: u32) {
        if new == 0 && old == 0 {
            return;
        }
        let share = level.share();
        let sums = &mut self.slots[usize::from(slot)];
        for (sum, ratio) in sums.iter_mut().zip(BAD_RATE_RATIOS) {
            let normalizer = ratio * share + 1.0 - share;
            *sum += f64::from(new) * (ratio / normalizer).ln() - f64::from(old) * normalizer.ln();
        }
    }

    /// Adds events from a time when the new version had all traffic.
    fn compare_with_past(&mut self, slot: u16, (events, requests): (u32, u32)) {
        let Some(rate) = self.history.baseline_rate() else {
            return;
        };
        let good = f64::from(requests.saturating_sub(events));
        let sums = &mut self.slots[usize::from(slot)];
        for (sum, ratio) in sums.iter_mut().zip(BAD_RATE_RATIOS) {
            let worse = (ratio * rate).min((1.0 + rate) / 2.0);
            *sum += f64::from(events) * (worse / rate).ln();
            *sum += good * ((1.0 - worse) / (1.0 - rate)).ln();
        }
    }

    /// Returns the e-value, averaged over assumed ratios and onset times.
    fn e_value(&self) -> f64 {
        let Some(first) = self.slots.iter().position(|slot| slot[0] != 0.0) else {
            return 1.0;
        };
        let later = (1.0 - FIRST_SLOT_ONSET_WEIGHT) / f64::from(SLOTS_PER_MOVE - 1);
        let mut sums = [0.0; BAD_RATE_RATIOS.len()];
        let mut total = 0.0;
        for (slot, values) in self.slots.iter().enumerate().rev() {
            for (sum, value) in sums.iter_mut().zip(values) {
                *sum += value;
            }
            let mean = sums.iter().map(|sum| sum.min(600.0).exp()).sum::<f64>();
            let mean = mean / BAD_RATE_RATIOS.len() as f64;
            match slot {
                _ if slot == first => {
                    return total + mean * (FIRST_SLOT_ONSET_WEIGHT + later * slot as f64);
                }
                _ => total += mean * later,
            }
        }
        total
    }
}

/// All tests of one metric: one over all routes, and one per route.
struct Family<'a> {
    metric: Metric,
    all: Series,
    routes: BTreeMap<&'a Route, Series>,
}

impl<'a> Family<'a> {
    fn new(metric: Metric, total: &'a Cells) -> Self {
        let mut family = Self {
            metric,
            all: Series::new(),
            routes: BTreeMap::new(),
        };
        for (key, pair) in total {
            let count = metric.count(&pair.old);
            family.all.count_old(key.slot, count);
            if metric == Metric::Died {
                continue;
            }
            let series = family.routes.entry(&key.route);
            series
                .or_insert_with(Series::new)
                .count_old(key.slot, count);
        }
        family
    }

    fn add_cells(&mut self, total: &'a Cells) {
        self.all.close_history();
        for series in self.routes.values_mut() {
            series.close_history();
        }
        let mut all = BTreeMap::<(u16, Level), Pair>::new();
        for (key, pair) in total {
            all.entry((key.slot, key.level)).or_default().add(pair);
            let Some(series) = self.routes.get_mut(&key.route) else {
                continue;
            };
            Self::add_pair(self.metric, series, key.slot, key.level, pair);
        }
        for ((slot, level), pair) in &all {
            Self::add_pair(self.metric, &mut self.all, *slot, *level, pair);
        }
    }

    fn add_pair(metric: Metric, series: &mut Series, slot: u16, level: Level, pair: &Pair) {
        let new = metric.count(&pair.new);
        series.new = (series.new.0 + new.0, series.new.1 + new.1);
        if level == Level::FULL {
            series.compare_with_past(slot, new);
        } else if level != Level::ZERO {
            series.compare(slot, level, new.0, metric.count(&pair.old).0);
        }
    }

    /// Iterates over the tests with their weights.
    fn tests(&self) -> impl Iterator<Item = (Option<&Route>, &Series, f64)> {
        let weight = self.metric.weight();
        let parts = if self.routes.len() > 1 { 2.0 } else { 1.0 };
        let count = self.routes.len() as f64;
        let all = (None, &self.all, weight / parts);
        let by_route = self
            .routes
            .iter()
            .filter(move |_| parts > 1.0)
            .map(move |(route, series)| (Some(*route), series, weight / parts / count));
        std::iter::once(all).chain(by_route)
    }
}

/// Assesses the new version by all known evidence.
pub fn assess<'a>(total: &Cells, deaths: impl Iterator<Item = &'a Death>) -> Verdict {
    let deaths: Vec<_> = deaths.collect();
    let mut verdict = Verdict {
        e_value: 0.0,
        finding: None,
    };
    let mut strongest = 0.0;
    for metric in METRICS {
        if metric == Metric::Died && deaths.is_empty() {
            continue;
        }
        // Without an event of the new version no evidence can speak against it.
        let mut new = total.values().map(|pair| metric.count(&pair.new).0);
        if metric != Metric::Died && new.all(|events| events == 0) {
            continue;
        }
        let mut family = Family::new(metric, total);
        if metric == Metric::Died {
            add_deaths(&mut family.all, &deaths);
        }
        family.add_cells(total);
        for (route, series, weight) in family.tests() {
            let contribution = weight * series.e_value();
            verdict.e_value += contribution;
            if series.new.0 > 0 && contribution > strongest {
                strongest = contribution;
                verdict.finding = Some(Finding {
                    metric,
                    route: route.cloned(),
                    new: series.new.0,
                    of_new: series.new.1,
                    old: series.old.0,
                    of_old: series.old.1,
                });
            }
        }
    }
    verdict
}

fn add_deaths(series: &mut Series, deaths: &[&Death]) {
    for death in deaths {
        if death.cause != Cause::Unexplained {
            continue;
        }
        if death.side == Side::Old {
            series.count_old(death.slot, (1, 0));
        }
    }
    for death in deaths {
        if death.cause != Cause::Unexplained {
            continue;
        }
        let new = u32::from(death.side == Side::New);
        series.new.0 += new;
        if death.level == Level::FULL {
            // The requests of the slot are added with the cells; only the event is added here.
            series.compare_with_past(death.slot, (new, 0));
        } else if death.level != Level::ZERO {
            series.compare(death.slot, death.level, new, 1 - new);
        }
    }
}

/// Returns the highest share that the evidence supports while none of it speaks against the new
/// version.
pub fn supported_level(total: &Cells, routes: &[Route]) -> Level {
    let mut by_route = BTreeMap::<&Route, u32>::new();
    let mut ended = 0.0;
    for (key, pair) in total {
        *by_route.entry(&key.route).or_default() += pair.new.requests;
        ended += f64::from(pair.new.requests);
    }
    let supported_permille = (ended / REQUESTS_FOR_FULL_SHARE * 1000.0) as u32;
    let level = Level::at_most(supported_permille);
    if level < Level::FULL {
        return level;
    }
    let undertested = routes
        .iter()
        .any(|route| by_route.get(route).copied().unwrap_or(0) < MIN_REQUESTS_PER_ROUTE);
    if undertested {
        return Level::at_most(999);
    }
    Level::FULL
}
