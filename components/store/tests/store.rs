//! The store's interface and its fault cases, tested with the real client against a fake platform.

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
        Write, //
    }, //
};
use tokio::time::{
    Instant,
    timeout, //
};

/// Far longer than any step takes on a loaded machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of calls that are not answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

async fn start(settings: Settings) -> Platform {
    Platform::start(settings)
        .await
        .expect("loopback can be bound")
}

fn client(platform: &Platform, timeout: Duration) -> Client {
    Client::new(&format!("http://{}", platform.address()), timeout).expect("the base is a URL")
}

async fn put(client: &Client, key: &str, value: &str, expect: Expect) -> Write {
    let written = client.put(key, value, expect, None).await;
    written.expect("the store answers")
}

async fn value(client: &Client, key: &str) -> Option<String> {
    let entry = client.get(key).await.expect("the store answers");
    entry.map(|entry| entry.value)
}

#[rstest]
#[case::any_absent(None, Expect::Any, true)]
#[case::any_present(Some("a"), Expect::Any, true)]
#[case::absent(None, Expect::Absent, true)]
#[case::absent_but_present(Some("a"), Expect::Absent, false)]
#[case::revision(Some("a"), Expect::Revision(1), true)]
#[case::other_revision(Some("a"), Expect::Revision(7), false)]
#[case::revision_but_absent(None, Expect::Revision(1), false)]
#[tokio::test]
async fn writes_respect_their_condition(
    #[case] before: Option<&str>,
    #[case] expect: Expect,
    #[case] done: bool,
) {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    if let Some(before) = before {
        put(&client, "k", before, Expect::Any).await;
    }
    let written = put(&client, "k", "b", expect).await;
    match written {
        Write::Applied { revision } => {
            let entry = client.get("k").await.expect("the store answers");
            assert_eq!(entry.expect("the key is there").revision, revision);
            assert!(done);
        }
        Write::Conflict { entry } => {
            assert_eq!(entry.map(|entry| entry.value).as_deref(), before);
            assert!(!done);
        }
    }
    let after = if done { Some("b") } else { before };
    assert_eq!(value(&client, "k").await.as_deref(), after);
    let deleted = client.delete("k", expect).await;
    let holds = match expect {
        Expect::Any => true,
        Expect::Absent => after.is_none(),
        Expect::Revision(number) => !done && before.is_some() && number == 1,
    };
    let deleted = matches!(deleted, Ok(Write::Applied { .. }));
    assert_eq!(deleted, holds);
}

#[tokio::test]
async fn listing_reads_all_pages() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    for number in 0..1203 {
        put(&client, &format!("a/{number:05}"), "v", Expect::Any).await;
    }
    put(&client, "b/1", "v", Expect::Any).await;
    let listing = client.list("a/").await.expect("the store answers");
    assert_eq!(listing.entries.len(), 1203);
    assert!(listing.entries.is_sorted_by_key(|entry| entry.key.clone()));
    assert_eq!(listing.revision, 1204);
    let all = client.list("").await.expect("the store answers");
    assert_eq!(all.entries.len(), 1204);
}

#[tokio::test]
async fn watch_returns_changes_in_order() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    put(&client, "env/a", "1", Expect::Any).await;
    let watching = client.clone();
    let waiting = tokio::spawn(async move { watching.watch("env/", 1, TEST_TIMEOUT).await });
    wait_for(|| platform.counts().watching == 1).await;
    put(&client, "other", "x", Expect::Any).await;
    put(&client, "env/a", "2", Expect::Any).await;
    let change = waiting.await.expect("the task ends").expect("an answer");
    assert_eq!(change.events[0].value.as_deref(), Some("2"));
    client.delete("env/a", Expect::Any).await.expect("deleted");
    let change = client.watch("env/", change.revision, TEST_TIMEOUT).await;
    let change = change.expect("an answer");
    assert_eq!(change.events[0].value, None);
    assert_eq!(platform.counts().watching, 0);
}

