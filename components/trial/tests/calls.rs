//! Calls that run at most once, with real daemons and stand-ins over loopback: faults of the store,
//! of sidecars and of entries.

mod desk;

use desk::{
    AT_ONCE,
    Desk,
    clear,
    recorded,
    runs_in_the_end,
    slow,
    until, //
};
use fakes::platform;
use reqwest::StatusCode;

/// A clerk books a deposit, loses the connection and books it again at another entry. Were it
/// taken again, an account would be charged twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_gets_the_same_answer_from_any_entry() {
    let desk = Desk::open(2).await;
    let first = desk.deposit(0, Some("k")).await;
    assert_eq!(first.status, StatusCode::CREATED, "{first:?}");
    assert!(!first.replayed);
    let again = until("the outcome is recorded", async || {
        let again = desk.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert!(again.replayed);
    assert_eq!(again.body, first.body);
    assert_eq!(desk.taken(), 1);
    let other = desk.send(1, Some("k"), 6).await.unwrap();
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.body["error"]["code"], "key_reused");
    let asked = desk.ask(1, "/v1/calls/k").await;
    assert_eq!(asked["outcome"], "ran");
}

/// Two entries get the same key at the same time, many times over.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_two_entries_at_once_runs_once() {
    let desk = Desk::open(2).await;
    for round in 0..20 {
        let key = format!("k{round}");
        let (one, other) = (desk.send(0, Some(&key), 5), desk.send(1, Some(&key), 5));
        let told = [one.await.unwrap(), other.await.unwrap()];
        let ran = told
            .iter()
            .filter(|told| told.status == StatusCode::CREATED);
        assert!(ran.count() >= 1, "{told:?}");
        let denied = told.iter().any(|told| told.run() == "not_run");
        assert!(!denied, "the call was run: {told:?}");
        assert_eq!(desk.taken(), round + 1);
    }
}

/// The store goes out before a call. Its caller is told at once that nothing was run, and when to
/// come back; the same key then runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_out_refuses_at_once() {
    let desk = Desk::open(1).await;
    let outage = platform::Fault {
        outage: true,
        ..platform::Fault::default()
    };
    desk.0.platform.inject_fault(outage);
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(
        (told.run(), told.retry_after),
        ("not_run", true),
        "{told:?}"
    );
    assert!(told.took < AT_ONCE);
    assert_eq!(desk.taken(), 0);
    let asked = desk.ask(0, "/v1/calls/k?service=ledger").await;
    assert_eq!(asked["error"]["run"], "unknown");
    // Calls that need no record go on.
    assert_eq!(desk.deposit(0, None).await.status, StatusCode::CREATED);
    clear(&desk);
    runs_in_the_end(&desk, "k", 2).await;
}

/// The store takes writes and never answers; later it comes back. Whatever became of the write
/// that wasn't answered, `not_run` was said, and the key must run when it is sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_silent_refuses_and_the_key_stays_usable() {
    let desk = Desk::open(1).await;
    let silence = platform::Fault {
        silence: true,
        ..platform::Fault::default()
    };
    desk.0.platform.inject_fault(silence);
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(
        (told.run(), told.retry_after),
        ("not_run", true),
        "{told:?}"
    );
    assert!(told.took < AT_ONCE);
    clear(&desk);
    runs_in_the_end(&desk, "k", 1).await;
}

/// The store's writes time out and take effect only afterwards. The caller was told `not_run`, so
/// nothing may run, and the late record must not make the key unusable.
#[tokio::test(flavor = "multi_thread")]
async fn a_record_written_after_its_timeout_runs_nothing() {
    let desk = Desk::open(1).await;
    desk.deposit(0, Some("first")).await;
    let slow = platform::Fault {
        slow_ms: Some(2500),
        ..platform::Fault::default()
    };
    desk.0.platform.inject_fault(slow);
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(told.run(), "not_run", "{told:?}");
    assert!(told.took < AT_ONCE);
    assert_eq!(desk.taken(), 1);
    clear(&desk);
    runs_in_the_end(&desk, "k", 2).await;
}

