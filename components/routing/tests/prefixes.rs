//! Prefix affinity, and cache events that come late or not at all.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use names::Server;
use routing::{
    Event,
    Kind,
    Settings, //
};
use rstest::rstest;

use common::{
    Bench,
    name,
    place,
    report, //
};

mod common;

const PREFIX: u64 = 0x9f2c;

/// Servers that requests with the prefix go to, one at a time.
fn targets(bench: &mut Bench, prefix: u64, requests: usize) -> BTreeSet<Server> {
    let mut seen = BTreeSet::new();
    for _ in 0..requests {
        let server = bench.send(Some(prefix));
        bench.serve(&server);
        seen.insert(server);
    }
    seen
}

fn event(seq: u64, kind: Kind) -> Event {
    Event {
        seq,
        kind,
        prefix: PREFIX,
    }
}

#[test]
fn prefix_stays_on_few_replicas() {
    for prefix in 0..20 {
        let mut bench = Bench::new(20, Settings::default(), prefix);
        assert!(targets(&mut bench, prefix, 100).len() <= 2);
    }
}

// Everybody uses the same first words. Kept on two replicas, they would be overrun while the rest
// stand idle.
#[test]
fn hot_prefix_spreads() {
    let mut bench = Bench::new(10, Settings::default(), 1);
    let mut counts: BTreeMap<Server, u32> = BTreeMap::new();
    for _ in 0..60 {
        *counts.entry(bench.send(Some(PREFIX))).or_default() += 1;
    }
    // A quarter and one run above the mean of six, and the one that is chosen at that bound.
    let most = counts.values().max().copied();
    assert!(most <= Some(9), "{counts:?}");
    assert!(counts.len() >= 7, "{counts:?}");
}

#[test]
fn prefixes_differ_in_their_replicas() {
    let mut seen = BTreeSet::new();
    for prefix in 0..50 {
        let mut bench = Bench::new(10, Settings::default(), prefix);
        seen.extend(targets(&mut bench, prefix, 10));
    }
    assert_eq!(seen.len(), 10);
}

/// The replicas of the prefix without any events, and one that isn't among them.
fn stranger(seed: u64) -> usize {
    let mut bench = Bench::new(10, Settings::default(), seed);
    let usual = targets(&mut bench, PREFIX, 50);
    (0..10)
        .find(|number| !usual.contains(&name(*number)))
        .expect("a prefix stays on few replicas")
}

/// Share of requests that go to a replica.
fn share(bench: &mut Bench, number: usize) -> f64 {
    let mut hits = 0;
    for _ in 0..100 {
        let choice = bench.choose(Some(PREFIX));
        hits += u32::from(choice == routing::Choice::Server(name(number)));
    }
    f64::from(hits) / 100.0
}

// Another entry's request brought the prefix into a cache; the event tells, and requests go there.
// Events come late, out of order after a reconnect, or never, and replicas restart with an empty
// cache: then the prompt is read anew, and the hint must fade.
#[rstest]
#[case::stored(&[event(1, Kind::Stored)], 0, true)]
#[case::evicted(&[event(1, Kind::Stored), event(2, Kind::Evicted)], 0, false)]
#[case::evicted_again_seen(&[event(2, Kind::Evicted), event(1, Kind::Stored)], 0, false)]
#[case::old(&[event(1, Kind::Stored)], 121, false)]
#[case::gap_young(&[event(1, Kind::Stored), event(5, Kind::Evicted)], 0, false)]
fn events_lead_requests(#[case] events: &[Event], #[case] later: u64, #[case] known: bool) {
    let stranger = stranger(1);
    let mut bench = Bench::new(10, Settings::default(), 1);
    for event in events {
        bench
            .pool
            .record_cache_event(bench.now, &name(stranger), *event);
    }
    bench.pass(Duration::from_secs(later));
    assert_eq!(share(&mut bench, stranger) > 0.2, known);
}

#[rstest]
#[case::no_gap(2, 30, true)]
#[case::gap_soon(3, 10, true)]
#[case::gap_later(3, 30, false)]
fn lost_events_make_hints_doubtful(#[case] seq: u64, #[case] later: u64, #[case] known: bool) {
    let stranger = stranger(1);
    let mut bench = Bench::new(10, Settings::default(), 1);
    let stored = event(1, Kind::Stored);
    bench
        .pool
        .record_cache_event(bench.now, &name(stranger), stored);
    bench.pass(Duration::from_secs(1));
    let other = Event {
        prefix: 7,
        ..event(seq, Kind::Stored)
    };
    bench
        .pool
        .record_cache_event(bench.now, &name(stranger), other);
    bench.pass(Duration::from_secs(later));
    assert_eq!(share(&mut bench, stranger) > 0.2, known);
}

#[test]
fn restarted_replica_holds_nothing() {
    let stranger = stranger(1);
    let mut bench = Bench::new(10, Settings::default(), 1);
    let stored = event(9, Kind::Stored);
    bench
        .pool
        .record_cache_event(bench.now, &name(stranger), stored);
    bench.pass(Duration::from_secs(1));
    bench.pool.remove(&name(stranger));
    bench
        .pool
        .insert(bench.now, &name(stranger), &place("near"));
    bench.report(stranger, report(0));
    assert!(share(&mut bench, stranger) < 0.2);
    // Its numbers begin anew.
    let stored = event(1, Kind::Stored);
    bench
        .pool
        .record_cache_event(bench.now, &name(stranger), stored);
    assert!(share(&mut bench, stranger) > 0.2);
}

#[test]
fn memory_for_prefixes_is_bounded() {
    let stranger = stranger(1);
    let mut bench = Bench::new(
        10,
        Settings {
            max_prefixes: 100,
            ..Settings::default()
        },
        1,
    );
    let stored = event(1, Kind::Stored);
    bench
        .pool
        .record_cache_event(bench.now, &name(stranger), stored);
    for prefix in 0..100 {
        bench.pool.sent(bench.now, &name(0), Some(prefix));
        bench.serve(&name(0));
    }
    assert!(share(&mut bench, stranger) < 0.2);
}

// A prefix that all use fills its replicas up to their bound above the mean. Near capacity that
// bound would be beyond what a replica has, and its last requests would wait while others have
// room.
#[test]
fn hot_prefix_leaves_room_near_capacity() {
    let mut bench = Bench::new(10, Settings::default(), 1);
    for number in 0..10 {
        let large = routing::Report {
            capacity: 100,
            ..report(0)
        };
        bench.report(number, large);
    }
    let mut counts: BTreeMap<Server, u32> = BTreeMap::new();
    for _ in 0..750 {
        *counts.entry(bench.send(Some(PREFIX))).or_default() += 1;
    }
    let most = counts.values().max().copied();
    assert!(most <= Some(82), "{counts:?}");
}
