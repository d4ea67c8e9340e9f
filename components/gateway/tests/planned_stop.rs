//! Tests of requests that arrive during the grace time of a planned stop.

mod common;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    HOST,
    Harness,
    Kind,
    Message,
    document,
    read_message,
    response,
    settings,
    stream_head,
    write_events, //
};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

const GRACE: Duration = Duration::from_secs(8);

/// Time that callers wait for an answer.
const DEADLINE: Duration = Duration::from_secs(4);

/// Number of callers that keep a connection.
const CALLERS: usize = 8;

/// Time of a request before the server turns slow, and after.
const RUN_TIME: Duration = Duration::from_millis(30);
const SLOW_TIME: Duration = Duration::from_millis(2500);

/// When the server turns slow, after the signal: so late that slow requests outlast the grace time.
const SLOW_AFTER: Duration = Duration::from_millis(5500);

/// Time that a slow body takes: what begins before the balancer sends no more is complete when a slow
/// server no longer answers in time.
const BODY_TIME: Duration = Duration::from_millis(3500);

/// Time after the signal up to which a request may be cut whose server still works in the last sixth of
/// the grace time.
const EXCUSED_TIME: Duration = Duration::from_secs(3);

/// Time after its last byte for which a request that isn't answered may keep its connection.
const UNANSWERED_TIME: Duration = Duration::from_millis(200);

/// How a caller sends a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sending {
    AtOnce,
    /// Its body takes some seconds.
    Slowly,
}

/// Site of two gateways and a server, of which gateways are stopped.
struct Site {
    kind: Kind,
    sending: Sending,
    is_slow: Cell<bool>,
    /// Ids of the requests that the server ran.
    runs: RefCell<HashSet<String>>,
}

async fn start_server(site: &Rc<Site>) -> Backend {
    let site = site.clone();
    Backend::start(move |message: Message, connection| {
        let site = site.clone();
        async move {
            let id = message.header("id").unwrap_or_default();
            let time = match site.is_slow.get() {
                true => SLOW_TIME,
                false => RUN_TIME,
            };
            if message.is_status_check() {
                connection.write(&response("", 200, "")).await;
                return true;
            }
            site.runs.borrow_mut().insert(id.to_string());
            if site.kind == Kind::Stream {
                connection.write(&stream_head(id)).await;
                write_events(&connection, 1, 6, time / 6).await;
                return true;
            }
            sleep(time).await;
            connection.write(&response(id, 200, "fine")).await;
            true
        }
    })
    .await
}

/// Sends a request on a kept connection; returns when its last byte was sent, and the whole response.
async fn exchange(
    stream: &mut TcpStream,
    site: &Site,
    id: &str,
) -> (Option<Instant>, Option<Message>) {
    let (path, headers) = (site.kind.path("x"), site.kind.headers());
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: {id}\r\nkey: k\r\ndeadline: {}\r\n\
         content-length: 8\r\n{headers}\r\nbody",
        DEADLINE.as_millis()
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return (None, None);
    }
    if site.sending == Sending::Slowly {
        sleep(BODY_TIME).await;
    }
    if stream.write_all(b"body").await.is_err() {
        return (None, None);
    }
    let sent = Instant::now();
    let response = timeout(GRACE, read_message(stream)).await;
    (Some(sent), response.ok().and_then(Result::ok))
}

/// Guards against requests of a planned stop, also late ones, that are sent to a server and get no
/// complete answer, or are read and left without one.
#[rstest]
fn each_request_of_a_planned_stop_is_answered(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(Sending::AtOnce, Sending::Slowly)] sending: Sending,
    #[values(false, true)] both_stop: bool,
) {
    common::run(async move {
        let site = Rc::new(Site {
            kind,
            sending,
            is_slow: Cell::new(false),
            runs: RefCell::default(),
        });
        let first = Harness::start(settings());
        let mut beside = settings();
        beside.seeds.push(first.peers);
        let second = Harness::start(beside);
        let server = start_server(&site).await;
        for gateway in [&first, &second] {
            gateway.put_document(1, document());
            gateway.register("s1", kind.service(), "a", server.address);
        }
        sleep(Duration::from_secs(1)).await;
        let violations: Rc<RefCell<Vec<String>>> = Rc::default();
        let stopped = Instant::now() + Duration::from_millis(500);
        let mut callers = Vec::new();
        for caller in 0..CALLERS {
            let (site, violations, address) = (site.clone(), violations.clone(), first.callers);
            callers.push(spawn_local(async move {
                for number in 0.. {
                    let Ok(mut stream) = TcpStream::connect(address).await else {
                        return;
                    };
                    for part in 0.. {
                        let id = format!("{caller}-{number}-{part}");
                        let began = Instant::now();
                        let (sent, response) = exchange(&mut stream, &site, &id).await;
                        let is_closed = response
                            .as_ref()
                            .is_none_or(|response| response.header("connection") == Some("close"));
                        let ran = site.runs.borrow().contains(&id);
                        let is_early = began <= stopped + EXCUSED_TIME;
                        let is_late = Instant::now() >= stopped + GRACE * 5 / 6;
                        let is_excused = is_early && is_late || began.elapsed() >= DEADLINE;
                        let held = sent.is_some_and(|at| at.elapsed() > UNANSWERED_TIME);
                        if response.is_none() && (ran && !is_excused || !ran && held) {
                            let at = began.saturating_duration_since(stopped);
                            violations
                                .borrow_mut()
                                .push(format!("{id} at {at:?}, ran {ran}"));
                        }
                        if is_closed {
                            break;
                        }
                        sleep(Duration::from_millis(10)).await;
                    }
                }
            }));
        }
        sleep(stopped - Instant::now()).await;
        first.stop.cancel();
        if both_stop {
            second.stop.cancel();
        }
        sleep(SLOW_AFTER).await;
        site.is_slow.set(true);
        first.stopped.cancelled().await;
        // As when the process ends.
        sleep(Duration::from_millis(50)).await;
        for caller in callers {
            caller.abort();
        }
        let violations = violations.borrow();
        assert!(violations.is_empty(), "{violations:#?}");
    });
}