#[tokio::test]
async fn watch_without_changes_ends_after_its_wait() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    let change = client.watch("env/", 0, Duration::from_millis(20)).await;
    assert!(change.expect("an answer").events.is_empty());
}

/// A reader was disconnected for so long that the store no longer retains the changes it missed. It
/// must receive an error, or it would serve an outdated document permanently.
#[tokio::test]
async fn watch_from_a_compacted_revision_fails() {
    let platform = start(Settings {
        retained_changes: 2,
        ..Settings::default()
    })
    .await;
    let client = client(&platform, TEST_TIMEOUT);
    for value in ["1", "2", "3", "4"] {
        put(&client, "k", value, Expect::Any).await;
    }
    assert_eq!(
        client.watch("k", 1, Duration::ZERO).await,
        Err(Error::Compacted)
    );
    assert!(client.watch("k", 2, Duration::ZERO).await.is_ok());
}

/// The holder of a lease is paused, the lease expires, and its keys are deleted. When the holder
/// resumes, it must learn that it no longer holds the lease.
#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    let lease = client.grant_lease(Duration::from_millis(50)).await;
    let lease = lease.expect("the store answers");
    let put = client.put("slot", "a", Expect::Absent, Some(lease)).await;
    assert_matches!(put, Ok(Write::Applied { .. }));
    let change = client
        .watch("slot", 1, TEST_TIMEOUT)
        .await
        .expect("an answer");
    assert_eq!(change.events[0].value, None);
    assert_eq!(client.renew_lease(lease).await, Err(Error::UnknownLease));
    let put = client.put("slot", "a", Expect::Absent, Some(lease)).await;
    assert_eq!(put, Err(Error::UnknownLease));
}

#[tokio::test]
async fn renewed_lease_remains_and_revoked_lease_ends() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    let lease = client
        .grant_lease(TEST_TIMEOUT)
        .await
        .expect("the store answers");
    let put = client.put("slot", "a", Expect::Absent, Some(lease)).await;
    assert_matches!(put, Ok(Write::Applied { .. }));
    assert_eq!(client.renew_lease(lease).await, Ok(()));
    assert_eq!(platform.counts().leases, 1);
    assert_eq!(client.revoke_lease(lease).await, Ok(()));
    assert_eq!(value(&client, "slot").await, None);
    assert_eq!(platform.counts().leases, 0);
}

#[tokio::test]
async fn values_larger_than_a_mebibyte_are_refused() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    let largest = "v".repeat(1 << 20);
    assert_matches!(
        client.put("k", &largest, Expect::Any, None).await,
        Ok(Write::Applied { .. })
    );
    let too_large = format!("{largest}v");
    let put = client.put("k", &too_large, Expect::Any, None).await;
    assert_eq!(put, Err(Error::TooLarge));
}

/// The platform's store is down, unresponsive, overloaded or slow. Each call must end within its
/// timeout with an error that tells whether a write may have taken effect.
#[rstest]
#[case::outage(Fault { outage: true, ..Fault::default() }, Error::Unavailable)]
#[case::outage_for(Fault { outage_ms: Some(3_600_000), ..Fault::default() }, Error::Unavailable)]
#[case::silence(Fault { silence: true, ..Fault::default() }, Error::Unanswered)]
#[case::slow(Fault { slow_ms: Some(3_600_000), ..Fault::default() }, Error::Unanswered)]
#[case::lost_write(Fault { lose_writes: Some(1), ..Fault::default() }, Error::Unanswered)]
#[case::lost_answer(Fault { lose_answers: Some(1), ..Fault::default() }, Error::Unanswered)]
#[case::rate_limit(
    Fault { writes_per_s: Some(0.5), ..Fault::default() },
    Error::RateLimited { retry_after: Duration::from_secs(1) }
)]
#[tokio::test]
async fn faults_of_writes(#[case] fault: Fault, #[case] error: Error) {
    let platform = start(Settings::default()).await;
    let client = client(&platform, CALL_TIMEOUT);
    let applied = fault.lose_answers.is_some();
    platform.inject_fault(fault);
    let put = client.put("k", "a", Expect::Absent, None).await;
    assert_eq!(put, Err(error));
    platform.inject_fault(Fault {
        clear: true,
        ..Fault::default()
    });
    assert_eq!(value(&client, "k").await.is_some(), applied);
}

