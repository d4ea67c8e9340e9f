//! Tests of requests that are sent one at a time while servers crash one after the other.

mod common;

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    Kind,
    Message,
    document,
    settings,
    stream_head,
    until,
    write_events, //
};
use contract::poison::evidence::LIFE_SIGN;
use futures_util::future::join_all;
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

/// Servers that crash, each under another request.
const CRASH_COUNT: usize = 4;

/// Requests that come afterwards.
const SOUND_COUNT: usize = 3;

/// Time from the start of a run to the crash of its server.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Time within which the gateway knows a server, and after which a caller leaves.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// Events of a stream, and the time between two of them.
const EVENTS: (u64, Duration) = (20, Duration::from_millis(50));

/// When runs began at a server.
type Starts = Rc<RefCell<Vec<Instant>>>;

/// Starts a server that crashes on requests whose path contains `bad`.
async fn start_server(starts: Starts) -> Backend {
    let crash = CancellationToken::new();
    let crashing = crash.clone();
    let handler = move |message: Message, connection: common::Connection| {
        let (starts, crash) = (starts.clone(), crash.clone());
        async move {
            starts.borrow_mut().push(Instant::now());
            let id = message.header("id").unwrap_or_default();
            connection.write(&stream_head(id)).await;
            if message.start_line.contains("bad") {
                sleep(CRASH_DELAY).await;
                crash.cancel();
                std::future::pending::<()>().await;
            }
            write_events(&connection, 1, EVENTS.0, EVENTS.1).await;
            true
        }
    };
    let backend = Backend::start(handler).await;
    let stop = backend.stop_token();
    spawn_local(async move {
        crashing.cancelled().await;
        stop.cancel();
    });
    backend
}

/// Returns the headers of a request whose last part nobody else has.
fn headers(number: usize) -> String {
    format!("tokens: 10\r\nparts: 11:100,{}:20\r\n", 1000 + number)
}

/// Starts a gateway that had servers crash one after the other, with a sound one.
async fn start(grace: Duration) -> (Rc<Harness>, Backend, Starts) {
    let mut settings = settings();
    settings.bounds.grace = grace;
    let harness = Rc::new(Harness::start(settings));
    harness.put_document(1, document());
    let service = Kind::Stream.service();
    for number in 0..CRASH_COUNT {
        let backend = start_server(Starts::default()).await;
        harness.register(&format!("s{number}"), service, "a", backend.address);
        sleep(NOTICE_TIME).await;
        let path = Kind::Stream.path(&format!("bad-{number}"));
        let (id, headers) = (format!("b{number}"), headers(number));
        let answer = timeout(NOTICE_TIME, harness.request(&id, &path, &headers)).await;
        assert!(answer.is_err(), "request {number} crashed no server");
    }
    let starts = Starts::default();
    let backend = start_server(starts.clone()).await;
    harness.register("sound", service, "a", backend.address);
    sleep(NOTICE_TIME).await;
    (harness, backend, starts)
}

/// Sends the sound requests at once; returns the statuses of the responses.
async fn send(harness: &Harness) -> Vec<Option<u16>> {
    let sent = (CRASH_COUNT..CRASH_COUNT + SOUND_COUNT).map(|number| async move {
        let path = Kind::Stream.path(&format!("good-{number}"));
        let (id, headers) = (format!("g{number}"), headers(number));
        let (_, answer) = harness.request(&id, &path, &headers).await;
        answer.ok().map(|answer| answer.status())
    });
    join_all(sent).await
}

/// Guards against a prompt part that isn't found as it crashes each server before another request
/// lives there: all that waits would be sent at once to the next server.
#[test]
fn while_servers_crash_one_after_the_other_each_gets_one_request_until_it_lives() {
    common::run(async {
        let (harness, _backend, starts) = start(Duration::from_secs(8)).await;
        assert_eq!(send(&harness).await, [Some(200); SOUND_COUNT]);
        let starts = starts.borrow();
        assert_eq!(starts.len(), SOUND_COUNT);
        assert!(starts[1] - starts[0] >= LIFE_SIGN, "{starts:?}");
        assert!(starts[1] - starts[0] < LIFE_SIGN * 2, "{starts:?}");
    });
}

/// Guards against requests that waited and are sent just before the process exits, which would cut
/// them off.
#[test]
fn requests_that_waited_too_long_are_refused_by_a_stopping_gateway() {
    common::run(async {
        let (harness, _backend, starts) = start(Duration::from_millis(1200)).await;
        let sending = spawn_local({
            let harness = harness.clone();
            async move { send(&harness).await }
        });
        until(|| starts.borrow().len() == 1).await;
        harness.stop.cancel();
        let statuses = sending.await.expect("no request panicked");
        assert_eq!(statuses[1..], [Some(503); SOUND_COUNT - 1], "{statuses:?}");
        assert_eq!(starts.borrow().len(), 1);
    });
}
