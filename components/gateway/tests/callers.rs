//! Callers' connections and requests.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    HOST,
    Harness,
    answer,
    document,
    event,
    request,
    stream_head, //
};
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

async fn fine() -> Backend {
    Backend::start(|message, line| async move {
        line.write(&answer(
            message.header("id").unwrap_or_default(),
            200,
            "fine",
        ))
        .await;
        true
    })
    .await
}

async fn harness() -> (Harness, Backend) {
    let server = fine().await;
    let harness = Harness::with(document());
    harness.register("s1", "ledger", "a", server.address);
    (harness, server)
}

/// Requests that the document doesn't allow, or that can't be understood, each get the status that
/// says so, and none reaches a server.
#[rstest]
#[case::no_route(
    "POST /nowhere/x HTTP/1.1\r\nhost: desk.example\r\nid: r\r\nkey: k\r\n\r\n",
    404
)]
#[case::another_host("POST /safe/x HTTP/1.1\r\nhost: other\r\nid: r\r\nkey: k\r\n\r\n", 404)]
#[case::no_key("POST /safe/x HTTP/1.1\r\nhost: desk.example\r\nid: r\r\n\r\n", 401)]
#[case::foreign_key(
    "POST /safe/x HTTP/1.1\r\nhost: desk.example\r\nid: r\r\nkey: z\r\n\r\n",
    401
)]
#[case::bad_number(
    "POST /safe/x HTTP/1.1\r\nhost: desk.example\r\nid: r\r\nkey: k\r\ndeadline: soon\r\n\r\n",
    400
)]
#[case::long_body(
    "POST /safe/x HTTP/1.1\r\nhost: desk.example\r\nid: r\r\nkey: k\r\n\
     content-length: 2000000\r\n\r\n",
    413
)]
#[case::two_lengths(
    "POST /safe/x HTTP/1.1\r\nhost: desk.example\r\nid: r\r\nkey: k\r\n\
     content-length: 5\r\ncontent-length: 6\r\n\r\n12345",
    400
)]
fn what_is_not_allowed_is_told_apart(#[case] request: &'static str, #[case] status: u16) {
    common::run(async move {
        let (harness, server) = harness().await;
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("it listens");
        caller
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        let told = common::read(&mut caller).await.expect("an answer");
        assert_eq!(told.status(), status, "{told:?}");
        assert_eq!(server.count(), 0);
    });
}

/// A head that is longer than the document allows is refused, however it is made up.
#[test]
fn a_long_head_is_refused() {
    common::run(async {
        let (harness, server) = harness().await;
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("it listens");
        let long = "x".repeat(20 * 1024);
        let text = request("r", "/safe/x", &format!("more: {long}\r\n"));
        caller.write_all(text.as_bytes()).await.expect("it reads");
        let told = common::read(&mut caller).await.expect("an answer");
        assert_eq!(told.status(), 431);
        assert_eq!(server.count(), 0);
    });
}

/// A second request is hidden in the body of the first. It must reach the server as a body, not as
/// a request of its own.
#[test]
fn a_request_inside_a_body_stays_a_body() {
    common::run(async {
        let (harness, server) = harness().await;
        let hidden = "POST /unsafe/y HTTP/1.1\r\nhost: desk.example\r\nid: r2\r\nkey: k\r\n\r\n";
        let more = format!("content-length: {}\r\n\r\n{hidden}", hidden.len());
        let text = format!("POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nid: r1\r\nkey: k\r\n{more}");
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("it listens");
        caller.write_all(text.as_bytes()).await.expect("it reads");
        common::read(&mut caller).await.expect("an answer");
        sleep(Duration::from_millis(20)).await;
        assert_eq!(server.count(), 1);
        assert_eq!(server.seen.borrow()[0].body, hidden.as_bytes());
    });
}

