//! Ejection of failing replicas, its limit, and recovery.

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
    Harness,
    report, //
    server_name,
};

mod common;

const SECOND: Duration = Duration::from_secs(1);

/// Settings that disable ejection.
fn without_ejection() -> Settings {
    Settings {
        max_failure_share: 2.0,
        max_consecutive_failures: u32::MAX,
        ..Settings::default()
    }
}

/// Sends a request per tick: healthy replicas take a second each, and faulty ones fail their
/// percentage of requests at once. Returns the number of requests that each replica got.
fn run_requests(
    harness: &mut Harness,
    replicas: usize,
    faulty: &[(usize, u32)],
    ticks: usize,
) -> Vec<u32> {
    let step = Duration::from_millis(20);
    let mut received = vec![0; replicas];
    let mut running: Vec<(Duration, Server)> = Vec::new();
    for tick in 0..ticks {
        harness.advance(step);
        while running.first().is_some_and(|(end, _)| *end <= harness.now) {
            let (_, server) = running.remove(0);
            harness.serve(&server);
        }
        let server = harness.send(None);
        let number: usize = server[1..].parse().expect("servers are numbered");
        received[number] += 1;
        let share = faulty.iter().find(|(replica, _)| *replica == number);
        let fails = share.is_some_and(|(_, share)| (tick * 37 % 100) < *share as usize);
        if fails {
            harness.done(&server, Outcome::Failed);
        } else {
            running.push((harness.now + SECOND, server));
        }
    }
    received
}

// Guards against a replica that fails its requests at once: it always looks idle, so choosing by
// load alone sends it most of the traffic.
#[rstest]
#[case::ejected(Settings::default(), 100, 5)]
#[case::not_ejected(without_ejection(), 100, 15)]
#[case::half_not_ejected(without_ejection(), 50, 15)]
#[case::half_ejected(Settings::default(), 50, 6)]
fn fast_failures_attract_little_traffic(
    #[case] settings: Settings,
    #[case] share: u32,
    #[case] max_percent: u32,
) {
    for seed in 0..10 {
        let mut harness = Harness::new(10, settings.clone(), seed);
        let received = run_requests(&mut harness, 10, &[(3, share)], 3000);
        let percent = received[3] * 100 / 3000;
        assert!(
            percent <= max_percent,
            "seed {seed}: {percent}% of {received:?}"
        );
        assert!(received[3] > 0, "seed {seed}: the replica is probed");
    }
}

