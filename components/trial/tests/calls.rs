//! At-most-once calls with real daemons and stand-ins over loopback: faults of the store, of
//! sidecars and of entries.

mod ledger;

use fakes::platform;
use ledger::{
    Ledger,
    REFUSAL_TIMEOUT,
    clear_platform_faults,
    retry_until_run,
    slow_fault,
    wait_for, //
    wait_until_recorded,
};
use reqwest::StatusCode;

/// A caller sends a deposit, loses the connection and repeats it at another entry. If the call ran
/// again, the deposit would be booked twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_gets_the_same_answer_from_any_entry() {
    let ledger = Ledger::start(2).await;
    let first = ledger.deposit(0, Some("k")).await;
    assert_eq!(first.status, StatusCode::CREATED, "{first:?}");
    assert!(!first.replayed);
    let again = wait_for("the outcome to be recorded", async || {
        let again = ledger.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert!(again.replayed);
    assert_eq!(again.body, first.body);
    assert_eq!(ledger.deposits(), 1);
    let changed = ledger.send(1, Some("k"), 6).await.unwrap();
    assert_eq!(changed.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(changed.body["error"]["code"], "key_reused");
    let outcome = ledger.get(1, "/v1/calls/k").await;
    assert_eq!(outcome["outcome"], "ran");
}

/// Two entries receive calls with the same key at the same time, in 20 rounds. Only one call of
/// each round may run, and neither entry may report `not_run`.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_key_at_two_entries_run_once() {
    let ledger = Ledger::start(2).await;
    for round in 0..20 {
        let key = format!("k{round}");
        let (first, second) = (ledger.send(0, Some(&key), 5), ledger.send(1, Some(&key), 5));
        let replies = [first.await.unwrap(), second.await.unwrap()];
        let ran = replies
            .iter()
            .filter(|reply| reply.status == StatusCode::CREATED);
        assert!(ran.count() >= 1, "{replies:?}");
        let denied = replies.iter().any(|reply| reply.run() == "not_run");
        assert!(!denied, "the call was run: {replies:?}");
        assert_eq!(ledger.deposits(), round + 1);
    }
}

/// The store fails before a call. The caller must get `not_run` and a `Retry-After` at once, and the
/// same key must run after the outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_refuses_calls_at_once() {
    let ledger = Ledger::start(1).await;
    let outage = platform::Fault {
        outage: true,
        ..platform::Fault::default()
    };
    ledger.0.platform.inject_fault(outage);
    let reply = ledger.deposit(0, Some("k")).await;
    assert_eq!(
        (reply.run(), reply.retry_after),
        ("not_run", true),
        "{reply:?}"
    );
    assert!(reply.elapsed < REFUSAL_TIMEOUT);
    assert_eq!(ledger.deposits(), 0);
    let outcome = ledger.get(0, "/v1/calls/k?service=ledger").await;
    assert_eq!(outcome["error"]["run"], "unknown");
    // Calls without a key need no record and still run.
    assert_eq!(ledger.deposit(0, None).await.status, StatusCode::CREATED);
    clear_platform_faults(&ledger);
    retry_until_run(&ledger, "k", 2).await;
}

/// The store receives writes and never responds; later it recovers. The caller received `not_run`,
/// so the key must run when the call is repeated, whether or not the unanswered write took effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_store_refuses_calls_and_the_key_stays_usable() {
    let ledger = Ledger::start(1).await;
    let silence = platform::Fault {
        silence: true,
        ..platform::Fault::default()
    };
    ledger.0.platform.inject_fault(silence);
    let reply = ledger.deposit(0, Some("k")).await;
    assert_eq!(
        (reply.run(), reply.retry_after),
        ("not_run", true),
        "{reply:?}"
    );
    assert!(reply.elapsed < REFUSAL_TIMEOUT);
    clear_platform_faults(&ledger);
    retry_until_run(&ledger, "k", 1).await;
}

/// Writes to the store take effect only after they have timed out. The caller received `not_run`,
/// so nothing may run, and the late record must not make the key unusable.
#[tokio::test(flavor = "multi_thread")]
async fn a_record_written_after_its_timeout_runs_nothing() {
    let ledger = Ledger::start(1).await;
    ledger.deposit(0, Some("first")).await;
    let slow_writes = platform::Fault {
        slow_ms: Some(2500),
        ..platform::Fault::default()
    };
    ledger.0.platform.inject_fault(slow_writes);
    let reply = ledger.deposit(0, Some("k")).await;
    assert_eq!(reply.run(), "not_run", "{reply:?}");
    assert!(reply.elapsed < REFUSAL_TIMEOUT);
    assert_eq!(ledger.deposits(), 1);
    clear_platform_faults(&ledger);
    retry_until_run(&ledger, "k", 2).await;
}

