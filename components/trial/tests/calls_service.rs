//! Calls that run at most once, with real daemons and stand-ins over loopback: faults of the
//! service, leaving, polls.

mod desk;

use std::time::Duration;

use desk::{
    AT_ONCE,
    Desk,
    Times,
    clear,
    recorded,
    slow, //
};
use fakes::{
    platform,
    service, //
};
use reqwest::StatusCode;

/// The service dies with a call, before or after it took the deposit. From outside both look the
/// same, and both are `unknown`.
#[rstest::rstest]
#[case::before(service::Fault { die_before_take: true, ..service::Fault::default() }, 0)]
#[case::after(service::Fault { die_after_take: true, ..service::Fault::default() }, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_dies_mid_call_is_unknown(
    #[case] fault: service::Fault,
    #[case] taken: u64,
    #[values(Some("k"), None)] key: Option<&str>,
) {
    let desk = Desk::open(1).await;
    desk.services(&fault);
    let told = desk.deposit(0, key).await;
    assert_eq!(told.run(), "unknown", "{told:?}");
    assert_eq!(told.body["error"]["ask"].is_string(), key.is_some());
    assert_eq!(desk.taken(), taken);
}

/// A service is down. No byte of a call leaves, so its caller may go elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_is_down_runs_nothing() {
    let desk = Desk::open(1).await;
    desk.services(&service::Fault {
        die: true,
        ..service::Fault::default()
    });
    desk.0.services[0].dead().await;
    for key in [Some("k"), None] {
        let told = desk.deposit(0, key).await;
        assert_eq!(
            (told.run(), told.retry_after),
            ("not_run", true),
            "{told:?}"
        );
        assert!(told.took < AT_ONCE);
    }
}

/// The entry or the sidecar gives up on a slow service, and the service answers after that.
#[rstest::rstest]
#[case::entry(300, 30_000)]
#[case::sidecar(30_000, 300)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_after_the_time_limit_is_recorded(#[case] entry: u64, #[case] sidecar: u64) {
    let times = Times {
        entry: Duration::from_millis(entry),
        sidecar: Duration::from_millis(sidecar),
    };
    let desk = Desk::open_with(1, times).await;
    desk.services(&slow(1200));
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(told.run(), "unknown", "{told:?}");
    recorded(&desk, "k").await;
    assert_eq!(desk.taken(), 1);
}

/// The store goes out while a call runs. The caller gets its answer, and the outcome is recorded
/// once the store is back, so that a repeat isn't told `unknown` for good.
#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_is_recorded_once_the_store_is_back() {
    let desk = Desk::open(1).await;
    desk.services(&slow(300));
    let running = desk.send(0, Some("k"), 5);
    desk.handed().await;
    let before = desk.0.platform.counts().writes;
    desk.0.platform.inject_fault(platform::Fault {
        outage: true,
        ..platform::Fault::default()
    });
    assert_eq!(running.await.unwrap().status, StatusCode::CREATED);
    desk.store_writes(before).await;
    clear(&desk);
    recorded(&desk, "k").await;
    assert_eq!(desk.taken(), 1);
}

/// A sidecar leaves while a call runs. The call is answered and recorded; new calls go elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_cuts_no_call_and_takes_no_new_one() {
    let desk = Desk::open(2).await;
    desk.services(&slow(500));
    let running = desk.send(0, Some("k"), 5);
    let leaving = desk.handed().await;
    desk.0.sidecars[leaving].stop();
    // More than the other replica alone would get by its load.
    let mut others = Vec::new();
    for number in 0..6 {
        let key = format!("l{number}");
        others.push(desk.send(number % 2, Some(&key), 5));
    }
    for other in others {
        assert_eq!(other.await.unwrap().status, StatusCode::CREATED);
    }
    assert_eq!(running.await.unwrap().status, StatusCode::CREATED);
    recorded(&desk, "k").await;
    assert_eq!(desk.taken(), 7);
    let calls = desk.0.services[leaving].calls();
    assert_eq!(calls.len(), 1, "new work after the sign");
}

/// Buyers poll a status. Each poll must reach the service after it was asked.
#[tokio::test(flavor = "multi_thread")]
async fn every_poll_is_read_afresh() {
    let desk = Desk::open(1).await;
    for reads in 1..=5 {
        let polled = desk.ask(reads % 2, "/svc/ledger/status/bird").await;
        assert_eq!(polled["reads"], reads);
    }
}

/// Two teams use the same key. Neither may see or block the other.
#[tokio::test(flavor = "multi_thread")]
async fn teams_share_no_keys() {
    let desk = Desk::open(1).await;
    for team in ["one", "other"] {
        let address = format!("{}/svc/ledger/deposits", desk.0.callers_url(0));
        let request = desk.0.client.post(address).header("idempotency-key", "k");
        let request = request.header("x-medlarhatch-team", team);
        let answer = request.body(r#"{"account":"a","amount":5}"#).send().await;
        let answer = answer.unwrap();
        assert!(!answer.headers().contains_key("x-medlarhatch-replayed"));
        assert_eq!(answer.status(), StatusCode::CREATED);
    }
    assert_eq!(desk.taken(), 2);
}
