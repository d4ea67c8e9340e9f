//! Tests of plain requests that were in flight when a server crashed.

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
    response, //
};
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep, //
    },
};
use tokio_util::sync::CancellationToken;

/// Time from the start of a run to the crash of its server, and to the answer of a sound one.
const CRASH_DELAY: Duration = Duration::from_millis(30);
const RUN_TIME: Duration = Duration::from_millis(120);

/// Time after which a second server gets a request: the least share of the routes' objective.
const HEDGE_DELAY: Duration = Duration::from_millis(800);

/// When runs began at a server.
type Starts = Rc<RefCell<Vec<Instant>>>;

/// Starts a server that answers after a time, or crashes under a request whose path has `bad` in it.
async fn start_server(run_time: Duration, crashes: bool) -> (Backend, Starts) {
    let starts = Starts::default();
    let crash = CancellationToken::new();
    let (log, crashing) = (starts.clone(), crash.clone());
    let backend = Backend::start(move |message: Message, connection| {
        let (log, crash) = (log.clone(), crash.clone());
        async move {
            // A status check takes no run.
            if message.is_status_check() {
                connection.write(&response("", 200, "")).await;
                return true;
            }
            log.borrow_mut().push(Instant::now());
            if crashes && message.start_line.contains("bad") {
                sleep(CRASH_DELAY).await;
                crash.cancel();
            }
            sleep(run_time).await;
            let id = message.header("id").unwrap_or_default();
            connection.write(&response(id, 200, "fine")).await;
            true
        }
    })
    .await;
    let stop = backend.stop_token();
    spawn_local(async move {
        crashing.cancelled().await;
        stop.cancel();
    });
    (backend, starts)
}

async fn send(harness: &Harness, id: &str, name: &str) -> Option<u16> {
    let (_, answer) = harness.request(id, &Kind::Safe.path(name), "").await;
    answer.ok().map(|answer| answer.status())
}

/// Starts a gateway with a server that crashed under two requests.
async fn start() -> Harness {
    let harness = Harness::with_document(document());
    let (first, _) = start_server(RUN_TIME, true).await;
    harness.register("first", Kind::Safe.service(), "a", first.address);
    let both = tokio::join!(send(&harness, "g1", "good"), send(&harness, "b1", "bad"));
    assert_eq!(both, (Some(502), Some(502)));
    harness
}

/// Guards against a harmful request that isn't found as another one is beside it at each crash.
#[test]
fn requests_that_were_at_a_crash_are_sent_one_at_a_time() {
    common::run(async {
        let harness = start().await;
        let (second, starts) = start_server(RUN_TIME, false).await;
        harness.register("second", Kind::Safe.service(), "a", second.address);
        let all = tokio::join!(
            send(&harness, "g2", "good"),
            send(&harness, "b2", "bad"),
            send(&harness, "o", "other")
        );
        assert_eq!(all, (Some(200), Some(200), Some(200)));
        let starts = starts.borrow();
        assert_eq!(starts.len(), 3);
        assert!(starts[1] - starts[0] < RUN_TIME / 2, "{starts:?}");
        assert!(starts[2] - starts[0] >= RUN_TIME, "{starts:?}");
    });
}

/// Guards against a second server that crashes under a request before the first one has.
#[test]
fn a_request_that_was_at_a_crash_is_not_sent_to_two_servers_at_once() {
    common::run(async {
        let harness = start().await;
        let mut servers = Vec::new();
        for name in ["second", "third"] {
            let (backend, starts) = start_server(HEDGE_DELAY * 3 / 2, false).await;
            harness.register(name, Kind::Safe.service(), "a", backend.address);
            servers.push((backend, starts));
        }
        assert_eq!(send(&harness, "b2", "bad").await, Some(200));
        let counts = servers.iter().map(|(_, starts)| starts.borrow().len());
        assert_eq!(counts.sum::<usize>(), 1);
    });
}
