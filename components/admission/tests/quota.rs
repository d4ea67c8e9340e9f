//! Retry quota over a sliding window.

use std::time::Duration;

use admission::{
    Bound,
    Peers,
    Purpose,
    Quota,
    Totals, //
};

const BOUND: Bound = Bound {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

const PROCESSES: usize = 28;

/// Returns the retries of the other processes according to their last reports.
fn peers(reported: &[Totals], own: usize) -> Peers {
    let mut totals = Totals::default();
    for (process, sums) in reported.iter().enumerate() {
        if process == own {
            continue;
        }
        totals.requests += sums.requests;
        totals.retries += sums.retries;
    }
    Peers {
        totals,
        coverage: 1.0,
        unreported: 0.0,
    }
}

const NO_PEERS: Peers = Peers {
    totals: Totals {
        requests: 0,
        retries: 0,
    },
    coverage: 1.0,
    unreported: 0.0,
};

/// Guards against retry amplification: servers fail in turn, and several of them refuse each
/// request. Retried without a bound, requests arrive three times over, and the remaining servers
/// get the most load when they are fewest. The bound must hold over all processes in any window.
#[test]
fn all_processes_together_stay_within_the_bound() {
    let mut quotas = vec![Quota::default(); PROCESSES];
    let mut reported = vec![Totals::default(); PROCESSES];
    let mut attempts: Vec<(Duration, bool)> = Vec::new();
    for step in 0..3000_u32 {
        let now = Duration::from_millis(10) * step;
        if step % 25 == 0 {
            for (sums, quota) in reported.iter_mut().zip(&mut quotas) {
                *sums = quota.totals(now, &BOUND);
            }
        }
        let process = step as usize % PROCESSES;
        let peers = peers(&reported, process);
        let quota = &mut quotas[process];
        quota.request(now, &BOUND);
        attempts.push((now, false));
        for _ in 0..4 {
            if quota.retry(now, &BOUND, peers, Purpose::Resume) {
                quota.settle(now, &BOUND);
                attempts.push((now, true));
            }
        }
    }
    for start in (0..20).map(Duration::from_secs) {
        let within = |at: &Duration| *at >= start && *at < start + BOUND.window;
        let retries = attempts
            .iter()
            .filter(|(at, retry)| *retry && within(at))
            .count();
        let requests = attempts
            .iter()
            .filter(|(at, retry)| !*retry && within(at))
            .count();
        let allowed = BOUND.ratio * requests as f64 + BOUND.slack;
        assert!(
            retries as f64 <= allowed,
            "{retries} > {allowed} from {start:?}"
        );
        assert!(
            retries as f64 >= allowed * 0.6,
            "{retries} of {allowed}: too strict"
        );
    }
}

/// Guards against a quota that requests without an answer use up: a stream that then loses its
/// server could not continue, and its caller would lose the answer so far.
#[test]
fn reserves_retries_for_answers_that_have_begun() {
    let mut quota = Quota::default();
    let now = Duration::from_secs(1);
    quota.request(now, &BOUND);
    while quota.retry(now, &BOUND, NO_PEERS, Purpose::Unanswered) {}
    assert!(quota.retry(now, &BOUND, NO_PEERS, Purpose::Resume));
}

/// Guards against a quota that quiet runs use up, though they may go on by themselves: an answer whose
/// server is lost beside them would end.
#[test]
fn reserves_retries_for_lost_runs() {
    let mut quota = Quota::default();
    let now = Duration::from_secs(1);
    quota.request(now, &BOUND);
    while quota.retry(now, &BOUND, NO_PEERS, Purpose::QuietRun) {}
    assert!(quota.retry(now, &BOUND, NO_PEERS, Purpose::Unanswered));
    assert!(quota.retry(now, &BOUND, NO_PEERS, Purpose::Resume));
}

/// A process is cut off from the others. It must keep to its part of the slack, as otherwise all
/// processes together would exceed the bound.
#[test]
fn isolated_process_stays_within_its_part() {
    let mut quota = Quota::default();
    let now = Duration::from_secs(1);
    let mut retries = 0;
    let peers = Peers {
        coverage: 1.0 / PROCESSES as f64,
        ..NO_PEERS
    };
    while quota.retry(now, &BOUND, peers, Purpose::Resume) {
        retries += 1;
    }
    assert!(retries <= BOUND.slack as usize / PROCESSES);
}

/// Guards against retries that arrive long after they were allowed, as a link held them up, beside
/// those that were allowed meanwhile.
#[test]
fn a_retry_counts_until_a_window_after_its_arrival() {
    let mut quota = Quota::default();
    let mut now = Duration::from_secs(1);
    let mut held = 0;
    while quota.retry(now, &BOUND, NO_PEERS, Purpose::Resume) {
        held += 1;
    }
    now += BOUND.window * 2;
    assert!(!quota.retry(now, &BOUND, NO_PEERS, Purpose::Resume));
    (0..held).for_each(|_| quota.settle(now, &BOUND));
    assert_eq!(quota.totals(now, &BOUND).retries, held);
    now += BOUND.window * 2;
    assert!(quota.retry(now, &BOUND, NO_PEERS, Purpose::Resume));
}