/// A head names two framings, and the one that another reader would go by hides a request. The body
/// ends where its chunks end, and the connection is closed, so that what follows is never read as a
/// request.
#[test]
fn what_two_framings_hide_is_never_run() {
    common::run(async {
        let (harness, server) = harness().await;
        let hidden = "POST /unsafe/y HTTP/1.1\r\nhost: desk.example\r\nid: r2\r\nkey: k\r\n\r\n";
        let more = "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
        let text = format!(
            "POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nid: r1\r\nkey: k\r\n{more}{hidden}"
        );
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("it listens");
        caller.write_all(text.as_bytes()).await.expect("it reads");
        let mut bytes = Vec::new();
        let read = timeout(Duration::from_secs(2), caller.read_to_end(&mut bytes)).await;
        assert!(read.is_ok(), "it is closed");
        let seen = server.seen.borrow();
        assert!(
            seen.iter()
                .all(|message| message.header("id") == Some("r1")),
            "{seen:?}"
        );
    });
}

/// One connection carries many requests, also when they are sent before the answers to those before.
#[test]
fn a_connection_carries_many_requests() {
    common::run(async {
        let (harness, _server) = harness().await;
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("it listens");
        let mut text = String::new();
        for number in 0..3 {
            text += &request(&format!("r{number}"), "/unsafe/x", "");
        }
        caller.write_all(text.as_bytes()).await.expect("it reads");
        for number in 0..3 {
            let told = common::read(&mut caller).await.expect("an answer");
            assert_eq!(told.header("id"), Some(format!("r{number}").as_str()));
        }
    });
}

/// A connection that rests longer than the document allows is closed, and one whose head doesn't
/// come whole in time too: either would hold a descriptor for as long as a caller likes.
#[rstest]
#[case::rests("", 300)]
#[case::slow_head("POST /safe/x HTTP/1.1\r\nhost: ", 150)]
fn a_connection_that_gives_nothing_is_closed(#[case] sent: &'static str, #[case] millis: u64) {
    common::run(async move {
        let mut document = document();
        let bounds = document.callers.as_mut().expect("bounds");
        bounds.idle_time = Duration::from_millis(300);
        bounds.header_time = Duration::from_millis(150);
        let harness = Harness::with(document);
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("it listens");
        caller.write_all(sent.as_bytes()).await.expect("it reads");
        let began = Instant::now();
        let mut bytes = Vec::new();
        let read = timeout(Duration::from_secs(2), caller.read_to_end(&mut bytes)).await;
        assert!(read.is_ok(), "it is closed");
        assert!(began.elapsed() >= Duration::from_millis(millis - 20));
    });
}

/// A caller leaves before its answer is complete. The server must not go on to work for nobody: its
/// connection is closed, which is how it learns of that.
#[rstest]
#[case::before_the_answer("/unsafe/x", false)]
#[case::in_a_stream("/stream/x", true)]
fn the_server_learns_that_the_caller_left(#[case] path: &'static str, #[case] stream: bool) {
    common::run(async move {
        let left = Rc::new(Cell::new(false));
        let seen = left.clone();
        let server = Backend::start(move |message, line| {
            let seen = seen.clone();
            async move {
                if stream {
                    line.write(&stream_head(message.header("id").unwrap_or_default()))
                        .await;
                    line.write(&event(1)).await;
                }
                seen.set(line.closed().await);
                false
            }
        })
        .await;
        let harness = Harness::with(document());
        let service = if stream { "draft" } else { "ledger" };
        harness.register("s1", service, "a", server.address);
        let caller = harness.connect("r1", path, "tokens: 10\r\n").await;
        sleep(Duration::from_millis(50)).await;
        drop(caller);
        sleep(Duration::from_millis(100)).await;
        assert!(left.get());
    });
}

/// A process that can't reach the store can't know whether a key was taken away. It must refuse
/// before the bound for that has passed, say that nothing ran, and be out of the balancer's list.
#[test]
fn keys_are_refused_when_what_is_known_may_be_out_of_date() {
    common::run(async {
        let server = fine().await;
        let mut settings = common::settings();
        settings.bounds.revocation = Duration::from_millis(300);
        let harness = Harness::start(settings);
        harness.register("s1", "ledger", "a", server.address);
        let (_, told) = harness.ask("r0", "/safe/x", "").await;
        assert_eq!(told.expect("an answer").status(), 503, "no document yet");
        harness.put(1, document());
        let (_, told) = harness.ask("r1", "/safe/x", "").await;
        assert_eq!(told.expect("an answer").status(), 200);
        sleep(Duration::from_millis(300)).await;
        let (_, told) = harness.ask("r2", "/safe/x", "").await;
        let told = told.expect("an answer");
        assert_eq!(told.status(), 503);
        assert!(told.header("retry-after").is_some());
        let mut asker = TcpStream::connect(harness.ready).await.expect("it listens");
        asker
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .expect("it reads");
        assert_eq!(
            common::read(&mut asker).await.expect("an answer").status(),
            503
        );
        assert_eq!(server.count(), 1);
    });
}

