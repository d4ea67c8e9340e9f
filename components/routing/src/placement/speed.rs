//! Speeds of servers relative to the others of their service.
//!
//! `Recent` reacts within seconds to a server that slows down. `Speeds` holds steady
//! differences: processes count what they observe at each server, exchange the counts and add them
//! up. A process with one request per server and minute thereby knows what all of them observed.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use names::{
    Clock,
    Server,
    Service, //
};

use super::Peer;

mod growth;
mod pace;
mod recent;
mod tally;

use growth::Growth;
pub use pace::Pace;
pub(super) use recent::Recent;
pub use tally::{
    Counts,
    Tallies, //
};

/// Maximum distance of one observation from its service's mean, as a logarithm: a time four times
/// as long.
const MAX_DEVIATION: f64 = 1.4;

/// Factor on the standard error from which the difference of a single server is significant.
const SIGNIFICANT_ERRORS: f64 = 4.0;

/// Smallest difference that counts, as a logarithm: of a server among equal ones, and of one among
/// servers that differ. Data centres and loads that differ cause smaller ones.
const MIN_DIFFERENCE: f64 = 0.15;
const MIN_DIFFERENCE_AMONG_UNEQUAL: f64 = 0.075;

/// Assumed standard deviation of observations, as a logarithm, and its weight in observations.
const PRIOR_SPREAD: f64 = 0.5;
const PRIOR_SPREAD_WEIGHT: f64 = 6.0;

/// Maximum weight of the observations by which the spread is known, so that it adapts.
const MAX_SPREAD_WEIGHT: f64 = 400.0;

/// Weight of observations from which a server takes part in its service's mean.
const MIN_WEIGHT: f64 = 0.75;

/// Shortest interval at which the estimates are computed again, and the interval for each server:
/// in a large fleet the computation must not take a noticeable share of a small host's time.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
const REFRESH_INTERVAL_PER_SERVER: Duration = Duration::from_millis(2);

/// Maximum number of peers whose counts are kept for one server.
const MAX_PEERS_PER_SERVER: usize = 32;

/// Number of servers without news in each message to peers.
const REPEATS: usize = 2;

/// What is observed at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Time for one prompt token, or for a whole request of a plain service.
    Request,
    /// Time between two events of a stream.
    Step,
}

impl Kind {
    const ALL: [Kind; 2] = [Kind::Request, Kind::Step];
}

/// Observations at one server.
#[derive(Clone, Debug)]
struct Record {
    service: Service,
    own: Tallies,
    /// Counts of peers, with the sequence numbers of the messages.
    peers: HashMap<Peer, (u32, Tallies)>,
    /// Steady slowness as a logarithm; 0 for a server like the others.
    difference: f64,
    /// Mean number of runs and time of a step, as logarithms, by which the growth is measured.
    steps: Option<(f64, f64)>,
    /// Whether counts of this process changed since they were last taken for peers.
    is_news: bool,
    /// Time at which they were last taken.
    taken_at: Clock,
}

impl Record {
    fn total(&self, now: Clock, kind: Kind) -> (f64, f64) {
        let peers = self.peers.values().map(|(_, tallies)| tallies);
        peers
            .chain([&self.own])
            .map(|tallies| tallies.at(now, kind))
            .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

/// Distribution of one kind of observation over the servers of a service.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    /// Mean over the servers, as a logarithm of seconds.
    mean: Option<f64>,
    /// Variance of the observations at one server, and its weight.
    variance: f64,
    weight: f64,
}

impl Default for Baseline {
    fn default() -> Baseline {
        Baseline {
            mean: None,
            variance: PRIOR_SPREAD * PRIOR_SPREAD,
            weight: PRIOR_SPREAD_WEIGHT,
        }
    }
}

impl Baseline {
    /// Records the distance of an observation from the mean of the earlier ones at its server.
    fn record_residual(&mut self, residual: f64, earlier: f64) {
        let variance = residual * residual / (1.0 + 1.0 / earlier);
        self.weight = (self.weight + 1.0).min(MAX_SPREAD_WEIGHT);
        self.variance += (variance - self.variance) / self.weight;
    }
}

/// Steady slowness of servers, with the counts of observations that it is estimated from.
#[derive(Clone, Debug, Default)]
pub(super) struct Speeds {
    records: BTreeMap<Server, Record>,
    baselines: HashMap<Service, [Baseline; 2]>,
    /// Growth of the time of a step with the number of runs.
    growths: HashMap<Service, Growth>,
    refreshed_at: Clock,
}

impl Speeds {
    /// Adds a server without observations.
    pub(super) fn insert(&mut self, server: &Server, service: &Service) {
        let record = Record {
            service: service.clone(),
            own: Tallies::default(),
            peers: HashMap::new(),
            difference: 0.0,
            steps: None,
            is_news: false,
            taken_at: Clock::ZERO,
        };
        self.records.insert(server.clone(), record);
        self.baselines.entry(service.clone()).or_default();
    }

