//! Replicas that fail: ejection, its floor, and the way back.

use std::time::Duration;

use assert_matches::assert_matches;
use names::Server;
use routing::{
    Choice,
    Outcome,
    Report,
    Settings, //
};
use rstest::rstest;

use common::{
    Bench,
    name,
    report, //
};

mod common;

const SECOND: Duration = Duration::from_secs(1);

/// Settings under which nothing is ejected.
fn never() -> Settings {
    Settings {
        max_failure_share: 2.0,
        max_consecutive_failures: u32::MAX,
        ..Settings::default()
    }
}

/// Sends requests for a while: good replicas take a second each, bad ones fail at once with their
/// share. Gives how many requests each replica got.
fn drive(bench: &mut Bench, replicas: usize, bad: &[(usize, u32)], ticks: usize) -> Vec<u32> {
    let step = Duration::from_millis(20);
    let mut got = vec![0; replicas];
    let mut running: Vec<(Duration, Server)> = Vec::new();
    for tick in 0..ticks {
        bench.pass(step);
        while running.first().is_some_and(|(end, _)| *end <= bench.now) {
            let (_, server) = running.remove(0);
            bench.serve(&server);
        }
        let server = bench.send(None);
        let number: usize = server[1..].parse().expect("servers are numbered");
        got[number] += 1;
        let share = bad.iter().find(|(bad, _)| *bad == number);
        let fails = share.is_some_and(|(_, share)| (tick * 37 % 100) < *share as usize);
        if fails {
            bench.done(&server, Outcome::Failed);
        } else {
            running.push((bench.now + SECOND, server));
        }
    }
    got
}

// A replica fails each request at once, so it always looks idle. Choice by load alone sends it
// most of the traffic, and most callers get errors.
#[rstest]
#[case::ejected(Settings::default(), 100, 5)]
#[case::not_ejected(never(), 100, 15)]
#[case::half_not_ejected(never(), 50, 15)]
#[case::half_ejected(Settings::default(), 50, 6)]
fn fast_failures_attract_nothing(
    #[case] settings: Settings,
    #[case] share: u32,
    #[case] most: u32,
) {
    for seed in 0..10 {
        let mut bench = Bench::new(10, settings.clone(), seed);
        let got = drive(&mut bench, 10, &[(3, share)], 3000);
        let percent = got[3] * 100 / 3000;
        assert!(percent <= most, "seed {seed}: {percent}% of {got:?}");
        assert!(got[3] > 0, "seed {seed}: it is tried now and then");
    }
}

// A shared dependency is down and all replicas fail, or a probe is wrong about all. Taking them
// out would turn errors into an outage that outlasts the cause.
#[rstest]
#[case::one(1)]
#[case::three(3)]
#[case::ten(10)]
fn nothing_empties_the_pool(#[case] replicas: usize, #[values(true, false)] probe: bool) {
    let mut bench = Bench::new(replicas, Settings::default(), 1);
    for number in 0..replicas {
        if probe {
            let unhealthy = Report {
                healthy: false,
                ..report(0)
            };
            bench.report(number, unhealthy);
            continue;
        }
        for _ in 0..20 {
            bench.pool.sent(bench.now, &name(number), None);
            bench.done(&name(number), Outcome::Failed);
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..200 {
        match bench.choose(None) {
            Choice::Server(server) => seen.insert(server),
            other => panic!("the pool is empty: {other:?}"),
        };
    }
    assert!(seen.len() * 10 >= replicas * 3, "{seen:?}");
}

#[test]
fn unhealthy_replica_gets_nothing() {
    let mut bench = Bench::new(3, Settings::default(), 1);
    let unhealthy = Report {
        healthy: false,
        ..report(0)
    };
    bench.report(0, unhealthy);
    for _ in 0..20 {
        assert_ne!(bench.send(None), name(0));
    }
    bench.report(0, report(0));
    for _ in 0..5 {
        assert_eq!(bench.send(None), name(0));
    }
}

/// Makes a replica fail until it is ejected.
fn eject(bench: &mut Bench, number: usize) {
    for _ in 0..5 {
        bench.pool.sent(bench.now, &name(number), None);
        bench.done(&name(number), Outcome::Failed);
    }
}

/// Gives the other replicas more load than failures count for.
fn occupy_others(bench: &mut Bench) {
    for number in [1, 2] {
        for _ in 0..6 {
            bench.pool.sent(bench.now, &name(number), None);
        }
    }
}

/// Whether a replica is among those that get work.
fn chosen(bench: &mut Bench, number: usize) -> bool {
    let target = name(number);
    let mut chosen = false;
    for _ in 0..100 {
        chosen |= bench.choose(None) == Choice::Server(target.clone());
    }
    chosen
}

// An ejected replica comes back with one request at a time. Given all its traffic at once, a
// replica that is still broken fails that many callers again.
#[test]
fn way_back_is_one_request_at_a_time() {
    let mut bench = Bench::new(3, Settings::default(), 1);
    eject(&mut bench, 0);
    assert!(!chosen(&mut bench, 0));
    // Its failures are forgotten as load by then.
    bench.pass(Duration::from_secs(300));
    occupy_others(&mut bench);
    assert!(chosen(&mut bench, 0));
    bench.pool.sent(bench.now, &name(0), None);
    assert!(!chosen(&mut bench, 0), "its trial is under way");
    bench.pool.answered(&name(0));
    assert!(chosen(&mut bench, 0), "it answers again");
}

#[test]
fn failed_trial_doubles_the_time() {
    let mut bench = Bench::new(3, Settings::default(), 1);
    eject(&mut bench, 0);
    bench.pass(Duration::from_secs(5));
    bench.pool.sent(bench.now, &name(0), None);
    bench.done(&name(0), Outcome::Failed);
    bench.pass(Duration::from_secs(9));
    // What else was under way fails too, and doesn't lengthen it.
    bench.done(&name(0), Outcome::Failed);
    assert!(!chosen(&mut bench, 0));
    bench.pass(Duration::from_secs(2));
    occupy_others(&mut bench);
    assert!(chosen(&mut bench, 0));
}

#[test]
fn rare_failures_eject_nobody() {
    let mut bench = Bench::new(3, Settings::default(), 1);
    for turn in 0..200 {
        let server = bench.send(None);
        if turn % 20 == 0 {
            bench.done(&server, Outcome::Failed);
        } else {
            bench.serve(&server);
        }
        bench.pass(SECOND);
    }
    // The last failure still counts as load for a while.
    bench.pass(60 * SECOND);
    for number in 0..3 {
        assert!(chosen(&mut bench, number));
    }
}

// Callers that hang up say nothing about a replica.
#[test]
fn cancelled_work_is_no_failure() {
    let mut bench = Bench::new(2, Settings::default(), 1);
    for _ in 0..50 {
        bench.pool.sent(bench.now, &name(0), None);
        bench.done(&name(0), Outcome::Cancelled);
    }
    assert!(chosen(&mut bench, 0));
    assert_matches!(bench.choose(None), Choice::Server(_));
}

// Half of the requests fail everywhere, as their cause is beyond the replicas. Ejecting those that
// happen to be worst would only push their load on the others.
#[test]
fn failures_that_all_share_eject_nobody() {
    let mut bench = Bench::new(3, Settings::default(), 1);
    for turn in 0..20 {
        for number in 0..3 {
            bench.pool.sent(bench.now, &name(number), None);
            if turn % 2 == 0 {
                bench.serve(&name(number));
            } else {
                bench.done(&name(number), Outcome::Failed);
            }
        }
    }
    for number in 0..3 {
        assert!(chosen(&mut bench, number));
    }
}