// Guards against ejecting all replicas when a shared dependency fails or a health check is wrong
// about all of them: errors would become an outage that outlasts its cause.
#[rstest]
#[case::one(1)]
#[case::three(3)]
#[case::ten(10)]
fn common_failures_do_not_empty_the_pool(
    #[case] replicas: usize,
    #[values(true, false)] by_health_check: bool,
) {
    let mut harness = Harness::new(replicas, Settings::default(), 1);
    for number in 0..replicas {
        if by_health_check {
            let unhealthy = Report {
                healthy: false,
                ..report(0)
            };
            harness.report(number, unhealthy);
            continue;
        }
        for _ in 0..20 {
            harness.pool.sent(harness.now, &server_name(number), None);
            harness.done(&server_name(number), Outcome::Failed);
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..200 {
        match harness.choose(None) {
            Choice::Server(server) => seen.insert(server),
            other => panic!("no server: {other:?}"),
        };
    }
    assert!(seen.len() * 10 >= replicas * 3, "{seen:?}");
}

#[test]
fn unhealthy_replica_gets_no_work() {
    let mut harness = Harness::new(3, Settings::default(), 1);
    let unhealthy = Report {
        healthy: false,
        ..report(0)
    };
    harness.report(0, unhealthy);
    for _ in 0..20 {
        assert_ne!(harness.send(None), server_name(0));
    }
    harness.report(0, report(0));
    for _ in 0..5 {
        assert_eq!(harness.send(None), server_name(0));
    }
}

/// Fails requests of a replica until it is ejected.
fn eject(harness: &mut Harness, number: usize) {
    for _ in 0..5 {
        harness.pool.sent(harness.now, &server_name(number), None);
        harness.done(&server_name(number), Outcome::Failed);
    }
}

/// Gives the other replicas more load than the failures count for.
fn occupy_others(harness: &mut Harness) {
    for number in [1, 2] {
        for _ in 0..6 {
            harness.pool.sent(harness.now, &server_name(number), None);
        }
    }
}

/// Returns whether the pool chooses a replica for any of 100 requests.
fn is_chosen(harness: &mut Harness, number: usize) -> bool {
    let target = server_name(number);
    let mut chosen = false;
    for _ in 0..100 {
        chosen |= harness.choose(None) == Choice::Server(target.clone());
    }
    chosen
}

// Guards against sending all traffic to a replica after its ejection: if it is still broken, it
// fails many callers again.
#[test]
fn recovering_replica_gets_one_request_at_a_time() {
    let mut harness = Harness::new(3, Settings::default(), 1);
    eject(&mut harness, 0);
    assert!(!is_chosen(&mut harness, 0));
    // The load from its failures has decayed by then.
    harness.advance(Duration::from_secs(300));
    occupy_others(&mut harness);
    assert!(is_chosen(&mut harness, 0));
    harness.pool.sent(harness.now, &server_name(0), None);
    assert!(!is_chosen(&mut harness, 0), "the probe is in flight");
    harness.pool.answered(&server_name(0));
    assert!(is_chosen(&mut harness, 0), "the replica has recovered");
}

#[test]
fn failed_probe_doubles_the_ejection() {
    let mut harness = Harness::new(3, Settings::default(), 1);
    eject(&mut harness, 0);
    harness.advance(Duration::from_secs(5));
    harness.pool.sent(harness.now, &server_name(0), None);
    harness.done(&server_name(0), Outcome::Failed);
    harness.advance(Duration::from_secs(9));
    // Other requests in flight fail as well and don't extend the ejection.
    harness.done(&server_name(0), Outcome::Failed);
    assert!(!is_chosen(&mut harness, 0));
    harness.advance(Duration::from_secs(2));
    occupy_others(&mut harness);
    assert!(is_chosen(&mut harness, 0));
}

#[test]
fn rare_failures_do_not_eject() {
    let mut harness = Harness::new(3, Settings::default(), 1);
    for round in 0..200 {
        let server = harness.send(None);
        if round % 20 == 0 {
            harness.done(&server, Outcome::Failed);
        } else {
            harness.serve(&server);
        }
        harness.advance(SECOND);
    }
    // The last failure still counts as load for some time.
    harness.advance(60 * SECOND);
    for number in 0..3 {
        assert!(is_chosen(&mut harness, number));
    }
}

// Requests that callers cancel say nothing about the replica.
#[test]
fn cancelled_requests_are_not_failures() {
    let mut harness = Harness::new(2, Settings::default(), 1);
    for _ in 0..50 {
        harness.pool.sent(harness.now, &server_name(0), None);
        harness.done(&server_name(0), Outcome::Cancelled);
    }
    assert!(is_chosen(&mut harness, 0));
    assert_matches!(harness.choose(None), Choice::Server(_));
}

// Half of the requests fail on all replicas, as the cause lies elsewhere. Ejecting the worst ones
// would only move their load to the others.
#[test]
fn common_failures_do_not_eject() {
    let mut harness = Harness::new(3, Settings::default(), 1);
    for round in 0..20 {
        for number in 0..3 {
            harness.pool.sent(harness.now, &server_name(number), None);
            if round % 2 == 0 {
                harness.serve(&server_name(number));
            } else {
                harness.done(&server_name(number), Outcome::Failed);
            }
        }
    }
    for number in 0..3 {
        assert!(is_chosen(&mut harness, number));
    }
}
