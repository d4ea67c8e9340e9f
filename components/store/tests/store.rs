//! The store's contract and its fault cases, by the real client against the stand-in.

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

/// Far beyond what any step takes on a busy machine.
const LONG: Duration = Duration::from_secs(30);

/// Time-out for calls that are not answered.
const SHORT: Duration = Duration::from_millis(200);

async fn start(settings: Settings) -> Platform {
    Platform::start(settings)
        .await
        .expect("loopback can be bound")
}

fn client(platform: &Platform, time: Duration) -> Client {
    Client::new(&format!("http://{}", platform.address()), time).expect("the base is a URL")
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
async fn writes_keep_their_condition(
    #[case] before: Option<&str>,
    #[case] expect: Expect,
    #[case] done: bool,
) {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
    if let Some(before) = before {
        put(&client, "k", before, Expect::Any).await;
    }
    let written = put(&client, "k", "b", expect).await;
    match written {
        Write::Done { revision } => {
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
    let held = match expect {
        Expect::Any => true,
        Expect::Absent => after.is_none(),
        Expect::Revision(number) => !done && before.is_some() && number == 1,
    };
    let deleted = matches!(deleted, Ok(Write::Done { .. }));
    assert_eq!(deleted, held);
}

#[tokio::test]
async fn listing_goes_over_pages() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
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
async fn watch_gives_changes_in_order() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
    put(&client, "env/a", "1", Expect::Any).await;
    let watching = client.clone();
    let waiting = tokio::spawn(async move { watching.watch("env/", 1, LONG).await });
    wait_for(|| platform.counts().watching == 1).await;
    put(&client, "other", "x", Expect::Any).await;
    put(&client, "env/a", "2", Expect::Any).await;
    let change = waiting.await.expect("the task ends").expect("an answer");
    assert_eq!(change.events[0].value.as_deref(), Some("2"));
    client.delete("env/a", Expect::Any).await.expect("deleted");
    let change = client.watch("env/", change.revision, LONG).await;
    let change = change.expect("an answer");
    assert_eq!(change.events[0].value, None);
    assert_eq!(platform.counts().watching, 0);
}

#[tokio::test]
async fn watch_ends_after_its_wait() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
    let change = client.watch("env/", 0, Duration::from_millis(20)).await;
    assert!(change.expect("an answer").events.is_empty());
}

// A reader was cut off for long; the store no longer has the changes that it missed. It must be
// told so, or it would serve an old document for good.
#[tokio::test]
async fn watch_from_too_far_back_is_compacted() {
    let platform = start(Settings {
        retained_changes: 2,
        ..Settings::default()
    })
    .await;
    let client = client(&platform, LONG);
    for value in ["1", "2", "3", "4"] {
        put(&client, "k", value, Expect::Any).await;
    }
    assert_eq!(
        client.watch("k", 1, Duration::ZERO).await,
        Err(Error::Compacted)
    );
    assert!(client.watch("k", 2, Duration::ZERO).await.is_ok());
}

// The holder of a lease is paused, its lease lapses, and its keys go; when it wakes it must learn
// that it holds nothing.
#[tokio::test]
async fn lapsed_lease_takes_its_keys() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
    let lease = client.lease(Duration::from_millis(50)).await;
    let lease = lease.expect("the store answers");
    let put = client.put("slot", "a", Expect::Absent, Some(lease)).await;
    assert_matches!(put, Ok(Write::Done { .. }));
    let change = client.watch("slot", 1, LONG).await.expect("an answer");
    assert_eq!(change.events[0].value, None);
    assert_eq!(client.keep(lease).await, Err(Error::UnknownLease));
    let put = client.put("slot", "a", Expect::Absent, Some(lease)).await;
    assert_eq!(put, Err(Error::UnknownLease));
}

#[tokio::test]
async fn kept_lease_stays_and_dropped_lease_goes() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
    let lease = client.lease(LONG).await.expect("the store answers");
    let put = client.put("slot", "a", Expect::Absent, Some(lease)).await;
    assert_matches!(put, Ok(Write::Done { .. }));
    assert_eq!(client.keep(lease).await, Ok(()));
    assert_eq!(platform.counts().leases, 1);
    assert_eq!(client.drop_lease(lease).await, Ok(()));
    assert_eq!(value(&client, "slot").await, None);
    assert_eq!(platform.counts().leases, 0);
}

#[tokio::test]
async fn values_over_a_mebibyte_are_refused() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
    let most = "v".repeat(1 << 20);
    assert_matches!(
        client.put("k", &most, Expect::Any, None).await,
        Ok(Write::Done { .. })
    );
    let more = format!("{most}v");
    let put = client.put("k", &more, Expect::Any, None).await;
    assert_eq!(put, Err(Error::TooLarge));
}

