//! What callers hold, and who yields when it is used up.

use std::{
    rc::Rc,
    time::Duration, //
};

use futures_util::FutureExt;
use gateway::{
    account::{
        Account,
        Connection,
        Stage, //
    },
    settings::Limits, //
};
use rstest::rstest;
use tokio::time::sleep;

/// Memory that callers may hold, in bytes, and their connections.
const MEMORY: usize = 1_000_000;
const CONNECTIONS: usize = 6;

/// Time after which a connection without progress is slow.
const SLOW_TIME: Duration = Duration::from_millis(600);

/// Bytes that a body gets at a time.
const SEGMENT_BYTES: usize = 16 * 1024;

fn limits() -> Limits {
    Limits {
        memory: MEMORY,
        connections: CONNECTIONS,
        ..Limits::default()
    }
}

fn is_closed(connection: &Connection) -> bool {
    connection.closed().now_or_never().is_some()
}

fn open(account: &Rc<Account>) -> Connection {
    account.open(&limits()).expect("there is room")
}

/// Guards against connections that keep all others out, and against others that are closed for them.
#[rstest]
#[case::idle(Stage::Idle, true)]
#[case::held_back(Stage::HeldBack, true)]
#[case::discarding(Stage::Discarding, true)]
#[case::active(Stage::Active, false)]
#[tokio::test]
async fn the_slowest_connection_yields_to_a_new_one(#[case] stage: Stage, #[case] yields: bool) {
    let account = Rc::new(Account::default());
    let slow = open(&account);
    slow.set_stage(stage);
    sleep(SLOW_TIME).await;
    let others: Vec<_> = (1..CONNECTIONS).map(|_| open(&account)).collect();
    for other in &others {
        other.set_stage(Stage::Active);
    }
    let opened = account.open(&limits());
    assert_eq!((opened.is_some(), is_closed(&slow)), (yields, yields));
    assert!(!others.iter().any(is_closed));
}

/// Guards against a response that nobody takes, and against one that is taken being broken off.
#[rstest]
#[tokio::test]
async fn a_response_yields_only_if_it_is_not_taken(#[values(false, true)] is_blocked: bool) {
    let account = Rc::new(Account::default());
    let connections: Vec<_> = (0..CONNECTIONS).map(|_| open(&account)).collect();
    for connection in &connections {
        connection.set_stage(Stage::Active);
    }
    if is_blocked {
        connections[2].record_blocked();
    }
    sleep(SLOW_TIME).await;
    assert_eq!(account.open(&limits()).is_some(), is_blocked);
    for (number, connection) in connections.iter().enumerate() {
        assert_eq!(is_closed(connection), is_blocked && number == 2);
    }
}

/// Guards against a body that stops short and keeps the room from one that gets on.
#[tokio::test]
async fn a_body_that_stops_short_yields_to_one_that_gets_on() {
    let account = Rc::new(Account::default());
    let (slow, other) = (open(&account), open(&account));
    let length = MEMORY * 6 / 10;
    let mut stopped = slow.begin_body(&limits(), length).expect("it fits");
    while account.body_bytes() + SEGMENT_BYTES < length {
        assert!(stopped.grow(&limits(), SEGMENT_BYTES));
    }
    sleep(SLOW_TIME).await;
    let mut body = other.begin_body(&limits(), length).expect("it fits");
    let mut grown = 0;
    while grown < length {
        assert!(body.grow(&limits(), SEGMENT_BYTES), "after {grown} bytes");
        other.record_progress(SEGMENT_BYTES);
        grown += SEGMENT_BYTES;
    }
    assert!(stopped.refused().now_or_never().is_some());
    assert!(body.refused().now_or_never().is_none());
    assert!(!is_closed(&slow), "it gets a response");
}

/// Guards against room that is taken by announcing, and against any that isn't given back.
#[tokio::test]
async fn nothing_is_held_for_what_is_announced_or_has_ended() {
    let account = Rc::new(Account::default());
    let connections: Vec<_> = (0..CONNECTIONS).map(|_| open(&account)).collect();
    let empty = account.bytes();
    let mut bodies = Vec::new();
    for connection in &connections {
        bodies.extend(connection.begin_body(&limits(), MEMORY / 2));
    }
    assert_eq!(bodies.len(), CONNECTIONS);
    assert!(account.bytes() < MEMORY / 2 + empty);
    for body in &mut bodies {
        assert!(body.grow(&limits(), SEGMENT_BYTES));
        body.complete();
    }
    drop(bodies);
    assert_eq!((account.bytes(), account.body_bytes()), (empty, 0));
    drop(connections);
    assert_eq!((account.bytes(), account.connections()), (0, 0));
}

/// Guards against requests that are held without a bound, as each alone is short.
#[tokio::test]
async fn requests_in_progress_stay_within_the_memory() {
    let account = Rc::new(Account::default());
    let limits = Limits {
        connections: usize::MAX,
        ..limits()
    };
    let mut held = Vec::new();
    while let Some(connection) = account.open(&limits) {
        let Some(request) = connection.begin_body(&limits, 0) else {
            break;
        };
        request.complete();
        held.push((connection, request));
    }
    assert!(account.bytes() <= MEMORY);
    assert!(!held.is_empty() && !held.iter().any(|(connection, _)| is_closed(connection)));
}
