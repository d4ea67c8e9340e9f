//! Writes whose answers are lost, and how they are resolved.

use std::time::Duration;

use assert_matches::assert_matches;
use fakes::platform::{
    Fault,
    Platform,
    Settings, //
};
use rstest::rstest;
use store::{
    Client,
    Error,
    store::{
        Expect,
        Settled,
        Write, //
    }, //
};
use tokio::time::Instant;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

async fn start() -> (Platform, Client) {
    let platform = Platform::start(Settings::default()).await;
    let platform = platform.expect("loopback can be bound");
    let base_url = format!("http://{}", platform.address());
    let client = Client::new(&base_url, TEST_TIMEOUT).expect("the base is a URL");
    (platform, client)
}

fn lose(answers: u64, writes: u64) -> Fault {
    Fault {
        lose_answers: Some(answers),
        lose_writes: Some(writes),
        ..Fault::default()
    }
}

async fn revision(client: &Client, value: &str) -> u64 {
    match client.put("k", value, Expect::Any, None).await {
        Ok(Write::Applied { revision }) => revision,
        other => panic!("the store accepts an unconditional write: {other:?}"),
    }
}

/// A write's answer is lost after the write took effect, or the write itself is lost. The writer
/// must learn which: if an applied write is taken for lost, an order is issued twice; if a lost
/// write is taken for applied, a call runs without its record.
#[rstest]
#[case::nothing_lost(0, 0, 1)]
#[case::answer_lost(1, 0, 1)]
#[case::answers_lost(3, 0, 1)]
#[case::write_lost(0, 1, 2)]
#[case::writes_lost(0, 3, 4)]
#[case::both_lost(1, 1, 2)]
#[tokio::test]
async fn lost_answers_are_resolved(
    #[case] answers: u64,
    #[case] writes: u64,
    #[case] attempts: u64,
    #[values(Expect::Absent, Expect::Revision(1))] expect: Expect,
) {
    let (platform, client) = start().await;
    if expect != Expect::Absent {
        revision(&client, "before").await;
    }
    let before = platform.counts().writes;
    platform.inject_fault(lose(answers, writes));
    let settled = client.settle("k", "nonce-1", expect, None).await;
    assert_matches!(settled, Ok(Settled::Applied { .. }));
    assert_eq!(platform.counts().writes - before, attempts);
    let entry = client.get("k").await.expect("the store answers");
    assert_eq!(entry.expect("the key is there").value, "nonce-1");
}

#[rstest]
#[case::lost_write(lose(0, 1))]
#[case::no_fault(Fault::default())]
#[tokio::test]
async fn key_created_by_another_writer_is_a_conflict(#[case] fault: Fault) {
    let (platform, client) = start().await;
    revision(&client, "other").await;
    platform.inject_fault(fault);
    let settled = client.settle("k", "nonce-1", Expect::Absent, None).await;
    let Ok(Settled::Conflict { entry }) = settled else {
        panic!("the key of the other writer remains: {settled:?}");
    };
    assert_eq!(entry.expect("the key is there").value, "other");
}

/// An edit takes effect, its answer is lost, and another operator overwrites it before the first
/// one reads the key. The key alone would suggest that the first edit never took effect.
#[tokio::test]
async fn overwritten_write_counts_as_applied() {
    let (platform, client) = start().await;
    let first = revision(&client, "before").await;
    platform.inject_fault(Fault {
        lose_answers: Some(1),
        ..Fault::default()
    });
    let expect = Expect::Revision(first);
    let lost = client.put("k", "nonce-1", expect, None).await;
    assert_eq!(lost, Err(Error::Unanswered));
    revision(&client, "on top").await;
    let settled = client.settle("k", "nonce-1", expect, None).await;
    assert_eq!(
        settled,
        Ok(Settled::Applied {
            revision: first + 1
        })
    );
}

#[tokio::test]
async fn outdated_revision_is_a_conflict() {
    let (platform, client) = start().await;
    let first = revision(&client, "before").await;
    revision(&client, "other").await;
    platform.inject_fault(lose(0, 1));
    let settled = client.settle("k", "nonce-1", Expect::Revision(first), None);
    assert_matches!(settled.await, Ok(Settled::Conflict { entry: Some(_) }));
}