/// The store's answer to a record is lost after the write. Reading it back shows whose it is.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_store_is_read_back() {
    let desk = Desk::open(1).await;
    desk.deposit(0, Some("first")).await;
    recorded(&desk, "first").await;
    let lose = platform::Fault {
        lose_answers: Some(1),
        ..platform::Fault::default()
    };
    desk.0.platform.inject_fault(lose);
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(told.status, StatusCode::CREATED, "{told:?}");
    assert_eq!(desk.taken(), 2);
    // The same for the record of the outcome.
    desk.0.platform.inject_fault(platform::Fault {
        lose_answers: Some(2),
        ..platform::Fault::default()
    });
    desk.deposit(0, Some("l")).await;
    recorded(&desk, "l").await;
    assert_eq!(desk.taken(), 3);
}

/// A sidecar is killed while it still waits for the store. The entry proves that the call can't
/// run any more, so that the buyer can go to another desk.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_before_the_record_is_proven_not_run() {
    let mut desk = Desk::open(1).await;
    let before = desk.0.platform.counts().writes;
    // The first write is the lease; its answer never comes, so no record is asked for.
    desk.0.platform.inject_fault(platform::Fault {
        slow_ms: Some(700),
        ..platform::Fault::default()
    });
    let told = desk.send(0, Some("k"), 5);
    desk.store_writes(before).await;
    desk.0.sidecars[0].kill();
    clear(&desk);
    let told = told.await.unwrap();
    assert_eq!(
        (told.run(), told.retry_after),
        ("not_run", true),
        "{told:?}"
    );
    assert!(told.took < AT_ONCE);
    assert_eq!(desk.taken(), 0);
}

/// A sidecar is killed after its record is written and before the service answers. Nobody can
/// tell whether the service took the money, so nobody says `not_run`, and no retry runs it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_after_the_hand_over_is_unknown_and_never_runs_again() {
    let mut desk = Desk::open(2).await;
    desk.services(&slow(300));
    let told = desk.send(0, Some("k"), 5);
    let replica = desk.handed().await;
    desk.0.sidecars[replica].kill();
    let told = told.await.unwrap();
    assert_eq!(told.run(), "unknown", "{told:?}");
    assert!(told.took < AT_ONCE);
    let path = told.body["error"]["ask"].as_str().unwrap().to_string();
    assert_eq!(desk.ask(1, &path).await["outcome"], "unknown");
    let again = desk.deposit(1, Some("k")).await;
    assert_eq!(again.run(), "unknown", "{again:?}");
    let calls: usize = desk.0.services.iter().map(|s| s.calls().len()).sum();
    assert_eq!(calls, 1, "hand-overs");
}

/// A sidecar is killed after the answer was recorded. Every entry still knows it.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_after_the_answer_changes_nothing() {
    let mut desk = Desk::open(2).await;
    let told = desk.deposit(0, Some("k")).await;
    recorded(&desk, "k").await;
    let replica = desk.handed().await;
    desk.0.sidecars[replica].kill();
    let again = until("another replica answers", async || {
        let again = desk.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert_eq!(again.body, told.body);
    assert_eq!(desk.taken(), 1);
}

/// An entry is killed mid-call, and the caller repeats the call at the other one.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_mid_call_leaves_the_answer_to_the_other() {
    let mut desk = Desk::open(2).await;
    desk.services(&slow(400));
    let lost = desk.send(0, Some("k"), 5);
    desk.handed().await;
    desk.0.entries[0].kill();
    lost.abort();
    let at_once = desk.deposit(1, Some("k")).await;
    assert_ne!(at_once.run(), "not_run", "{at_once:?}");
    let later = until("the answer is there", async || {
        let later = desk.deposit(1, Some("k")).await;
        (later.run() == "ran").then_some(later)
    })
    .await;
    assert_eq!(later.status, StatusCode::CREATED);
    assert_eq!(desk.taken(), 1);
}