    /// Removes a server.
    pub(super) fn remove(&mut self, server: &Server) {
        self.records.remove(server);
    }

    /// Forgets what was observed at a server, as another process runs there now.
    pub(super) fn reset(&mut self, server: &Server) {
        if let Some(record) = self.records.get(server) {
            let service = record.service.clone();
            self.insert(server, &service);
        }
    }

    /// Returns the steady slowness of a server: 1 for one like the others, 2 for one that takes
    /// twice as long.
    pub(super) fn slowness(&self, server: &Server) -> f64 {
        let record = self.records.get(server);
        record.map_or(1.0, |record| record.difference.exp())
    }

    /// Records how long a unit of work took at a server.
    pub(super) fn record(&mut self, now: Clock, server: &Server, kind: Kind, seconds: f64) {
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        if !seconds.is_normal() || seconds < 0.0 {
            return;
        }
        let baselines = self.baselines.entry(record.service.clone()).or_default();
        let baseline = &mut baselines[kind as usize];
        let observed = match baseline.mean {
            Some(mean) => seconds
                .ln()
                .clamp(mean - MAX_DEVIATION, mean + MAX_DEVIATION),
            None => seconds.ln(),
        };
        let (weight, sum) = record.total(now, kind);
        if weight >= MIN_WEIGHT {
            baseline.record_residual(observed - sum / weight, weight);
        }
        record.own.record(now, kind, observed);
        record.is_news = true;
    }

    /// Records the time between two events of a stream at a server with this number of runs.
    pub(super) fn record_step(&mut self, now: Clock, server: &Server, runs: u32, seconds: f64) {
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        let growth = self.growths.entry(record.service.clone()).or_default();
        growth.record(&mut record.steps, runs, seconds);
        let seconds = seconds / growth.factor(runs);
        self.record(now, server, Kind::Step, seconds);
    }

    /// Returns the usual time between two events of a stream at a server with this number of runs.
    pub(super) fn step_time(&self, server: &Server, runs: u32) -> Option<f64> {
        let record = self.records.get(server)?;
        let mean = self.baselines.get(&record.service)?[Kind::Step as usize].mean?;
        let growth = self.growths.get(&record.service).copied();
        let factor = growth.unwrap_or_default().factor(runs);
        Some((mean + record.difference).exp() * factor)
    }

    /// Replaces the counts of a peer at a server, unless those of a later message are known.
    pub(super) fn set_peer_counts(
        &mut self,
        now: Clock,
        (peer, sequence): (Peer, u32),
        server: &Server,
        counts: [Counts; 2],
    ) {
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        if record
            .peers
            .get(&peer)
            .is_some_and(|(known, _)| *known > sequence)
        {
            return;
        }
        record
            .peers
            .insert(peer, (sequence, Tallies::new(now, counts)));
        if record.peers.len() <= MAX_PEERS_PER_SERVER {
            return;
        }
        let lightest = record
            .peers
            .iter()
            .min_by(|(_, one), (_, other)| one.1.weight(now).total_cmp(&other.1.weight(now)));
        if let Some(peer) = lightest.map(|(peer, _)| *peer) {
            record.peers.remove(&peer);
        }
    }

    /// Returns this process's counts at up to `count` servers with news, and at a few that peers were
    /// told of longest ago, as messages may be lost.
    pub(super) fn take_counts(&mut self, now: Clock, count: usize) -> Vec<(Server, [Counts; 2])> {
        let known = self.records.iter_mut();
        let mut known: Vec<_> = known
            .filter(|(_, record)| record.is_news || record.own.weight(now) >= MIN_WEIGHT)
            .collect();
        known.sort_by_key(|(_, record)| (!record.is_news, record.taken_at));
        let news = known.iter().filter(|(_, record)| record.is_news).count();
        let mut counts = Vec::new();
        for (server, record) in known.into_iter().take(news.min(count) + REPEATS) {
            record.is_news = false;
            record.taken_at = now;
            counts.push((server.clone(), record.own.counts(now)));
        }
        counts
    }

