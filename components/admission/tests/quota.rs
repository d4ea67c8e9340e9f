//! Retries over a sliding window.

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

const ENTRIES: usize = 28;

/// What the other entries sent, as it was known a moment ago.
fn others(told: &[Totals], own: usize) -> Peers {
    let mut totals = Totals::default();
    for (entry, sums) in told.iter().enumerate() {
        if entry == own {
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

const ALONE: Peers = Peers {
    totals: Totals {
        requests: 0,
        retries: 0,
    },
    coverage: 1.0,
    unreported: 0.0,
};

/// Servers go down and up by turns, and each request is refused by several of them. Sent on until
/// one takes it, requests arrive three times over, and the servers that are up are pressed most
/// when they are fewest. The bound must hold over all entries in any window, also at its worst.
#[test]
fn all_entries_together_keep_to_the_bound() {
    let mut quotas = vec![Quota::default(); ENTRIES];
    let mut told = vec![Totals::default(); ENTRIES];
    let mut sends: Vec<(Duration, bool)> = Vec::new();
    for step in 0..3000_u32 {
        let now = Duration::from_millis(10) * step;
        if step % 25 == 0 {
            for (sums, quota) in told.iter_mut().zip(&mut quotas) {
                *sums = quota.totals(now, &BOUND);
            }
        }
        let entry = step as usize % ENTRIES;
        let others = others(&told, entry);
        let quota = &mut quotas[entry];
        quota.request(now, &BOUND);
        sends.push((now, false));
        for _ in 0..4 {
            if quota.retry(now, &BOUND, others, Purpose::Resume) {
                sends.push((now, true));
            }
        }
    }
    for start in (0..20).map(Duration::from_secs) {
        let within = |at: &Duration| *at >= start && *at < start + BOUND.window;
        let retries = sends
            .iter()
            .filter(|(at, retry)| *retry && within(at))
            .count();
        let requests = sends
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

/// First answers are sent again until nothing is left. A stream that then loses its server could
/// not go on, and its caller would lose what it has.
#[test]
fn something_is_left_for_answers_that_have_begun() {
    let mut quota = Quota::default();
    let now = Duration::from_secs(1);
    quota.request(now, &BOUND);
    while quota.retry(now, &BOUND, ALONE, Purpose::First) {}
    assert!(quota.retry(now, &BOUND, ALONE, Purpose::Resume));
}

/// An entry is cut off from the others. Were it to take the whole slack, all of them together would
/// exceed the bound; it keeps to its part.
#[test]
fn an_entry_that_hears_nobody_keeps_to_its_part() {
    let mut quota = Quota::default();
    let now = Duration::from_secs(1);
    let mut retries = 0;
    let others = Peers {
        coverage: 1.0 / ENTRIES as f64,
        ..ALONE
    };
    while quota.retry(now, &BOUND, others, Purpose::Resume) {
        retries += 1;
    }
    assert!(retries <= BOUND.slack as usize / ENTRIES);
}
