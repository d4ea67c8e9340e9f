//! Tests of requests that may crash servers and run one at a time over all gateways.

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
    response,
    settings,
    stream_head,
    write_events, //
};
use rstest::rstest;
use tokio::{
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

/// Time from the start of a run to the crash of its server: the other request is there by then.
const CRASH_DELAY: Duration = Duration::from_millis(150);

/// Number of crashes at which both requests are in flight.
const COMMON_CRASHES: usize = 3;

/// Time within which gateways know each other, and what each knows of requests.
const INTRODUCTION_TIME: Duration = Duration::from_secs(2);

/// Paths that ran at a server, and those that were in flight at its crash.
#[derive(Default)]
struct Log {
    running: Vec<String>,
    at_crash: Option<Vec<String>>,
}

struct Server {
    backend: Rc<Backend>,
    log: Rc<RefCell<Log>>,
}

/// Starts a server that crashes under a request whose path has `bad` in it.
async fn start_server(kind: Kind) -> Server {
    let log: Rc<RefCell<Log>> = Rc::default();
    let kept = log.clone();
    let crash = CancellationToken::new();
    let crashed = crash.clone();
    let handler = move |message: Message, connection: common::Connection| {
        let (log, crash) = (log.clone(), crash.clone());
        async move {
            if message.is_status_check() {
                connection.write(&response("", 200, "")).await;
                return true;
            }
            let path = message.start_line.split(' ').nth(1).unwrap_or_default();
            log.borrow_mut().running.push(path.to_string());
            let id = message.header("id").unwrap_or_default();
            if kind == Kind::Stream {
                connection.write(&stream_head(id)).await;
            }
            if path.contains("bad") {
                sleep(CRASH_DELAY).await;
                let mut log = log.borrow_mut();
                let running = log.running.clone();
                log.at_crash.get_or_insert(running);
                crash.cancel();
                return false;
            }
            sleep(CRASH_DELAY * 2).await;
            match kind {
                Kind::Stream => write_events(&connection, 1, 6, Duration::from_millis(10)).await,
                Kind::Safe | Kind::Unsafe => connection.write(&response(id, 200, "fine")).await,
            }
            log.borrow_mut().running.retain(|other| other != path);
            true
        }
    };
    let backend = Rc::new(Backend::start(handler).await);
    let server = backend.clone();
    spawn_local(async move {
        crashed.cancelled().await;
        server.kill();
    });
    Server { backend, log: kept }
}

async fn send(harness: &Harness, id: &str, kind: Kind, path: &str) -> Option<u16> {
    let sent = harness.request(id, path, kind.headers());
    let (_, response) = timeout(Duration::from_secs(10), sent).await.ok()?;
    response.ok().map(|response| response.status())
}

/// Guards against a harmful request that stays unknown as a sound one, or another harmful one, is
/// beside it at each crash, sent by another gateway.
#[rstest]
#[case::a_sound_one("other", 200)]
#[case::a_harmful_one("bad-other", 503)]
fn requests_that_crashed_together_run_one_at_a_time(
    #[values(Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[case] other: &str,
    #[case] last_status: u16,
) {
    let other = kind.path(other);
    common::run(async move {
        let mut document = document();
        for rule in &mut document.routes {
            if let Some(pass) = &mut rule.pass {
                pass.attempts = 1;
            }
        }
        let first = Harness::start(settings());
        let mut with_peer = settings();
        with_peer.seeds.push(first.peers);
        let second = Harness::start(with_peer);
        for harness in [&first, &second] {
            harness.put_document(1, document.clone());
        }
        sleep(INTRODUCTION_TIME).await;
        let bad = kind.path("bad");
        let mut servers = Vec::new();
        let mut register = async || {
            let server = start_server(kind).await;
            let name = format!("s{}", servers.len());
            for harness in [&first, &second] {
                harness.register(&name, kind.service(), "a", server.backend.address);
            }
            servers.push(server.log.clone());
            server
        };
        for round in 0..COMMON_CRASHES {
            let server = register().await;
            let ids = (format!("a{round}"), format!("b{round}"));
            tokio::join!(
                send(&first, &ids.0, kind, &bad),
                send(&second, &ids.1, kind, &other)
            );
            let at_crash = server.log.borrow().at_crash.clone();
            assert_eq!(at_crash.map(|at_crash| at_crash.len()), Some(2));
            sleep(Duration::from_millis(300)).await;
        }
        let _kept = [register().await, register().await, register().await];
        let mut statuses = Vec::new();
        for round in COMMON_CRASHES..COMMON_CRASHES + 3 {
            let ids = (format!("a{round}"), format!("b{round}"));
            let (one, two) = tokio::join!(
                send(&first, &ids.0, kind, &bad),
                send(&second, &ids.1, kind, &other)
            );
            statuses.push((one, two));
            sleep(Duration::from_millis(300)).await;
        }
        for log in &servers[COMMON_CRASHES..] {
            let at_crash = log.borrow().at_crash.clone();
            assert!(at_crash.is_none_or(|at_crash| at_crash.len() == 1));
        }
        assert_eq!(statuses.last(), Some(&(Some(503), Some(last_status))));
    });
}
