//! Streams whose servers pause, alive, for longer than their gap target.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Connection,
    Harness,
    Message,
    document,
    event_chunk,
    response,
    settings,
    stream_head, //
};
use environment::document::{
    Document,
    Passthrough,
    Repeats, //
};
use gateway::Update;
use rstest::rstest;
use tokio::time::{
    sleep,
    timeout, //
};

/// Pause of a server, longer than a run stays without a reason.
const PAUSE: Duration = Duration::from_millis(1500);

/// Interval of the comments of a server that pauses.
const COMMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of events of a stream.
const EVENTS: u64 = 5;

/// Address that refuses connections.
const UNUSED: &str = "127.0.0.1:1";

/// Time within which a stream must end.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Why a paused stream can't go on elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Obstacle {
    /// The retry budget allows no send.
    NoBudget,
    /// The route doesn't resume streams.
    NotResumable,
    /// The route allows one server.
    OneAttempt,
    /// The other server refuses connections.
    Unreachable,
    /// The other server is full.
    Full,
    /// The other server closes each connection without an answer.
    Closing,
}

/// When the server pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// Before the head of its answer.
    BeforeHead,
    /// Before its first event.
    BeforeEvents,
    /// Between two events.
    WithinEvents,
    /// Between two events, with comments that keep the connection open.
    WithinComments,
}

impl Moment {
    /// Number of events before the pause.
    fn events(self) -> u64 {
        match self {
            Moment::BeforeHead | Moment::BeforeEvents => 0,
            Moment::WithinEvents | Moment::WithinComments => 2,
        }
    }
}

fn change_route(document: &mut Document, change: impl FnOnce(&mut Passthrough)) {
    let mut routes = document.routes.iter_mut();
    let route = routes.find(|route| route.name == "stream");
    change(
        route
            .and_then(|route| route.pass.as_mut())
            .expect("a route"),
    );
}