/// The store's response to the write of a record is lost. Reading the record back shows that the
/// write took effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_record_with_a_lost_response_is_read_back() {
    let ledger = Ledger::start(1).await;
    ledger.deposit(0, Some("first")).await;
    wait_until_recorded(&ledger, "first").await;
    let lose = platform::Fault {
        lose_answers: Some(1),
        ..platform::Fault::default()
    };
    ledger.0.platform.inject_fault(lose);
    let reply = ledger.deposit(0, Some("k")).await;
    assert_eq!(reply.status, StatusCode::CREATED, "{reply:?}");
    assert_eq!(ledger.deposits(), 2);
    // The same holds for the record of the outcome.
    ledger.0.platform.inject_fault(platform::Fault {
        lose_answers: Some(2),
        ..platform::Fault::default()
    });
    ledger.deposit(0, Some("l")).await;
    wait_until_recorded(&ledger, "l").await;
    assert_eq!(ledger.deposits(), 3);
}

/// A sidecar is killed while it waits for the store. The entry proves that the call can't run any
/// more, so that the caller may send it elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_not_run_if_the_sidecar_is_killed_before_the_record() {
    let mut ledger = Ledger::start(1).await;
    let before = ledger.0.platform.counts().writes;
    // The first write grants the lease. The sidecar is killed before the store responds to it and
    // so never writes a record.
    ledger.0.platform.inject_fault(platform::Fault {
        slow_ms: Some(700),
        ..platform::Fault::default()
    });
    let reply = ledger.send(0, Some("k"), 5);
    ledger.wait_for_store_write(before).await;
    ledger.0.sidecars[0].kill();
    clear_platform_faults(&ledger);
    let reply = reply.await.unwrap();
    assert_eq!(
        (reply.run(), reply.retry_after),
        ("not_run", true),
        "{reply:?}"
    );
    assert!(reply.elapsed < REFUSAL_TIMEOUT);
    assert_eq!(ledger.deposits(), 0);
}

/// A sidecar is killed after it has written its record and before the service responds. Whether the
/// deposit was applied can't be known, so no reply says `not_run`, and no retry runs the call again.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_unknown_and_not_repeated_if_the_sidecar_is_killed_after_forwarding() {
    let mut ledger = Ledger::start(2).await;
    ledger.inject_service_fault(&slow_fault(300));
    let reply = ledger.send(0, Some("k"), 5);
    let replica = ledger.wait_for_forward().await;
    ledger.0.sidecars[replica].kill();
    let reply = reply.await.unwrap();
    assert_eq!(reply.run(), "unknown", "{reply:?}");
    assert!(reply.elapsed < REFUSAL_TIMEOUT);
    let path = reply.body["error"]["ask"].as_str().unwrap().to_string();
    assert_eq!(ledger.get(1, &path).await["outcome"], "unknown");
    let again = ledger.deposit(1, Some("k")).await;
    assert_eq!(again.run(), "unknown", "{again:?}");
    let calls: usize = ledger.0.services.iter().map(|s| s.calls().len()).sum();
    assert_eq!(calls, 1, "forwarded calls");
}

/// A sidecar is killed after the outcome was recorded. Every entry still replays it.
#[tokio::test(flavor = "multi_thread")]
async fn a_recorded_outcome_survives_its_sidecar() {
    let mut ledger = Ledger::start(2).await;
    let reply = ledger.deposit(0, Some("k")).await;
    wait_until_recorded(&ledger, "k").await;
    let replica = ledger.wait_for_forward().await;
    ledger.0.sidecars[replica].kill();
    let again = wait_for("a reply by another replica", async || {
        let again = ledger.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert_eq!(again.body, reply.body);
    assert_eq!(ledger.deposits(), 1);
}

/// An entry is killed mid-call, and the caller repeats the call at the other entry, which must reply
/// with the outcome of the first run.
#[tokio::test(flavor = "multi_thread")]
async fn the_other_entry_replies_if_an_entry_is_killed_mid_call() {
    let mut ledger = Ledger::start(2).await;
    ledger.inject_service_fault(&slow_fault(400));
    let aborted = ledger.send(0, Some("k"), 5);
    ledger.wait_for_forward().await;
    ledger.0.entries[0].kill();
    aborted.abort();
    let first_retry = ledger.deposit(1, Some("k")).await;
    assert_ne!(first_retry.run(), "not_run", "{first_retry:?}");
    let last_retry = wait_for("the outcome of the call", async || {
        let last_retry = ledger.deposit(1, Some("k")).await;
        (last_retry.run() == "ran").then_some(last_retry)
    })
    .await;
    assert_eq!(last_retry.status, StatusCode::CREATED);
    assert_eq!(ledger.deposits(), 1);
}