    /// Returns this process's counts at all servers.
    pub(super) fn all_counts(&self, now: Clock) -> Vec<(Server, [Counts; 2])> {
        let known = self.records.iter();
        known
            .filter(|(_, record)| record.own.weight(now) >= MIN_WEIGHT)
            .map(|(server, record)| (server.clone(), record.own.counts(now)))
            .collect()
    }

    /// Returns whether the estimates are due to be computed again.
    pub(super) fn is_due(&self, now: Clock) -> bool {
        let servers = self.records.len() as u32;
        let interval = REFRESH_INTERVAL.max(REFRESH_INTERVAL_PER_SERVER * servers);
        now.saturating_sub(self.refreshed_at) >= interval
    }

    /// Computes the estimates of all servers.
    pub(super) fn refresh(&mut self, now: Clock) {
        self.refreshed_at = now;
        for (service, baselines) in &mut self.baselines {
            let servers: Vec<&mut Record> = self
                .records
                .values_mut()
                .filter(|record| record.service == *service)
                .collect();
            estimate(now, servers, baselines);
        }
    }
}

/// Difference of a server from the mean of its service, and its variance.
type Difference = (f64, f64);

/// Estimates the differences of a service's servers.
fn estimate(now: Clock, mut servers: Vec<&mut Record>, baselines: &mut [Baseline; 2]) {
    let mut precisions = vec![(0.0, 0.0); servers.len()];
    for kind in Kind::ALL {
        let baseline = &mut baselines[kind as usize];
        let totals: Vec<(f64, f64)> = servers
            .iter()
            .map(|record| record.total(now, kind))
            .collect();
        let known = totals.iter().filter(|(weight, _)| *weight >= MIN_WEIGHT);
        let means: Vec<f64> = known.map(|(weight, sum)| sum / weight).collect();
        if means.is_empty() {
            continue;
        }
        let mean = means.iter().sum::<f64>() / means.len() as f64;
        baseline.mean = Some(mean);
        for (precision, (weight, sum)) in precisions.iter_mut().zip(totals) {
            if weight >= MIN_WEIGHT {
                let own = weight / baseline.variance;
                precision.0 += own;
                precision.1 += own * (sum / weight - mean);
            }
        }
    }
    let differences: Vec<Option<Difference>> = precisions
        .iter()
        .map(|(precision, sum)| (*precision > 0.0).then(|| (sum / precision, 1.0 / precision)))
        .collect();
    let between = variance_between(&differences);
    for (record, difference) in servers.iter_mut().zip(differences) {
        record.difference = difference.map_or(0.0, |difference| significant(difference, between));
    }
}

/// Returns the variance of the speeds themselves, beyond what the observations' spread explains; 0
/// unless that is significant over all servers.
fn variance_between(differences: &[Option<Difference>]) -> f64 {
    let known: Vec<&Difference> = differences.iter().flatten().collect();
    let degrees = known.len().saturating_sub(1) as f64;
    if degrees < 1.0 {
        return 0.0;
    }
    let ratio: f64 = known
        .iter()
        .map(|(difference, variance)| difference * difference / variance)
        .sum::<f64>()
        / degrees;
    if ratio < 1.0 + SIGNIFICANT_ERRORS * (2.0 / degrees).sqrt() {
        return 0.0;
    }
    let excess: f64 = known
        .iter()
        .map(|(difference, variance)| difference * difference - variance)
        .sum::<f64>();
    (excess / degrees).max(0.0)
}

/// Returns the part of a difference that counts. It begins at 0 where the difference becomes
/// significant.
fn significant((difference, variance): Difference, between: f64) -> f64 {
    if between.sqrt() >= MIN_DIFFERENCE {
        let shrunk = difference * between / (between + variance);
        return beyond(shrunk, MIN_DIFFERENCE_AMONG_UNEQUAL);
    }
    let own = beyond(difference, SIGNIFICANT_ERRORS * variance.sqrt());
    beyond(own, MIN_DIFFERENCE)
}

fn beyond(difference: f64, least: f64) -> f64 {
    match difference.abs() > least {
        true => difference - least * least / difference,
        false => 0.0,
    }
}
