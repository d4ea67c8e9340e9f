//! Choice by load, full replicas, leaving ones, and other data centres.

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
    Bench,
    CAPACITY,
    name,
    place,
    report, //
};

mod common;

const SECOND: Duration = Duration::from_secs(1);

fn counts(bench: &mut Bench, requests: usize) -> HashMap<Server, u32> {
    let mut counts = HashMap::new();
    for _ in 0..requests {
        *counts.entry(bench.send(None)).or_default() += 1;
    }
    counts
}

// Load reports lag by a second. A burst that trusts them goes to whichever replica last said that
// it is idle, and its callers wait while the others stand idle.
#[rstest]
#[case::no_report_since(0)]
#[case::one_second(1000)]
#[case::three_seconds(3000)]
fn burst_spreads_though_reports_lag(#[case] lag: u64) {
    for seed in 0..20 {
        let mut bench = Bench::new(10, Settings::default(), seed);
        bench.pass(Duration::from_secs(10));
        let mut counts = counts(&mut bench, 40);
        if lag > 0 {
            // A reading from before the burst comes in after half of it.
            let stale = Report {
                age: Duration::from_millis(lag),
                ..report(0)
            };
            bench.report(0, stale);
            for _ in 0..20 {
                *counts.entry(bench.send(None)).or_default() += 1;
            }
        }
        let most = counts.values().max().copied().unwrap_or_default();
        let mean = counts.values().sum::<u32>() / 10;
        assert!(most <= mean + 3, "seed {seed}: {counts:?}");
        assert_eq!(counts.len(), 10, "seed {seed}: {counts:?}");
    }
}

// A report holds this sender's own work; counted twice, a replica looks twice as loaded as it is
// and the group refuses work at half its capacity.
#[test]
fn own_work_in_a_report_counts_once() {
    let mut bench = Bench::new(2, Settings::default(), 1);
    for _ in 0..2 * (CAPACITY - 1) {
        bench.send(None);
    }
    bench.pass(SECOND);
    for number in 0..2 {
        bench.report(number, report(CAPACITY - 1));
    }
    assert_matches!(bench.choose(None), Choice::Server(_));
}

// A replica's reports are stuck at no load. Each sender sees its own work there and nothing of the
// others', so that all together bring it far beyond its capacity.
#[test]
fn reports_that_can_t_be_true_are_not_believed() {
    let mut bench = Bench::new(10, Settings::default(), 1);
    let mut counts = vec![0; 10];
    for _ in 0..280 {
        let server = bench.send(None);
        let number: usize = server[1..].parse().expect("servers are numbered");
        counts[number] += 1;
        bench.pass(SECOND);
        for (number, count) in counts.iter().enumerate() {
            // Two other senders do as much as this one.
            let running = if number == 0 { 0 } else { 3 * count };
            let report = Report {
                capacity: 100,
                ..report(running)
            };
            bench.report(number, report);
        }
    }
    // An even share is 28.
    assert!(counts[0] <= 32, "{counts:?}");
}

#[test]
fn work_of_other_senders_counts() {
    let mut bench = Bench::new(2, Settings::default(), 1);
    bench.report(0, report(CAPACITY - 1));
    for _ in 0..5 {
        assert_eq!(bench.send(None), name(1));
    }
}

#[test]
fn bigger_replicas_get_more() {
    let mut bench = Bench::new(2, Settings::default(), 1);
    let big = Report {
        capacity: 3 * CAPACITY,
        ..report(0)
    };
    bench.report(0, big);
    let counts = counts(&mut bench, 32);
    assert_eq!(counts[&name(0)], 24);
}

// All replicas are full. The callers are told at once when to come back, and not all at the same
// moment.
#[test]
fn full_group_refuses_with_spread_times() {
    let mut bench = Bench::new(2, Settings::default(), 1);
    for number in 0..2 {
        bench.report(number, report(CAPACITY));
    }
    let mut times = HashSet::new();
    for _ in 0..50 {
        match bench.choose(None) {
            Choice::None { retry_after } => times.insert(retry_after),
            other => panic!("the group is full: {other:?}"),
        };
    }
    assert!(times.len() > 40);
    let (least, most) = (times.iter().min(), times.iter().max());
    assert!(most > least.map(|least| least.mul_f64(1.5)).as_ref());
    assert_matches!(bench.ask(None, &[], true), Choice::Server(_));
}

#[test]
fn refusing_replica_is_left_alone_for_its_time() {
    let mut bench = Bench::new(2, Settings::default(), 1);
    let full = bench.send(None);
    let retry_after = SECOND;
    bench.done(&full, Outcome::Refused { retry_after });
    for _ in 0..5 {
        assert_ne!(bench.send(None), full);
    }
    bench.pass(SECOND);
    assert_eq!(bench.send(None), full);
}