/// The store has compacted the changes since the expected revision, so whether the edit ever took
/// effect can't be determined.
#[tokio::test]
async fn compacted_history_is_unknown() {
    let platform = Platform::start(Settings {
        retained_changes: 1,
        ..Settings::default()
    });
    let platform = platform.await.expect("loopback can be bound");
    let base_url = format!("http://{}", platform.address());
    let client = Client::new(&base_url, TEST_TIMEOUT).expect("the base is a URL");
    let first = revision(&client, "before").await;
    revision(&client, "other").await;
    revision(&client, "another").await;
    let settled = client.settle("k", "nonce-1", Expect::Revision(first), None);
    assert_eq!(settled.await, Ok(Settled::Unknown));
}

/// The store goes down right after it accepted a write. The result can't be determined and must be
/// reported as unknown.
#[tokio::test]
async fn outage_after_the_write_is_unknown() {
    let (platform, client) = start().await;
    let client = client.with_settle_timeout(Duration::from_millis(200));
    platform.inject_fault(Fault {
        slow_ms: Some(50),
        lose_answers: Some(1),
        ..Fault::default()
    });
    let settling = client.clone();
    let task = tokio::spawn(async move { settling.settle("k", "n-1", Expect::Absent, None).await });
    let end = Instant::now() + TEST_TIMEOUT;
    while platform.counts().reads == 0 {
        assert!(Instant::now() < end, "the write is read back");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    platform.inject_fault(Fault {
        outage: true,
        ..Fault::default()
    });
    assert_eq!(task.await.expect("the task ends"), Ok(Settled::Unknown));
}

/// A write is delayed in transit and arrives after the writer has read the key and found nothing.
/// From the read alone the write would count as lost although it then takes effect; the second
/// conditional write makes the late one harmless.
#[tokio::test]
async fn delayed_write_takes_effect_once() {
    let (platform, _) = start().await;
    let base_url = format!("http://{}", platform.address());
    let client = Client::new(&base_url, Duration::from_millis(100));
    let client = client
        .expect("the base is a URL")
        .with_settle_timeout(TEST_TIMEOUT);
    platform.inject_fault(Fault {
        slow_ms: Some(400),
        ..Fault::default()
    });
    let settling = client.clone();
    let task = tokio::spawn(async move { settling.settle("k", "n-1", Expect::Absent, None).await });
    let end = Instant::now() + TEST_TIMEOUT;
    while platform.counts().reads == 0 {
        assert!(Instant::now() < end, "the write is read back");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    platform.inject_fault(Fault {
        clear: true,
        ..Fault::default()
    });
    let settled = task.await.expect("the task ends");
    let Ok(Settled::Applied { revision }) = settled else {
        panic!("the write is decided: {settled:?}");
    };
    tokio::time::sleep(Duration::from_millis(500)).await;
    let change = client.watch("k", 0, Duration::ZERO).await;
    let change = change.expect("the store answers");
    assert_eq!(change.events.len(), 1, "{change:?}");
    assert_eq!(change.events[0].revision, revision);
}

#[rstest]
#[case::outage(Fault { outage: true, ..Fault::default() }, Error::Unavailable)]
#[case::rate_limit(
    Fault { writes_per_s: Some(0.5), ..Fault::default() },
    Error::RateLimited { retry_after: Duration::from_secs(1) }
)]
#[tokio::test]
async fn refused_writes_had_no_effect(#[case] fault: Fault, #[case] error: Error) {
    let (platform, client) = start().await;
    platform.inject_fault(fault);
    let settled = client.settle("k", "nonce-1", Expect::Absent, None).await;
    assert_eq!(settled, Err(error));
    assert_eq!(platform.counts().writes, 1);
}

#[tokio::test]
async fn unconditional_write_is_not_retried() {
    let (platform, client) = start().await;
    platform.inject_fault(lose(0, 1));
    let settled = client.settle("k", "nonce-1", Expect::Any, None).await;
    assert_eq!(settled, Ok(Settled::Unknown));
    assert_eq!(platform.counts().writes, 1);
}

/// The store is briefly unavailable; a read succeeds as soon as it is available again.
#[tokio::test]
async fn reads_are_retried_until_their_deadline() {
    let (platform, client) = start().await;
    platform.inject_fault(Fault {
        outage_ms: Some(100),
        ..Fault::default()
    });
    let read = client.get_until("k", Instant::now() + TEST_TIMEOUT).await;
    assert_eq!(read, Ok(None));
    platform.inject_fault(Fault {
        outage: true,
        ..Fault::default()
    });
    let deadline = Instant::now() + Duration::from_millis(200);
    assert_eq!(
        client.get_until("k", deadline).await,
        Err(Error::Unavailable)
    );
}
