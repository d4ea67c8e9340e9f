//! Sidecars that are stopped for longer than their links live, and links that fall silent, at each
//! step of a kept call.

mod desk;
mod relay;

use std::time::Duration;

use desk::{
    AT_ONCE,
    Desk,
    Times,
    clear,
    recorded,
    slow,
    until, //
};
use fakes::platform;
use relay::Relay;
use reqwest::StatusCode;

/// Where the sidecar is stopped.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It waits for its lease; the record is not written.
    BeforeRecord,
    /// The record is on its way; the answer comes while the sidecar is stopped.
    BetweenRecordAndHandOver,
    /// The service has the call.
    AfterHandOver,
}

/// A sidecar is stopped for some seconds and goes on as if nothing had been, long after its entry
/// told the caller. Whatever it does then, the call runs at most once, and never after `not_run`.
/// After the pause, the caller sends the call again with its key until it has an answer.
#[rstest::rstest]
#[case::before_record(Step::BeforeRecord, 3, "not_run")]
#[case::before_hand_over(Step::BetweenRecordAndHandOver, 3, "unknown")]
#[case::before_hand_over_too_long(Step::BetweenRecordAndHandOver, 7, "unknown")]
#[case::after_hand_over(Step::AfterHandOver, 3, "unknown")]
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_stopped_and_continued(
    #[case] step: Step,
    #[case] seconds: u64,
    #[case] run: &str,
) {
    let desk = Desk::open(1).await;
    if !matches!(step, Step::BeforeRecord) {
        desk.deposit(0, Some("first")).await;
        recorded(&desk, "first").await;
    }
    let before = desk.0.platform.counts().writes;
    let earlier = desk.taken();
    let told = match step {
        Step::BeforeRecord | Step::BetweenRecordAndHandOver => {
            desk.0.platform.inject_fault(platform::Fault {
                slow_ms: Some(300),
                ..platform::Fault::default()
            });
            let told = desk.send(0, Some("k"), 5);
            desk.store_writes(before).await;
            told
        }
        Step::AfterHandOver => {
            desk.services(&slow(300));
            let told = desk.send(0, Some("k"), 5);
            until("the service has the call", async || {
                let calls = desk.0.services[0].calls();
                calls
                    .iter()
                    .any(|call| call.key.as_deref() == Some("k"))
                    .then_some(())
            })
            .await;
            told
        }
    };
    desk.0.sidecars[0].pause(Duration::from_secs(seconds));
    let told = told.await.unwrap();
    assert_eq!(told.run(), run, "{told:?}");
    assert!(told.took < Duration::from_secs(seconds), "{told:?}");
    clear(&desk);
    let answer = until("the key has an answer", async || {
        let again = desk.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert_eq!(answer.status, StatusCode::CREATED);
    assert_eq!(desk.taken(), earlier + 1);
}

/// Something between entry and sidecar forgets their connection: nothing comes through any more, and
/// both ends live. A call that was lost on the way is proven not run; one that the service answered
/// meanwhile is answered from its record, which the entry meets when it tries to void it.
#[rstest::rstest]
#[case::before_the_call_arrives(false, "not_run")]
#[case::after_the_call_arrived(true, "ran")]
#[tokio::test(flavor = "multi_thread")]
async fn a_link_that_falls_silent(#[case] arrived: bool, #[case] run: &str) {
    let mut trial = Desk::replicas(1, &Times::default()).await;
    let relay = Relay::start(trial.host_address("ledger-0").unwrap()).await;
    trial.set_host_address("ledger-0", relay.address);
    let desk = Desk::entries(trial, Times::default()).await;
    desk.services(&slow(300));
    if !arrived {
        relay.cut(true);
    }
    let told = desk.send(0, Some("k"), 5);
    if arrived {
        desk.handed().await;
        relay.cut(true);
    }
    let told = told.await.unwrap();
    assert_eq!(told.run(), run, "{told:?}");
    assert!(told.took < AT_ONCE);
    assert_eq!(desk.taken(), u64::from(arrived));
    relay.cut(false);
    let answer = until("the key has an answer", async || {
        let again = desk.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert_eq!(answer.replayed, arrived);
    assert_eq!(desk.taken(), 1);
}