// The platform's store is down, silent, overloaded or slow. Each call must end within its
// time-out with an error that says whether a write can have had an effect.
#[rstest]
#[case::outage(Fault { outage: true, ..Fault::default() }, Error::Outage)]
#[case::outage_for(Fault { outage_ms: Some(3_600_000), ..Fault::default() }, Error::Outage)]
#[case::silence(Fault { silence: true, ..Fault::default() }, Error::Unanswered)]
#[case::slow(Fault { slow_ms: Some(3_600_000), ..Fault::default() }, Error::Unanswered)]
#[case::lost_write(Fault { lose_writes: Some(1), ..Fault::default() }, Error::Unanswered)]
#[case::lost_answer(Fault { lose_answers: Some(1), ..Fault::default() }, Error::Unanswered)]
#[case::rate(
    Fault { writes_per_s: Some(0.5), ..Fault::default() },
    Error::Busy { retry_after: Duration::from_secs(1) }
)]
#[tokio::test]
async fn faults_of_writes(#[case] fault: Fault, #[case] error: Error) {
    let platform = start(Settings::default()).await;
    let client = client(&platform, SHORT);
    let landed = fault.lose_answers.is_some();
    platform.inject_fault(fault);
    let put = client.put("k", "a", Expect::Absent, None).await;
    assert_eq!(put, Err(error));
    platform.inject_fault(Fault {
        clear: true,
        ..Fault::default()
    });
    assert_eq!(value(&client, "k").await.is_some(), landed);
}

#[rstest]
#[case::outage(Fault { outage: true, ..Fault::default() }, Error::Outage)]
#[case::silence(Fault { silence: true, ..Fault::default() }, Error::Unanswered)]
#[case::rate(
    Fault { reads_per_s: Some(0.5), ..Fault::default() },
    Error::Busy { retry_after: Duration::from_secs(1) }
)]
#[tokio::test]
async fn faults_of_reads(#[case] fault: Fault, #[case] error: Error) {
    let platform = start(Settings::default()).await;
    let client = client(&platform, SHORT);
    platform.inject_fault(fault);
    assert_eq!(client.get("k").await, Err(error.clone()));
    assert_eq!(client.list("k").await, Err(error.clone()));
    assert_eq!(client.watch("k", 0, Duration::ZERO).await, Err(error));
}

#[tokio::test]
async fn nobody_listening_is_an_outage() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, SHORT);
    platform.stop();
    let end = Instant::now() + LONG;
    loop {
        // The connection that closes in the midst of the stop may leave a call unanswered.
        let put = client.put("k", "a", Expect::Any, None).await;
        if put == Err(Error::Outage) {
            return;
        }
        assert!(Instant::now() < end, "{put:?}");
    }
}

// A watch's connection is forgotten by something between the two ends: the watch waits for good
// while new ones work. Only its own time-out can end it.
#[tokio::test]
async fn silent_watch_ends_by_its_timeout() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, SHORT);
    let watching = client.clone();
    let waiting = tokio::spawn(async move { watching.watch("k", 0, SHORT).await });
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

// The store goes down under waiting watches: they end at once, so that readers know.
#[tokio::test]
async fn outage_ends_waiting_watches() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
    let watching = client.clone();
    let waiting = tokio::spawn(async move { watching.watch("k", 0, LONG).await });
    wait_for(|| platform.counts().watching == 1).await;
    platform.inject_fault(Fault {
        outage: true,
        ..Fault::default()
    });
    assert_eq!(waiting.await.expect("the task ends"), Err(Error::Outage));
}

#[tokio::test]
async fn counts_tell_calls_apart() {
    let platform = start(Settings::default()).await;
    let client = client(&platform, LONG);
    put(&client, "k", "a", Expect::Any).await;
    value(&client, "k").await;
    client.list("k").await.expect("an answer");
    client.lease(LONG).await.expect("an answer");
    client.watch("k", 0, LONG).await.expect("an answer");
    let counts = platform.counts();
    assert_eq!((counts.reads, counts.writes, counts.watches), (2, 2, 1));
}

#[rstest]
#[case::scheme("ftp://10.0.0.1")]
#[case::text("no address")]
#[case::bare("10.0.0.1:7000")]
fn wrong_bases_are_refused(#[case] base: &str) {
    assert_matches!(Client::new(base, LONG), Err(Error::Malformed(_)));
}

async fn wait_for(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(LONG, wait)
        .await
        .expect("the condition holds in time");
}
