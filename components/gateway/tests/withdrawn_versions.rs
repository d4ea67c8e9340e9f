//! Requests whose run is lost at a version that was taken back meanwhile.

mod common;

use std::{
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    Kind,
    Message,
    document,
    event_chunk,
    response,
    stream_head,
    write_events, //
};
use gateway::{
    Update,
    clock,
    update::Registration, //
};
use moves::rollout::{
    Order,
    State, //
};
use routing::placement::Spec;
use rstest::rstest;
use tokio::time::{
    sleep,
    timeout, //
};
use tokio_util::sync::CancellationToken;

/// Number of events of a stream.
const EVENTS: u64 = 5;

/// Number of them that a run at the new version sends.
const EVENTS_BEFORE: u64 = 2;

/// Revision of the order.
const REVISION: u64 = 7;

/// Time within which a request must end.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a server declines a request: longer than a quiet run goes on beside its replacement.
const DECLINE_TIME: Duration = Duration::from_millis(400);

/// When a run at the new version is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    BeforeHead,
    WithinEvents,
}

/// Starts a server that answers at once.
async fn start_sound(kind: Kind) -> Backend {
    Backend::start(move |message: Message, connection| async move {
        let id = message.header("id").unwrap_or_default();
        if kind != Kind::Stream {
            connection.write(&response(id, 200, "fine")).await;
            return true;
        }
        connection.write(&stream_head(id)).await;
        let after = message.header("after").and_then(|after| after.parse().ok());
        let first = after.unwrap_or(0) + 1;
        write_events(&connection, first, EVENTS, Duration::from_millis(5)).await;
        true
    })
    .await
}

/// Starts a server that closes the connection of each request once it `fails`.
async fn start_failing(moment: Moment, fails: &CancellationToken) -> Backend {
    let fails = fails.clone();
    Backend::start(move |message: Message, connection| {
        let fails = fails.clone();
        async move {
            if moment == Moment::WithinEvents {
                let id = message.header("id").unwrap_or_default();
                connection.write(&stream_head(id)).await;
                for event in 1..=EVENTS_BEFORE {
                    connection.write(&event_chunk(event)).await;
                }
            }
            fails.cancelled().await;
            false
        }
    })
    .await
}

fn register(harness: &Harness, kind: Kind, server: &str, version: &str, backend: &Backend) {
    let spec = Spec {
        service: kind.service().into(),
        version: version.into(),
        data_centre: "a".into(),
        slots: 8,
        memory: if kind == Kind::Stream { 50_000 } else { 0 },
    };
    harness.gateway.apply(Update::Server {
        registration: Registration {
            server: server.into(),
            address: backend.address,
            spec,
            leaving: false,
            started_ms: None,
            revision: 0,
        },
        since: clock::now(),
    });
}

/// Orders that a service moves to the version `v2`.
fn order(harness: &Harness, kind: Kind) {
    harness.gateway.apply(Update::Rollout {
        service: kind.service().into(),
        order: Some(Order {
            revision: REVISION,
            to: "v2".into(),
            within: Duration::from_secs(60),
        }),
    });
}

fn store_state(harness: &Harness, kind: Kind, state: State) {
    harness.gateway.apply(Update::RolloutState {
        service: kind.service().into(),
        at: REVISION + 1,
        to: "v2".into(),
        state,
    });
}

/// Guards against a request that is sent to a bad version again, long after it was taken back.
#[rstest]
#[case(Kind::Safe, Moment::BeforeHead)]
#[case(Kind::Stream, Moment::BeforeHead)]
#[case(Kind::Stream, Moment::WithinEvents)]
fn a_lost_run_is_not_repeated_at_a_version_taken_back(#[case] kind: Kind, #[case] moment: Moment) {
    common::run(async move {
        let harness = Rc::new(Harness::with_document(document()));
        let fails = CancellationToken::new();
        let mut new = Vec::new();
        for number in 0..3 {
            let backend = start_failing(moment, &fails).await;
            register(&harness, kind, &format!("new-{number}"), "v2", &backend);
            new.push(backend);
        }
        let old = start_sound(kind).await;
        register(&harness, kind, "old", "v1", &old);
        order(&harness, kind);
        store_state(&harness, kind, State::Done);
        let mut caller = harness.send("r1", &kind.path("x"), kind.headers()).await;
        let sends = || new.iter().map(Backend::request_count).sum::<usize>();
        common::until(|| sends() == 1).await;
        store_state(&harness, kind, State::Reverted);
        fails.cancel();
        let response = timeout(TIMEOUT, common::read_message(&mut caller)).await;
        let response = response.expect("in time").expect("a complete response");
        assert_eq!(response.status(), 200);
        assert_eq!(sends(), 1);
        assert_eq!(old.request_count(), 1);
    });
}

/// Guards against a stream that goes back to a bad version, which was taken back after it was left.
#[test]
fn a_stream_does_not_go_back_to_a_version_taken_back() {
    common::run(async {
        let kind = Kind::Stream;
        let mut document = document();
        for rule in &mut document.routes {
            if let Some(pass) = &mut rule.pass {
                pass.objective = Duration::from_secs(1);
            }
        }
        let harness = Rc::new(Harness::with_document(document));
        let new = start_failing(Moment::WithinEvents, &CancellationToken::new()).await;
        register(&harness, kind, "new", "v2", &new);
        let mut caller = harness.send("r1", &kind.path("x"), kind.headers()).await;
        common::until(|| new.request_count() == 1).await;
        let old = Backend::start(|message: Message, connection| async move {
            sleep(DECLINE_TIME).await;
            let id = message.header("id").unwrap_or_default();
            let declined = response(id, 503, "").replace("signed", "not-run: 1\r\nsigned");
            connection.write(&declined).await;
            true
        });
        let old = old.await;
        register(&harness, kind, "old", "v1", &old);
        common::until(|| old.request_count() == 1).await;
        order(&harness, kind);
        store_state(&harness, kind, State::Reverted);
        let response = timeout(TIMEOUT, common::read_message(&mut caller)).await;
        assert!(response.expect("in time").is_err(), "nothing serves it");
        assert_eq!(new.request_count(), 1);
    });
}