#[rstest]
#[case::outage(Fault { outage: true, ..Fault::default() }, Error::Unavailable)]
#[case::silence(Fault { silence: true, ..Fault::default() }, Error::Unanswered)]
#[case::rate_limit(
    Fault { reads_per_s: Some(0.5), ..Fault::default() },
    Error::RateLimited { retry_after: Duration::from_secs(1) }
)]
#[tokio::test]
async fn faults_of_reads(#[case] fault: Fault, #[case] error: Error) {
    let platform = start(Settings::default()).await;
    let client = client(&platform, CALL_TIMEOUT);
    platform.inject_fault(fault);
    assert_eq!(client.get("k").await, Err(error.clone()));
    assert_eq!(client.list("k").await, Err(error.clone()));
    assert_eq!(client.watch("k", 0, Duration::ZERO).await, Err(error));
}

#[tokio::test]
async fn refused_connection_is_unavailable() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, CALL_TIMEOUT);
    platform.stop();
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        // A connection that closes while the platform stops may leave a call unanswered.
        let put = client.put("k", "a", Expect::Any, None).await;
        if put == Err(Error::Unavailable) {
            return;
        }
        assert!(Instant::now() < end, "{put:?}");
    }
}

/// A middlebox drops the connection of a watch without notice: the watch would wait forever while
/// new ones work. Only its own timeout ends it.
#[tokio::test]
async fn unresponsive_watch_ends_by_its_timeout() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, CALL_TIMEOUT);
    let watching = client.clone();
    let waiting = tokio::spawn(async move { watching.watch("k", 0, CALL_TIMEOUT).await });
    wait_for(|| platform.counts().watching == 1).await;
    platform.inject_fault(Fault {
        silent_watches: true,
        ..Fault::default()
    });
    put(&client, "k", "a", Expect::Any).await;
    assert_eq!(
        waiting.await.expect("the task ends"),
        Err(Error::Unanswered)
    );
    let change = client.watch("k", 0, Duration::ZERO).await;
    assert_eq!(change.expect("an answer").events.len(), 1);
}

/// When the store goes down, waiting watches end at once, so that readers notice.
#[tokio::test]
async fn outage_ends_waiting_watches() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    let watching = client.clone();
    let waiting = tokio::spawn(async move { watching.watch("k", 0, TEST_TIMEOUT).await });
    wait_for(|| platform.counts().watching == 1).await;
    platform.inject_fault(Fault {
        outage: true,
        ..Fault::default()
    });
    assert_eq!(
        waiting.await.expect("the task ends"),
        Err(Error::Unavailable)
    );
}

#[tokio::test]
async fn calls_are_counted_by_kind() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, TEST_TIMEOUT);
    put(&client, "k", "a", Expect::Any).await;
    value(&client, "k").await;
    client.list("k").await.expect("an answer");
    client.grant_lease(TEST_TIMEOUT).await.expect("an answer");
    client.watch("k", 0, TEST_TIMEOUT).await.expect("an answer");
    let counts = platform.counts();
    assert_eq!((counts.reads, counts.writes, counts.watches), (2, 2, 1));
}

#[rstest]
#[case::scheme("ftp://10.0.0.1")]
#[case::text("no address")]
#[case::no_scheme("10.0.0.1:7000")]
fn invalid_base_urls_are_refused(#[case] base_url: &str) {
    assert_matches!(
        Client::new(base_url, TEST_TIMEOUT),
        Err(Error::Malformed(_))
    );
}

async fn wait_for(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the condition holds in time");
}