/// All processes ended at the same moment and start again. Callers whose answers broke off come back
/// while the first call to the store is under way, and come back only once: a rejection then loses
/// their requests for good.
#[test]
fn a_request_before_the_first_document_waits_for_it() {
    common::run(async {
        let server = fine().await;
        let harness = Harness::start(common::settings());
        let mut early = harness.connect("r0", "/safe/x", "deadline: 4000\r\n").await;
        sleep(Duration::from_millis(50)).await;
        harness.register("s1", "ledger", "a", server.address);
        harness.put(1, document());
        harness.gateway.end_initial_sync();
        let told = common::read(&mut early).await.expect("an answer");
        assert_eq!((told.status(), server.count()), (200, 1));
    });
}

/// The store is out while a process starts. Nothing can be served before it is back, so that what
/// came is rejected as soon as the first call has failed, and what comes later without a wait.
#[test]
fn nothing_waits_for_a_document_that_can_not_be_read() {
    common::run(async {
        let harness = Harness::start(common::settings());
        let began = Instant::now();
        let mut early = harness
            .connect("r0", "/safe/x", "deadline: 25000\r\n")
            .await;
        sleep(Duration::from_millis(50)).await;
        harness.gateway.end_initial_sync();
        let told = common::read(&mut early).await.expect("an answer");
        let (_, late) = harness.ask("r1", "/safe/x", "deadline: 25000\r\n").await;
        for told in [told, late.expect("an answer")] {
            assert_eq!(told.status(), 503);
            assert!(told.header("retry-after").is_some());
        }
        // The longest wait is a second.
        assert!(began.elapsed() < Duration::from_millis(900));
    });
}

/// The store accepts the first call and stays silent. A caller gets its rejection while most of its
/// time is left for another process.
#[test]
fn the_wait_for_the_first_document_leaves_most_of_the_time() {
    common::run(async {
        let harness = Harness::start(common::settings());
        let began = Instant::now();
        let (_, told) = harness.ask("r0", "/safe/x", "deadline: 800\r\n").await;
        assert_eq!(told.expect("an answer").status(), 503);
        let waited = began.elapsed();
        assert!(waited >= Duration::from_millis(100) && waited < Duration::from_millis(400));
    });
}

/// A process is told to stop while the balancer still sends it connections. Each request that is
/// short enough is answered, with the word that the connection closes, and none is lost.
#[test]
fn a_process_that_stops_answers_what_still_comes() {
    common::run(async {
        let (harness, _server) = harness().await;
        let mut kept = TcpStream::connect(harness.callers)
            .await
            .expect("it listens");
        kept.write_all(request("r1", "/unsafe/x", "").as_bytes())
            .await
            .expect("it reads");
        assert_eq!(
            common::read(&mut kept)
                .await
                .expect("an answer")
                .header("connection"),
            None
        );
        harness.stop.cancel();
        sleep(Duration::from_millis(20)).await;
        kept.write_all(request("r2", "/unsafe/x", "").as_bytes())
            .await
            .expect("it reads");
        let told = common::read(&mut kept).await.expect("an answer");
        assert_eq!(
            (told.status(), told.header("connection")),
            (200, Some("close"))
        );
        let (_, fresh) = harness.ask("r3", "/unsafe/x", "").await;
        assert_eq!(fresh.expect("an answer").status(), 200);
        let stopped = timeout(Duration::from_secs(5), harness.stopped.cancelled()).await;
        assert!(stopped.is_ok(), "it ends when its connections have");
    });
}