/// Returns the events of a stream as its caller receives them.
fn whole() -> String {
    let events = (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
    events.collect()
}

/// Answers a stream, with a pause at a moment of each first run.
async fn answer(message: Message, connection: Connection, moment: Moment) -> bool {
    if message.is_status_check() {
        let body = format!("r1 {}", moment.events());
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        connection.write(&format!("{head}{body}")).await;
        return true;
    }
    let after: u64 = message
        .header("after")
        .map_or(0, |after| after.parse().expect("a number"));
    if moment == Moment::BeforeHead {
        sleep(PAUSE).await;
    }
    let id = message.header("id").unwrap_or_default();
    connection.write(&stream_head(id)).await;
    for event in after + 1..=EVENTS {
        if moment == Moment::WithinComments && event == moment.events() + 1 {
            for _ in 0..PAUSE.div_duration_f64(COMMENT_INTERVAL) as u32 {
                connection.write("3\r\n:\n\n\r\n").await;
                sleep(COMMENT_INTERVAL).await;
            }
        } else if moment != Moment::BeforeHead && event == moment.events() + 1 {
            sleep(PAUSE).await;
        }
        connection.write(&event_chunk(event)).await;
        sleep(Duration::from_millis(20)).await;
    }
    connection.write("0\r\n\r\n").await;
    true
}

/// Guards against answers that end although their server is alive and sends on: a quiet run must not
/// be given up before another one is granted, and has begun.
#[rstest]
fn a_quiet_run_is_kept_until_another_one_begins(
    #[values(
        Obstacle::NoBudget,
        Obstacle::NotResumable,
        Obstacle::OneAttempt,
        Obstacle::Unreachable,
        Obstacle::Full,
        Obstacle::Closing
    )]
    obstacle: Obstacle,
    #[values(
        Moment::BeforeHead,
        Moment::BeforeEvents,
        Moment::WithinEvents,
        Moment::WithinComments
    )]
    moment: Moment,
) {
    common::run(async move {
        let quiet = Backend::start(move |message, connection| async move {
            answer(message, connection, moment).await
        })
        .await;
        let other = Backend::start(move |message, connection| async move {
            if obstacle == Obstacle::Closing {
                return false;
            }
            let id = message.header("id").unwrap_or_default();
            let body = response(id, 503, "").replace("signed", "not-run: 1\r\nsigned");
            connection.write(&body).await;
            true
        })
        .await;
        let other = match obstacle {
            Obstacle::Unreachable => UNUSED.parse().expect("an address"),
            _ => other.address,
        };
        let mut document = document();
        for service in &mut document.services {
            let engine = service
                .direct
                .as_mut()
                .and_then(|direct| direct.engine.as_mut());
            if let Some(engine) = engine {
                engine.backups = false;
            }
        }
        change_route(&mut document, |pass| {
            pass.objective = Duration::from_secs(1);
            match obstacle {
                Obstacle::NotResumable => pass.repeats = Repeats::Never,
                Obstacle::OneAttempt => pass.attempts = 1,
                _ => {}
            }
        });
        let mut settings = settings();
        if obstacle == Obstacle::NoBudget {
            settings.bounds.retry_ratio = 0.0;
            settings.bounds.retry_slack = 0.0;
        }
        let harness = Harness::start(settings);
        harness.put_document(1, document);
        harness.register("s1", "draft", "a", quiet.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until(|| quiet.request_count() == 1).await;
        harness.register("s2", "draft", "b", other);
        let response = timeout(TIMEOUT, common::read_message(&mut caller)).await;
        let response = response.expect("in time").expect("a complete response");
        assert_eq!(response.status(), 200);
        assert_eq!(response.text().replace(":\n\n", ""), whole());
        let sends = quiet.sends().into_iter();
        let sends: Vec<_> = sends
            .map(|message| (message.start_line, message.headers))
            .collect();
        assert_eq!(sends.len(), 1, "{sends:?}");
    });
}

/// Guards against a second run beside a quiet one that goes on: the stream has one run at a time, and
/// the quiet one goes on if it is first.
#[test]
fn a_quiet_run_that_goes_on_is_not_replaced() {
    common::run(async {
        let quiet = Backend::start(|message, connection| async move {
            answer(message, connection, Moment::WithinEvents).await
        })
        .await;
        let sends = Rc::new(Cell::new(0));
        let counter = sends.clone();
        let slow = Backend::start(move |_, connection| {
            counter.set(counter.get() + 1);
            async move {
                // The other server is quiet too.
                connection.wait_closed().await;
                false
            }
        })
        .await;
        let mut document = document();
        let pause = PAUSE.mul_f64(1.2);
        change_route(&mut document, |pass| {
            // The run is given up a moment before it goes on.
            pass.gap = Some(pause);
        });
        let harness = Harness::with_document(document);
        harness.register("s1", "draft", "a", quiet.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until(|| quiet.request_count() == 1).await;
        harness.register("s2", "draft", "b", slow.address);
        let response = timeout(TIMEOUT, common::read_message(&mut caller)).await;
        let response = response.expect("in time").expect("a complete response");
        assert_eq!(response.text(), whole());
        assert_eq!(sends.get(), 1);
    });
}

/// Guards against a caller who waits until its deadline for a server that is gone, while nothing can
/// replace it.
#[test]
fn a_quiet_run_at_a_server_that_is_gone_ends() {
    common::run(async {
        let gone = Backend::start(|message, connection| async move {
            let id = message.header("id").unwrap_or_default();
            connection.write(&stream_head(id)).await;
            connection.write(&event_chunk(1)).await;
            std::future::pending().await
        })
        .await;
        let mut settings = settings();
        settings.bounds.retry_ratio = 0.0;
        settings.bounds.retry_slack = 0.0;
        let harness = Harness::start(settings);
        harness.put_document(1, document());
        harness.register("s1", "draft", "a", gone.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until_received(&caller, "piece 1").await;
        gone.stop_accepting();
        harness.gateway.apply(Update::Deregistered("s1".into()));
        let ended = timeout(PAUSE * 2, common::read_message(&mut caller)).await;
        assert!(ended.expect("in time").is_err(), "an incomplete answer");
    });
}
