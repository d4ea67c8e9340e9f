//! Knowledge that is known to be current.

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

/// A peer has seen a change that is still on its way here: a key may have been taken away. Its word
/// that it is current says nothing of this process, which would go on to accept the key.
#[test]
fn a_claim_of_changes_that_are_missing_confirms_nothing() {
    let mut fresh = Freshness::default();
    fresh.advance(7);
    fresh.receive(SECOND, claim(7, SECOND));
    assert_eq!(fresh.confirmed_at(), Some(SECOND));
    fresh.receive(SECOND * 2, claim(8, SECOND * 2));
    assert_eq!(fresh.confirmed_at(), Some(SECOND));
    assert_eq!(fresh.behind_since(), Some(SECOND * 2));
    fresh.advance(8);
    assert_eq!(fresh.confirmed_at(), Some(SECOND * 2));
    assert_eq!(fresh.behind_since(), None);
}

/// A late message claims less than is known. What is known must not become less current by it.
#[test]
fn an_old_claim_changes_nothing() {
    let mut fresh = Freshness::default();
    fresh.advance(7);
    fresh.receive(SECOND * 5, claim(7, SECOND * 5));
    fresh.receive(SECOND * 6, claim(6, SECOND));
    assert_eq!(fresh.confirmed_at(), Some(SECOND * 5));
    assert_eq!(fresh.behind_since(), None);
}

/// Hundreds of processes know the same. If each asked the store, its calls would grow with the
/// fleet; in turns, one asks and the others hear it.
#[test]
fn processes_ask_in_turns() {
    let mut dues = Vec::new();
    for place in 0..300 {
        let mut fresh = Freshness::default();
        fresh.advance(7);
        fresh.set_rank((place, 300), place);
        fresh.receive(SECOND, claim(7, SECOND));
        dues.push(fresh.next_check());
    }
    assert!(dues[0] < dues[1] && dues[1] < dues[2]);
    assert!(dues[299] < SECOND * 4, "one that hears nobody asks in time");
}

/// One of hundreds of processes finds that changes are missing everywhere. It reads them and tells the
/// others; those who listen to the store come next, should that get lost, and only then all. If all
/// read at once, the store's calls would grow with the fleet at each change.
#[test]
fn who_finds_changes_missing_reads_them_before_the_others() {
    let process = |near: usize| {
        let mut fresh = Freshness::default();
        fresh.advance(7);
        fresh.set_rank((near, 2), near);
        fresh
    };
    let (mut finder, mut listener, mut other) = (process(1), process(0), process(1));
    finder.confirm(SECOND, claim(8, SECOND));
    listener.receive(SECOND, claim(8, SECOND));
    other.receive(SECOND, claim(8, SECOND));
    assert_eq!(finder.fetch_at(), Some(SECOND));
    assert!(finder.fetch_at() < listener.fetch_at() && listener.fetch_at() < other.fetch_at());
    for fresh in [&mut finder, &mut listener, &mut other] {
        fresh.advance(8);
        assert_eq!(fresh.fetch_at(), None);
    }
    // The next time another one finds it out.
    finder.receive(SECOND * 2, claim(9, SECOND * 2));
    assert!(finder.fetch_at() > Some(SECOND * 2));
}

/// Guards against a wrong clock reading that stops all questions to the store: a claim of the future
/// would be the newest for as long as it lies ahead.
#[test]
fn a_claim_of_a_time_to_come_is_not_taken() {
    let mut fresh = Freshness::default();
    fresh.advance(7);
    fresh.receive(SECOND, claim(7, SECOND));
    let due = fresh.next_check();
    fresh.receive(SECOND * 2, claim(7, SECOND * 3));
    assert_eq!(fresh.confirmed_at(), Some(SECOND));
    assert_eq!(fresh.next_check(), due);
}

/// Guards against calls that are refused over and over: the store turns this host away and serves the
/// others, whose claims come every second.
#[test]
fn claims_of_others_do_not_hurry_a_process_that_is_turned_away() {
    let mut fresh = Freshness::default();
    fresh.advance(7);
    let mut now = SECOND;
    let mut calls = 0;
    while now < SECOND * 11 {
        if now.as_millis().is_multiple_of(1000) {
            fresh.receive(now, claim(7, now));
        }
        if fresh.retry_at() <= now {
            calls += 1;
            fresh.store_failed(now);
        }
        now += SECOND / 20;
    }
    assert!(calls <= 12, "{calls} calls in 10 s");
    fresh.store_answered();
    assert_eq!(fresh.retry_at(), Duration::ZERO);
}

/// Guards against a slow return after an outage: the first claim after it shows that the store is back.
#[test]
fn the_first_claim_after_an_outage_ends_the_backoff() {
    let mut fresh = Freshness::default();
    fresh.advance(7);
    fresh.receive(SECOND, claim(7, SECOND));
    let now = SECOND * 10;
    for _ in 0..6 {
        fresh.store_failed(now);
    }
    assert!(fresh.retry_at() > now);
    fresh.receive(now, claim(7, now));
    assert_eq!(fresh.retry_at(), Duration::ZERO);
}

/// Guards against a fleet that storms a store which is out: all its processes together try so often,
/// whatever their number, and one of them soon after its return.
#[rstest]
#[case::five(5, 90)]
#[case::a_hundred(103, 260)]
#[case::three_hundred(342, 520)]
fn a_large_fleet_tries_no_more_often_than_a_small_one(#[case] count: usize, #[case] most: usize) {
    let mut tries = Vec::new();
    for place in 0..count {
        let mut fresh = Freshness::default();
        fresh.advance(7);
        fresh.set_rank((place, count), place / 5);
        fresh.receive(SECOND, claim(7, SECOND));
        let mut now = SECOND;
        while now < SECOND * 16 {
            if fresh.next_check() <= now {
                tries.push(now);
                fresh.store_failed(now);
            }
            now += SECOND / 20;
        }
    }
    tries.sort_unstable();
    assert!(tries.len() <= most, "{} tries", tries.len());
    let late = tries.windows(2).filter(|pair| pair[0] > SECOND * 3);
    let longest = late.map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(SECOND * 2), "{longest:?} without a try");
}
