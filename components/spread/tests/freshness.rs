//! Freshness of replicated state: claims, order of the checks, fetches and backoff.

use std::time::Duration;

use rstest::rstest;
use spread::freshness::{
    Claim,
    Freshness, //
};

const SECOND: Duration = Duration::from_secs(1);

fn claim(revision: u64, at: Duration) -> Claim {
    Claim { revision, at }
}

/// A peer has applied a change that this process has not received yet, such as a revoked key.
/// Guards against taking the peer's claim for a confirmation of this process's state, which would
/// keep the key valid.
#[test]
fn a_claim_of_missing_changes_confirms_nothing() {
    let mut freshness = Freshness::default();
    freshness.advance(7);
    freshness.receive(SECOND, claim(7, SECOND));
    assert_eq!(freshness.confirmed_at(), Some(SECOND));
    freshness.receive(SECOND * 2, claim(8, SECOND * 2));
    assert_eq!(freshness.confirmed_at(), Some(SECOND));
    assert_eq!(freshness.behind_since(), Some(SECOND * 2));
    freshness.advance(8);
    assert_eq!(freshness.confirmed_at(), Some(SECOND * 2));
    assert_eq!(freshness.behind_since(), None);
}

/// Guards against a late message with an older claim making the state look less current.
#[test]
fn an_old_claim_changes_nothing() {
    let mut freshness = Freshness::default();
    freshness.advance(7);
    freshness.receive(SECOND * 5, claim(7, SECOND * 5));
    freshness.receive(SECOND * 6, claim(6, SECOND));
    assert_eq!(freshness.confirmed_at(), Some(SECOND * 5));
    assert_eq!(freshness.behind_since(), None);
}

/// Hundreds of processes hold the same state. Guards against calls to the store that grow with the
/// fleet: processes take turns, one asks and the others receive its claim.
#[test]
fn processes_check_in_turns() {
    let mut checks = Vec::new();
    for rank in 0..300 {
        let mut freshness = Freshness::default();
        freshness.advance(7);
        freshness.set_rank((rank, 300), rank);
        freshness.receive(SECOND, claim(7, SECOND));
        checks.push(freshness.next_check());
    }
    assert!(checks[0] < checks[1] && checks[1] < checks[2]);
    assert!(
        checks[299] < SECOND * 4,
        "a process without claims from others checks in time"
    );
}

/// One of hundreds of processes discovers that all lack changes. It reads them and sends them to
/// the others; if that message is lost, the processes that watch the store read next, and all
/// others after them. Guards against calls to the store that grow with the fleet at each change.
#[test]
fn the_process_that_discovers_missing_changes_fetches_them_first() {
    let process = |local_rank: usize| {
        let mut freshness = Freshness::default();
        freshness.advance(7);
        freshness.set_rank((local_rank, 2), local_rank);
        freshness
    };
    let (mut discoverer, mut watcher, mut other) = (process(1), process(0), process(1));
    discoverer.confirm(SECOND, claim(8, SECOND));
    watcher.receive(SECOND, claim(8, SECOND));
    other.receive(SECOND, claim(8, SECOND));
    assert_eq!(discoverer.fetch_at(), Some(SECOND));
    assert!(discoverer.fetch_at() < watcher.fetch_at() && watcher.fetch_at() < other.fetch_at());
    for freshness in [&mut discoverer, &mut watcher, &mut other] {
        freshness.advance(8);
        assert_eq!(freshness.fetch_at(), None);
    }
    // Another process discovers the next change.
    discoverer.receive(SECOND * 2, claim(9, SECOND * 2));
    assert!(discoverer.fetch_at() > Some(SECOND * 2));
}

/// Guards against a wrong clock that stops all calls to the store: a claim for a future time would
/// be the newest until then.
#[test]
fn a_future_claim_is_ignored() {
    let mut freshness = Freshness::default();
    freshness.advance(7);
    freshness.receive(SECOND, claim(7, SECOND));
    let next_check = freshness.next_check();
    freshness.receive(SECOND * 2, claim(7, SECOND * 3));
    assert_eq!(freshness.confirmed_at(), Some(SECOND));
    assert_eq!(freshness.next_check(), next_check);
}

/// Guards against endless refused calls while the store refuses this host and serves the others,
/// whose claims arrive every second.
#[test]
fn claims_of_others_do_not_shorten_the_backoff_of_a_refused_process() {
    let mut freshness = Freshness::default();
    freshness.advance(7);
    let mut now = SECOND;
    let mut calls = 0;
    while now < SECOND * 11 {
        if now.as_millis().is_multiple_of(1000) {
            freshness.receive(now, claim(7, now));
        }
        if freshness.retry_at() <= now {
            calls += 1;
            freshness.store_failed(now);
        }
        now += SECOND / 20;
    }
    assert!(calls <= 12, "{calls} calls in 10 s");
    freshness.store_answered();
    assert_eq!(freshness.retry_at(), Duration::ZERO);
}

/// Guards against a slow recovery: the first claim after an outage shows that the store is
/// available again.
#[test]
fn the_first_claim_after_an_outage_ends_the_backoff() {
    let mut freshness = Freshness::default();
    freshness.advance(7);
    freshness.receive(SECOND, claim(7, SECOND));
    let now = SECOND * 10;
    for _ in 0..6 {
        freshness.store_failed(now);
    }
    assert!(freshness.retry_at() > now);
    freshness.receive(now, claim(7, now));
    assert_eq!(freshness.retry_at(), Duration::ZERO);
}

/// Guards against overloading an unavailable store: the fleet's total rate of retries does not
/// depend on its size, and one process retries soon after the store's return.
#[rstest]
#[case::five(5, 90)]
#[case::hundred(103, 260)]
#[case::three_hundred(342, 520)]
fn the_retry_rate_does_not_grow_with_the_fleet(#[case] count: usize, #[case] max_retries: usize) {
    let mut retries = Vec::new();
    for rank in 0..count {
        let mut freshness = Freshness::default();
        freshness.advance(7);
        freshness.set_rank((rank, count), rank / 5);
        freshness.receive(SECOND, claim(7, SECOND));
        let mut now = SECOND;
        while now < SECOND * 16 {
            if freshness.next_check() <= now {
                retries.push(now);
                freshness.store_failed(now);
            }
            now += SECOND / 20;
        }
    }
    retries.sort_unstable();
    assert!(retries.len() <= max_retries, "{} retries", retries.len());
    let during_outage = retries.windows(2).filter(|pair| pair[0] > SECOND * 3);
    let longest = during_outage.map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(SECOND * 2), "{longest:?} without a retry");
}
