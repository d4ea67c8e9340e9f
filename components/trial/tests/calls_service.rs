//! At-most-once calls with real daemons and stand-ins over loopback: faults of the service, graceful
//! shutdown and polling.

mod ledger;

use std::time::Duration;

use fakes::{
    platform,
    service, //
};
use ledger::{
    Ledger,
    REFUSAL_TIMEOUT,
    Timeouts,
    clear_platform_faults,
    slow_fault, //
    wait_until_recorded,
};
use reqwest::StatusCode;

/// The service dies during a call, before or after it applied the deposit. The sidecar can't tell
/// the cases apart, so both must be `unknown`.
#[rstest::rstest]
#[case::before(service::Fault { die_before_take: true, ..service::Fault::default() }, 0)]
#[case::after(service::Fault { die_after_take: true, ..service::Fault::default() }, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_dies_mid_call_is_unknown(
    #[case] fault: service::Fault,
    #[case] deposits: u64,
    #[values(Some("k"), None)] key: Option<&str>,
) {
    let ledger = Ledger::start(1).await;
    ledger.inject_service_fault(&fault);
    let reply = ledger.deposit(0, key).await;
    assert_eq!(reply.run(), "unknown", "{reply:?}");
    assert_eq!(reply.body["error"]["ask"].is_string(), key.is_some());
    assert_eq!(ledger.deposits(), deposits);
}

/// A service is down. No byte of a call reaches it, so the caller must get `not_run` and may retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_a_service_that_is_down_is_not_run() {
    let ledger = Ledger::start(1).await;
    ledger.inject_service_fault(&service::Fault {
        die: true,
        ..service::Fault::default()
    });
    ledger.0.services[0].dead().await;
    for key in [Some("k"), None] {
        let reply = ledger.deposit(0, key).await;
        assert_eq!(
            (reply.run(), reply.retry_after),
            ("not_run", true),
            "{reply:?}"
        );
        assert!(reply.elapsed < REFUSAL_TIMEOUT);
    }
}

/// The entry or the sidecar times out on a slow service, and the service responds after that. The
/// outcome must still be recorded.
#[rstest::rstest]
#[case::entry(300, 30_000)]
#[case::sidecar(30_000, 300)]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_after_the_timeout_is_recorded(#[case] entry: u64, #[case] sidecar: u64) {
    let timeouts = Timeouts {
        entry: Duration::from_millis(entry),
        sidecar: Duration::from_millis(sidecar),
    };
    let ledger = Ledger::start_with(1, timeouts).await;
    ledger.inject_service_fault(&slow_fault(1200));
    let reply = ledger.deposit(0, Some("k")).await;
    assert_eq!(reply.run(), "unknown", "{reply:?}");
    wait_until_recorded(&ledger, "k").await;
    assert_eq!(ledger.deposits(), 1);
}

/// The store fails while a call runs. The caller gets its response, and the outcome must be recorded
/// after the outage; otherwise repeated calls would get `unknown` for good.
#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_is_recorded_after_a_store_outage() {
    let ledger = Ledger::start(1).await;
    ledger.inject_service_fault(&slow_fault(300));
    let running = ledger.send(0, Some("k"), 5);
    ledger.wait_for_forward().await;
    let before = ledger.0.platform.counts().writes;
    ledger.0.platform.inject_fault(platform::Fault {
        outage: true,
        ..platform::Fault::default()
    });
    assert_eq!(running.await.unwrap().status, StatusCode::CREATED);
    ledger.wait_for_store_write(before).await;
    clear_platform_faults(&ledger);
    wait_until_recorded(&ledger, "k").await;
    assert_eq!(ledger.deposits(), 1);
}

/// A sidecar shuts down while a call runs. The call must complete and be recorded, and new calls
/// must go to the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_that_shuts_down_completes_its_call_and_gets_no_new_one() {
    let ledger = Ledger::start(2).await;
    ledger.inject_service_fault(&slow_fault(500));
    let running = ledger.send(0, Some("k"), 5);
    let leaving = ledger.wait_for_forward().await;
    ledger.0.sidecars[leaving].stop();
    // More calls than load balancing alone would send to the other replica.
    let mut others = Vec::new();
    for number in 0..6 {
        let key = format!("l{number}");
        others.push(ledger.send(number % 2, Some(&key), 5));
    }
    for other in others {
        assert_eq!(other.await.unwrap().status, StatusCode::CREATED);
    }
    assert_eq!(running.await.unwrap().status, StatusCode::CREATED);
    wait_until_recorded(&ledger, "k").await;
    assert_eq!(ledger.deposits(), 7);
    let calls = ledger.0.services[leaving].calls();
    assert_eq!(calls.len(), 1, "no new call after the stop");
}

/// Callers poll a status. Each poll must reach the service rather than return an earlier response.
#[tokio::test(flavor = "multi_thread")]
async fn every_poll_reaches_the_service() {
    let ledger = Ledger::start(1).await;
    for reads in 1..=5 {
        let polled = ledger.get(reads % 2, "/svc/ledger/status/bird").await;
        assert_eq!(polled["reads"], reads);
    }
}

/// Two teams use the same idempotency key. Neither may see or block the other's call.
#[tokio::test(flavor = "multi_thread")]
async fn teams_share_no_keys() {
    let ledger = Ledger::start(1).await;
    for team in ["one", "other"] {
        let address = format!("{}/svc/ledger/deposits", ledger.0.callers_url(0));
        let request = ledger.0.client.post(address).header("idempotency-key", "k");
        let request = request.header("x-medlarhatch-team", team);
        let answer = request.body(r#"{"account":"a","amount":5}"#).send().await;
        let answer = answer.unwrap();
        assert!(!answer.headers().contains_key("x-medlarhatch-replayed"));
        assert_eq!(answer.status(), StatusCode::CREATED);
    }
    assert_eq!(ledger.deposits(), 2);
}
