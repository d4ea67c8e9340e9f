//! At-most-once calls during pauses of the sidecar beyond the lifetime of its links, and on links
//! that fall silent.

mod ledger;
mod relay;

use std::time::Duration;

use fakes::platform;
use ledger::{
    Ledger,
    REFUSAL_TIMEOUT,
    Timeouts,
    clear_platform_faults,
    slow_fault,
    wait_for, //
    wait_until_recorded,
};
use relay::Relay;
use reqwest::StatusCode;

/// Step of the call at which the sidecar is paused.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The sidecar waits for its lease; the record isn't written yet.
    BeforeRecord,
    /// The record is being written; the store responds while the sidecar is paused.
    BetweenRecordAndForward,
    /// The service has received the call.
    AfterForward,
}

/// A sidecar is paused for some seconds and resumes long after its entry has replied to the caller.
/// The call must run at most once, and never after `not_run`. After the pause, the caller repeats
/// the call with its key until it gets the outcome.
#[rstest::rstest]
#[case::before_record(Step::BeforeRecord, 3, "not_run")]
#[case::before_forward(Step::BetweenRecordAndForward, 3, "unknown")]
#[case::before_forward_too_long(Step::BetweenRecordAndForward, 7, "unknown")]
#[case::after_forward(Step::AfterForward, 3, "unknown")]
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_sidecar_runs_a_call_at_most_once(
    #[case] step: Step,
    #[case] seconds: u64,
    #[case] run: &str,
) {
    let ledger = Ledger::start(1).await;
    if !matches!(step, Step::BeforeRecord) {
        ledger.deposit(0, Some("first")).await;
        wait_until_recorded(&ledger, "first").await;
    }
    let before = ledger.0.platform.counts().writes;
    let earlier_deposits = ledger.deposits();
    let reply = match step {
        Step::BeforeRecord | Step::BetweenRecordAndForward => {
            ledger.0.platform.inject_fault(platform::Fault {
                slow_ms: Some(300),
                ..platform::Fault::default()
            });
            let reply = ledger.send(0, Some("k"), 5);
            ledger.wait_for_store_write(before).await;
            reply
        }
        Step::AfterForward => {
            ledger.inject_service_fault(&slow_fault(300));
            let reply = ledger.send(0, Some("k"), 5);
            wait_for("the service to receive the call", async || {
                let calls = ledger.0.services[0].calls();
                calls
                    .iter()
                    .any(|call| call.key.as_deref() == Some("k"))
                    .then_some(())
            })
            .await;
            reply
        }
    };
    ledger.0.sidecars[0].pause(Duration::from_secs(seconds));
    let reply = reply.await.unwrap();
    assert_eq!(reply.run(), run, "{reply:?}");
    assert!(reply.elapsed < Duration::from_secs(seconds), "{reply:?}");
    clear_platform_faults(&ledger);
    let outcome = wait_for("the outcome of the call", async || {
        let again = ledger.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert_eq!(outcome.status, StatusCode::CREATED);
    assert_eq!(ledger.deposits(), earlier_deposits + 1);
}

/// A middlebox between entry and sidecar loses their connection: no datagram passes any more, and
/// both ends are alive. A call that was lost is proven not run. For a call that the service has
/// completed meanwhile, the entry finds the record when it tries to void it, and replies from it.
#[rstest::rstest]
#[case::before_the_call_arrives(false, "not_run")]
#[case::after_the_call_arrived(true, "ran")]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_a_silent_link_is_resolved(#[case] arrived: bool, #[case] run: &str) {
    let mut trial = Ledger::start_replicas(1, &Timeouts::default()).await;
    let relay = Relay::start(trial.host_address("ledger-0").unwrap()).await;
    trial.set_host_address("ledger-0", relay.address);
    let ledger = Ledger::start_entries(trial, Timeouts::default()).await;
    ledger.inject_service_fault(&slow_fault(300));
    if !arrived {
        relay.set_dropping(true);
    }
    let reply = ledger.send(0, Some("k"), 5);
    if arrived {
        ledger.wait_for_forward().await;
        relay.set_dropping(true);
    }
    let reply = reply.await.unwrap();
    assert_eq!(reply.run(), run, "{reply:?}");
    assert!(reply.elapsed < REFUSAL_TIMEOUT);
    assert_eq!(ledger.deposits(), u64::from(arrived));
    relay.set_dropping(false);
    let outcome = wait_for("the outcome of the call", async || {
        let again = ledger.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert_eq!(outcome.replayed, arrived);
    assert_eq!(ledger.deposits(), 1);
}
