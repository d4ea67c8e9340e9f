//! Retries over a fleet whose processes receive each other's reports with a delay of seconds.

use std::time::Duration;

use admission::{
    Bound,
    Counts,
    Departed,
    Purpose,
    Retries,
    Standing,
    Totals, //
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

/// Returns the standing of a process that all others hear, seconds late.
fn standing(processes: usize) -> Standing {
    Standing {
        coverage: 1.0,
        processes,
        confirmed_at: None,
    }
}

/// A fleet in five data centres. Each process sends beacons to all others at its own moments;
/// within a data centre, retries are reported with the next step.
struct Fleet {
    processes: Vec<Retries>,
    counts: Vec<Counts>,
    data_centres: usize,
    beacon_interval: Duration,
    now: Clock,
    rng: SmallRng,
    requests: Vec<Clock>,
    retries: Vec<Clock>,
}

impl Fleet {
    fn new(processes: usize, beacon_interval: Duration) -> Fleet {
        Fleet {
            processes: vec![Retries::default(); processes],
            counts: vec![Counts::default(); processes],
            data_centres: 5,
            beacon_interval,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(7),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn is_local(&self, one: usize, other: usize) -> bool {
        one % self.data_centres == other % self.data_centres
    }

    /// Advances one step; `failing` returns the probability with which a process tries to retry.
    fn step(&mut self, requests_per_s: f64, failing: impl Fn(usize) -> f64) {
        self.now += STEP;
        let count = self.processes.len();
        let probability = requests_per_s * STEP.as_secs_f64() / count as f64;
        for process in 0..count {
            if self.rng.random_bool(probability) {
                self.processes[process].request(self.now, &BOUND);
                self.requests.push(self.now);
            }
            let retries = self.rng.random_bool(failing(process));
            let standing = standing(count);
            if retries && self.processes[process].retry(self.now, &BOUND, standing, Purpose::Resume)
            {
                self.processes[process].settle(self.now, &BOUND);
                self.retries.push(self.now);
            }
        }
        let interval = self.beacon_interval.as_millis();
        for from in 0..count {
            let offset = interval * from as u128 / count as u128;
            let beacon = (self.now.as_millis() + offset) % interval < STEP.as_millis();
            let counts = self.processes[from].counts(self.now, &BOUND);
            let changed =
                counts.retries != std::mem::replace(&mut self.counts[from], counts).retries;
            for to in 0..count {
                let is_local = self.is_local(from, to);
                if from != to && (is_local && changed || beacon) {
                    self.processes[to].record_peer(self.now, from as u64, counts, is_local);
                }
            }
        }
    }

    /// Returns the largest share of the bound that any whole window used.
    fn max_use(&self) -> f64 {
        let mut max_use = 0.0_f64;
        let mut start = Duration::ZERO;
        while start + BOUND.window <= self.now {
            let within = |at: &&Clock| **at >= start && **at < start + BOUND.window;
            let requests = self.requests.iter().filter(within).count() as f64;
            let retries = self.retries.iter().filter(within).count() as f64;
            max_use = max_use.max(retries / (BOUND.ratio * requests + BOUND.slack));
            start += Duration::from_millis(500);
        }
        max_use
    }
}

/// Guards against a hundred or more processes that each use up the remaining retries, as they learn
/// of each other's retries only seconds later.
#[rstest]
#[case::a_hundred(100, Duration::from_secs(4))]
#[case::three_hundred(300, Duration::from_secs(10))]
fn fleet_with_delayed_reports_stays_within_the_bound(
    #[case] processes: usize,
    #[case] beacon_interval: Duration,
) {
    let mut fleet = Fleet::new(processes, beacon_interval);
    for step in 0..3000 {
        // From the twelfth second on, all processes try to retry continuously.
        let wanted = if step > 1200 { 0.05 } else { 0.0 };
        fleet.step(66.0, |_| wanted);
    }
    let max_use = fleet.max_use();
    assert!(max_use <= 1.0, "{max_use} of the bound");
    assert!(max_use >= 0.4, "{max_use} of the bound: too strict");
}

/// Guards against an estimate that keeps the processes of one failing data centre from the retries
/// that the others don't use.
#[test]
fn one_data_centre_may_use_the_retries_that_others_leave() {
    let mut fleet = Fleet::new(100, Duration::from_secs(4));
    let failing = |process: usize| if process.is_multiple_of(5) { 0.05 } else { 0.0 };
    for step in 0..3000 {
        fleet.step(
            66.0,
            |process| if step > 1200 { failing(process) } else { 0.0 },
        );
    }
    let max_use = fleet.max_use();
    assert!(max_use <= 1.0, "{max_use} of the bound");
    assert!(max_use >= 0.2, "{max_use} of the bound: too strict");
}

/// Guards against retries that no longer count once their process has ended, while they still count
/// against the bound.
#[test]
fn retries_of_a_process_that_ended_count_until_they_leave_the_window() {
    let now = Duration::from_secs(100);
    let mut remaining = Retries::default();
    let counts = Counts {
        totals: Totals {
            requests: 100,
            retries: 150,
        },
        retries: 150,
        live: 150,
    };
    remaining.record_peer(now, 1, counts, false);
    remaining.forget(1, BOUND.window);
    assert!(!remaining.retry(now, &BOUND, standing(2), Purpose::Resume));
    let later = now + BOUND.window;
    assert!(remaining.retry(later, &BOUND, standing(2), Purpose::Resume));
}

/// Guards against a peer whose retries count twice when it reports again.
#[test]
fn retries_of_a_silent_process_that_returns_count_once() {
    let now = Duration::from_secs(100);
    let mut retries = Retries::default();
    let counts = Counts {
        totals: Totals {
            requests: 100,
            retries: 60,
        },
        retries: 60,
        live: 60,
    };
    retries.record_peer(now, 1, counts, false);
    retries.forget(1, BOUND.window);
    retries.record_peer(now, 1, counts, false);
    assert_eq!(retries.peers(now, &BOUND, 1.0).totals.retries, 60);
}

/// Guards against a process that takes all that seems unused before the others can know of it, each
/// of which does the same.
#[test]
fn a_process_takes_its_part_until_the_others_know() {
    let now = Duration::from_secs(100);
    let later = now + Duration::from_millis(100);
    let mut retries = Retries::default();
    let mut take = |now, confirmed_at| {
        let standing = Standing {
            confirmed_at: Some(confirmed_at),
            ..standing(5)
        };
        let mut count = 0;
        while retries.retry(now, &BOUND, standing, Purpose::Resume) {
            count += 1;
        }
        count
    };
    // A fifth of 0.8 times 150, then of the rest.
    assert_eq!(take(now, now), 24);
    assert_eq!(take(later, now), 0);
    assert_eq!(take(later, later), 19);
}

/// Guards against a replacement without a way back: of two retries that are taken together, none is taken
/// if one is missing, and both count for the others' part.
#[rstest]
#[case::alone(1, 60)]
#[case::of_five(5, 12)]
fn retries_are_taken_together_or_not_at_all(#[case] processes: usize, #[case] pairs: usize) {
    let now = Duration::from_secs(100);
    let standing = Standing {
        confirmed_at: Some(now),
        ..standing(processes)
    };
    let mut retries = Retries::default();
    let mut count = 0;
    while retries.retries(now, &BOUND, standing, Purpose::Resume, 2) {
        count += 1;
    }
    // 0.8 times 150, shared by the processes.
    assert_eq!(count, pairs);
    let left = retries.left(now, &BOUND, standing, Purpose::Resume);
    assert_eq!(left, 120.0 - 2.0 * pairs as f64);
}

/// Guards against retries of a departed process that are told again and again, and never leave the
/// window.
#[test]
fn retries_that_are_told_count_no_longer_than_where_they_come_from() {
    let now = Duration::from_secs(100);
    let (mut one, mut other) = (Retries::default(), Retries::default());
    let departed = Departed {
        peer: 7,
        retries: 40,
        counts_until: now + Duration::from_secs(2),
    };
    one.record_departed(departed);
    for step in 0..8 {
        let now = now + Duration::from_millis(250) * step;
        let told: Vec<_> = one.departed(now).collect();
        told.into_iter()
            .for_each(|told| other.record_departed(told));
        std::mem::swap(&mut one, &mut other);
    }
    assert_eq!(one.departed(now + Duration::from_secs(2)).count(), 0);
    assert_eq!(other.departed(now + Duration::from_secs(2)).count(), 0);
}
