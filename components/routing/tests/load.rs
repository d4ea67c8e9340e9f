//! Selection by load, full and draining replicas, and other data centres.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use assert_matches::assert_matches;
use names::Server;
use routing::{
    Choice,
    Outcome,
    Report,
    Settings,
    Summary, //
};
use rstest::rstest;

use common::{
    CAPACITY,
    Harness,
    deployment,
    report, //
    server_name,
};

mod common;

const SECOND: Duration = Duration::from_secs(1);

fn counts(harness: &mut Harness, requests: usize) -> HashMap<Server, u32> {
    let mut counts = HashMap::new();
    for _ in 0..requests {
        *counts.entry(harness.send(None)).or_default() += 1;
    }
    counts
}

// Guards against delayed load reports: a burst that relies on them goes to whichever replica last
// reported that it was idle, and its callers queue while the others stay idle.
#[rstest]
#[case::no_report_since(0)]
#[case::one_second(1000)]
#[case::three_seconds(3000)]
fn burst_is_distributed_despite_delayed_reports(#[case] lag: u64) {
    for seed in 0..20 {
        let mut harness = Harness::new(10, Settings::default(), seed);
        harness.advance(Duration::from_secs(10));
        let mut counts = counts(&mut harness, 40);
        if lag > 0 {
            // A report measured before the burst arrives after half of it.
            let stale = Report {
                age: Duration::from_millis(lag),
                ..report(0)
            };
            harness.report(0, stale);
            for _ in 0..20 {
                *counts.entry(harness.send(None)).or_default() += 1;
            }
        }
        let highest = counts.values().max().copied().unwrap_or_default();
        let mean = counts.values().sum::<u32>() / 10;
        assert!(highest <= mean + 3, "seed {seed}: {counts:?}");
        assert_eq!(counts.len(), 10, "seed {seed}: {counts:?}");
    }
}

// Guards against counting own work twice, as reports include it: a replica would look twice as
// loaded, and the group would refuse work at half its capacity.
#[test]
fn own_work_in_a_report_is_counted_once() {
    let mut harness = Harness::new(2, Settings::default(), 1);
    for _ in 0..2 * (CAPACITY - 1) {
        harness.send(None);
    }
    harness.advance(SECOND);
    for number in 0..2 {
        harness.report(number, report(CAPACITY - 1));
    }
    assert_matches!(harness.choose(None), Choice::Server(_));
}

// Guards against a replica whose reports stay at zero load: each sender would see only its own work
// there, and together they would exceed its capacity.
#[test]
fn implausible_reports_are_ignored() {
    let mut harness = Harness::new(10, Settings::default(), 1);
    let mut counts = vec![0; 10];
    for _ in 0..280 {
        let server = harness.send(None);
        let number: usize = server[1..].parse().expect("servers are numbered");
        counts[number] += 1;
        harness.advance(SECOND);
        for (number, count) in counts.iter().enumerate() {
            // Two other senders send as much as this one.
            let running = if number == 0 { 0 } else { 3 * count };
            let report = Report {
                capacity: 100,
                ..report(running)
            };
            harness.report(number, report);
        }
    }
    // An even share is 28 requests.
    assert!(counts[0] <= 32, "{counts:?}");
}

#[test]
fn work_of_other_senders_is_counted() {
    let mut harness = Harness::new(2, Settings::default(), 1);
    harness.report(0, report(CAPACITY - 1));
    for _ in 0..5 {
        assert_eq!(harness.send(None), server_name(1));
    }
}

#[test]
fn larger_replicas_get_more_work() {
    let mut harness = Harness::new(2, Settings::default(), 1);
    let big = Report {
        capacity: 3 * CAPACITY,
        ..report(0)
    };
    harness.report(0, big);
    let counts = counts(&mut harness, 32);
    assert_eq!(counts[&server_name(0)], 24);
}

// Guards against callers of a full group that all retry at the same time.
#[test]
fn full_group_returns_distributed_retry_delays() {
    let mut harness = Harness::new(2, Settings::default(), 1);
    for number in 0..2 {
        harness.report(number, report(CAPACITY));
    }
    let mut times = HashSet::new();
    for _ in 0..50 {
        match harness.choose(None) {
            Choice::None { retry_after } => times.insert(retry_after),
            other => panic!("expected a refusal: {other:?}"),
        };
    }
    assert!(times.len() > 40);
    let (least, most) = (times.iter().min(), times.iter().max());
    assert!(most > least.map(|least| least.mul_f64(1.5)).as_ref());
    assert_matches!(harness.choose_with(None, &[], true), Choice::Server(_));
}

#[test]
fn refusing_replica_gets_no_work_until_its_retry_delay_ends() {
    let mut harness = Harness::new(2, Settings::default(), 1);
    let full = harness.send(None);
    let retry_after = SECOND;
    harness.done(&full, Outcome::Refused { retry_after });
    for _ in 0..5 {
        assert_ne!(harness.send(None), full);
    }
    harness.advance(SECOND);
    assert_eq!(harness.send(None), full);
}