// A host is about to go. New work on it would be cut; so it gets none, also when it is the last.
#[rstest]
#[case::one_of_two(2, true)]
#[case::the_last(1, false)]
fn leaving_replica_gets_nothing(#[case] replicas: usize, #[case] served: bool) {
    let mut bench = Bench::new(replicas, Settings::default(), 1);
    let leaving = Report {
        leaving: true,
        ..report(0)
    };
    bench.report(0, leaving);
    for resume in [false, true] {
        for _ in 0..20 {
            match bench.ask(None, &[], resume) {
                Choice::Server(server) => assert_eq!(server, name(1)),
                other => assert!(!served, "{other:?}"),
            }
        }
    }
}

// The replica that just broke an answer must not get its continuation, unless there is no other.
#[rstest]
#[case::one_of_two(2, 1)]
#[case::the_only_one(1, 0)]
fn avoided_servers_come_last(#[case] replicas: usize, #[case] chosen: usize) {
    let mut bench = Bench::new(replicas, Settings::default(), 1);
    for resume in [false, true] {
        let choice = bench.ask(None, &[name(0)], resume);
        assert_eq!(choice, Choice::Server(name(chosen)));
    }
}

#[test]
fn unknown_services_have_no_server() {
    let mut bench = Bench::new(0, Settings::default(), 1);
    assert_matches!(bench.choose(None), Choice::None { .. });
}

// Half of the engines die at the peak: their links close, and the driver takes them out. Work goes
// on to the rest until that is full.
#[test]
fn half_of_the_replicas_die() {
    let mut bench = Bench::new(10, Settings::default(), 1);
    for _ in 0..40 {
        bench.send(None);
    }
    for number in 0..5 {
        bench.pool.remove(&name(number));
    }
    let mut sent = 0;
    // Bounded, as a fault in the counting would have it go on for ever.
    for _ in 0..1000 {
        let Choice::Server(server) = bench.choose(None) else {
            break;
        };
        assert!(server >= name(5));
        bench.pool.sent(bench.now, &server, None);
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

// A data centre is full while others have room; or it is lost, and says nothing any more.
#[rstest]
#[case::near_has_room(5, Some(0), 0, false)]
#[case::far_has_room(10, Some(20), 0, true)]
#[case::far_is_full_too(10, Some(100), 0, false)]
#[case::far_is_lost(10, Some(20), 60, false)]
#[case::far_is_unknown(10, None, 0, false)]
fn other_data_centres(
    #[case] near: u32,
    #[case] far: Option<u32>,
    #[case] since: u64,
    #[case] elsewhere: bool,
) {
    let mut bench = Bench::new(2, Settings::default(), 1);
    if let Some(far) = far {
        let summary = summary(far);
        bench
            .pool
            .record_summary(bench.now, &place("far"), &summary);
    }
    bench.pass(Duration::from_secs(since));
    for number in 0..2 {
        bench.report(number, report(near));
    }
    let choice = bench.choose(None);
    assert_eq!(choice == Choice::Remote("far".to_string()), elsewhere);
}

// Summaries lag more than reports. Without a count of what was sent there since, everything that
// doesn't fit near would go to the data centre that last looked idle.
#[test]
fn work_elsewhere_is_counted() {
    let mut bench = Bench::new(1, Settings::default(), 1);
    bench.report(0, report(CAPACITY));
    for data_centre in ["a", "b"] {
        let summary = summary(50);
        let place = place(data_centre);
        bench.pool.record_summary(bench.now, &place, &summary);
    }
    let mut counts: HashMap<String, u32> = HashMap::new();
    for _ in 0..1000 {
        let Choice::Remote(data_centre) = bench.choose(None) else {
            break;
        };
        bench.pool.sent_remote(bench.now, &place(&data_centre));
        *counts.entry(data_centre).or_default() += 1;
    }
    assert!(counts["a"].abs_diff(counts["b"]) <= 1, "{counts:?}");
    assert!(counts["a"] <= 50, "{counts:?}");
    bench.pool.done_remote(bench.now, &place("a"));
    bench.pool.done_remote(bench.now, &place("a"));
    assert_matches!(bench.choose(None), Choice::Remote(_));
}

#[test]
fn known_replicas_elsewhere_are_chosen_directly() {
    let mut bench = Bench::new(1, Settings::default(), 1);
    bench.report(0, report(CAPACITY));
    let far = "far-1".to_string();
    bench.pool.insert(bench.now, &far, &place("far"));
    bench.pool.record_report(bench.now, &far, &report(2));
    assert_eq!(bench.choose(None), Choice::Server(far.clone()));
    let sum = bench.pool.summary(bench.now, &place("far"));
    assert_eq!((sum.load, sum.capacity), (2, CAPACITY));
}
