//! Retries over a fleet whose entries hear from one another seconds apart.

use std::time::Duration;

use admission::{
    Bound,
    Counts,
    Purpose,
    Retries, //
};
use names::Clock;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use rstest::rstest;

const BOUND: Bound = Bound {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

const STEP: Duration = Duration::from_millis(10);

/// A fleet in five data centres. Beacons go to all, each entry's at its own moment; within a data
/// centre retries are told with the next step.
struct Fleet {
    entries: Vec<Retries>,
    told: Vec<Counts>,
    data_centres: usize,
    beacon_interval: Duration,
    now: Clock,
    rng: SmallRng,
    requests: Vec<Clock>,
    retries: Vec<Clock>,
}

impl Fleet {
    fn new(entries: usize, beacon_interval: Duration) -> Fleet {
        Fleet {
            entries: vec![Retries::default(); entries],
            told: vec![Counts::default(); entries],
            data_centres: 5,
            beacon_interval,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(7),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn near(&self, one: usize, other: usize) -> bool {
        one % self.data_centres == other % self.data_centres
    }

    /// Lets a step pass; `failing` is the probability with which an entry wants to send again.
    fn step(&mut self, requests_per_s: f64, failing: impl Fn(usize) -> f64) {
        self.now += STEP;
        let count = self.entries.len();
        let part = requests_per_s * STEP.as_secs_f64() / count as f64;
        for entry in 0..count {
            if self.rng.random_bool(part) {
                self.entries[entry].request(self.now, &BOUND);
                self.requests.push(self.now);
            }
            let wanted = self.rng.random_bool(failing(entry));
            if wanted && self.entries[entry].retry(self.now, &BOUND, 1.0, Purpose::Resume) {
                self.retries.push(self.now);
            }
        }
        let interval = self.beacon_interval.as_millis();
        for from in 0..count {
            let offset = interval * from as u128 / count as u128;
            let beacon = (self.now.as_millis() + offset) % interval < STEP.as_millis();
            let told = self.entries[from].counts(self.now, &BOUND);
            let changed = told.retries != std::mem::replace(&mut self.told[from], told).retries;
            for to in 0..count {
                let near = self.near(from, to);
                if from != to && (near && changed || beacon) {
                    self.entries[to].record_peer(self.now, from as u64, told, near);
                }
            }
        }
    }

    /// The largest part of the bound that any window used, over whole windows.
    fn most(&self) -> f64 {
        let mut most = 0.0_f64;
        let mut start = Duration::ZERO;
        while start + BOUND.window <= self.now {
            let within = |at: &&Clock| **at >= start && **at < start + BOUND.window;
            let requests = self.requests.iter().filter(within).count() as f64;
            let retries = self.retries.iter().filter(within).count() as f64;
            most = most.max(retries / (BOUND.ratio * requests + BOUND.slack));
            start += Duration::from_millis(500);
        }
        most
    }
}

/// Guards against a hundred entries and more that each use up what is left of the retries, as they hear
/// of one another's only seconds later.
#[rstest]
#[case::a_hundred(100, Duration::from_secs(4))]
#[case::three_hundred(300, Duration::from_secs(10))]
fn a_fleet_that_hears_late_keeps_to_the_bound(
    #[case] entries: usize,
    #[case] beacon_interval: Duration,
) {
    let mut fleet = Fleet::new(entries, beacon_interval);
    for step in 0..3000 {
        // From the twelfth second on everybody wants to send again, at once and then again and again.
        let wanted = if step > 1200 { 0.05 } else { 0.0 };
        fleet.step(66.0, |_| wanted);
    }
    let most = fleet.most();
    assert!(most <= 1.0, "{most} of the bound");
    assert!(most >= 0.4, "{most} of the bound: too strict");
}

/// Guards against an estimate that keeps the entries of one failing data centre from what the others
/// don't use.
#[test]
fn one_data_centre_may_use_what_the_others_leave() {
    let mut fleet = Fleet::new(100, Duration::from_secs(4));
    let failing = |entry: usize| if entry.is_multiple_of(5) { 0.05 } else { 0.0 };
    for step in 0..3000 {
        fleet.step(66.0, |entry| if step > 1200 { failing(entry) } else { 0.0 });
    }
    let most = fleet.most();
    assert!(most <= 1.0, "{most} of the bound");
    assert!(most >= 0.2, "{most} of the bound: too strict");
}