// A draining host would interrupt new work, so it gets none even if it is the last.
#[rstest]
#[case::one_of_two(2, true)]
#[case::the_last(1, false)]
fn draining_replica_gets_no_work(#[case] replicas: usize, #[case] served: bool) {
    let mut harness = Harness::new(replicas, Settings::default(), 1);
    let leaving = Report {
        leaving: true,
        ..report(0)
    };
    harness.report(0, leaving);
    for resume in [false, true] {
        for _ in 0..20 {
            match harness.choose_with(None, &[], resume) {
                Choice::Server(server) => assert_eq!(server, server_name(1)),
                other => assert!(!served, "{other:?}"),
            }
        }
    }
}

// The replica that just interrupted an answer must not get its continuation unless there is no
// other.
#[rstest]
#[case::one_of_two(2, 1)]
#[case::the_only_one(1, 0)]
fn avoided_servers_are_the_last_resort(#[case] replicas: usize, #[case] chosen: usize) {
    let mut harness = Harness::new(replicas, Settings::default(), 1);
    for resume in [false, true] {
        let choice = harness.choose_with(None, &[server_name(0)], resume);
        assert_eq!(choice, Choice::Server(server_name(chosen)));
    }
}

#[test]
fn unknown_services_have_no_server() {
    let mut harness = Harness::new(0, Settings::default(), 1);
    assert_matches!(harness.choose(None), Choice::None { .. });
}

// Half of the engines fail at peak load: their links close, and the driver removes them. The rest
// gets work until it is full.
#[test]
fn work_continues_when_half_of_the_replicas_fail() {
    let mut harness = Harness::new(10, Settings::default(), 1);
    for _ in 0..40 {
        harness.send(None);
    }
    for number in 0..5 {
        harness.pool.remove(&server_name(number));
    }
    let mut sent = 0;
    // Bounded, as a miscount would make the loop endless.
    for _ in 0..1000 {
        let Choice::Server(server) = harness.choose(None) else {
            break;
        };
        assert!(server >= server_name(5));
        harness.pool.sent(harness.now, &server, None);
        sent += 1;
    }
    assert!((20..=35).contains(&sent), "{sent}");
}

fn summary(load: u32) -> Summary {
    Summary {
        load,
        capacity: 100,
        age: Duration::ZERO,
    }
}

// The local data centre is full while others have room, are full, or are lost and publish no
// summaries.
#[rstest]
#[case::local_has_room(5, Some(0), 0, false)]
#[case::remote_has_room(10, Some(20), 0, true)]
#[case::both_are_full(10, Some(100), 0, false)]
#[case::remote_is_lost(10, Some(20), 60, false)]
#[case::remote_is_unknown(10, None, 0, false)]
fn spills_to_other_data_centres(
    #[case] local_load: u32,
    #[case] remote_load: Option<u32>,
    #[case] age_s: u64,
    #[case] spills: bool,
) {
    let mut harness = Harness::new(2, Settings::default(), 1);
    if let Some(load) = remote_load {
        let summary = summary(load);
        harness
            .pool
            .record_summary(harness.now, &deployment("far"), &summary);
    }
    harness.advance(Duration::from_secs(age_s));
    for number in 0..2 {
        harness.report(number, report(local_load));
    }
    let choice = harness.choose(None);
    assert_eq!(choice == Choice::Remote("far".to_string()), spills);
}

// Guards against summaries, which lag more than reports: without counting the work sent since, all
// work that doesn't fit locally would go to the data centre that last looked idle.
#[test]
fn work_in_other_data_centres_is_counted() {
    let mut harness = Harness::new(1, Settings::default(), 1);
    harness.report(0, report(CAPACITY));
    for data_centre in ["a", "b"] {
        let summary = summary(50);
        let deployment = deployment(data_centre);
        harness
            .pool
            .record_summary(harness.now, &deployment, &summary);
    }
    let mut counts: HashMap<String, u32> = HashMap::new();
    for _ in 0..1000 {
        let Choice::Remote(data_centre) = harness.choose(None) else {
            break;
        };
        harness
            .pool
            .sent_remote(harness.now, &deployment(&data_centre));
        *counts.entry(data_centre).or_default() += 1;
    }
    assert!(counts["a"].abs_diff(counts["b"]) <= 1, "{counts:?}");
    assert!(counts["a"] <= 50, "{counts:?}");
    harness.pool.done_remote(harness.now, &deployment("a"));
    harness.pool.done_remote(harness.now, &deployment("a"));
    assert_matches!(harness.choose(None), Choice::Remote(_));
}

#[test]
fn known_replicas_of_other_data_centres_are_chosen_directly() {
    let mut harness = Harness::new(1, Settings::default(), 1);
    harness.report(0, report(CAPACITY));
    let remote = "far-1".to_string();
    harness
        .pool
        .insert(harness.now, &remote, &deployment("far"));
    harness.pool.record_report(harness.now, &remote, &report(2));
    assert_eq!(harness.choose(None), Choice::Server(remote.clone()));
    let summary = harness.pool.summary(harness.now, &deployment("far"));
    assert_eq!((summary.load, summary.capacity), (2, CAPACITY));
}
