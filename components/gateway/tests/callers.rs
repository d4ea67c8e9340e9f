//! Tests of callers' connections and of request parsing.

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
    document,
    event_chunk,
    format_request,
    response,
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

async fn healthy_server() -> Backend {
    Backend::start(|message, connection| async move {
        connection
            .write(&response(
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
    let server = healthy_server().await;
    let harness = Harness::with_document(document());
    harness.register("s1", "ledger", "a", server.address);
    (harness, server)
}

/// Requests that the document doesn't allow, or that can't be parsed, each get their own status,
/// and none reaches a server.
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
fn invalid_requests_get_distinct_statuses(#[case] request: &'static str, #[case] status: u16) {
    common::run(async move {
        let (harness, server) = harness().await;
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        caller
            .write_all(request.as_bytes())
            .await
            .expect("request written");
        let response = common::read_message(&mut caller).await.expect("a response");
        assert_eq!(response.status(), status, "{response:?}");
        assert_eq!(server.request_count(), 0);
    });
}

/// Guards against callers that occupy memory with heads longer than the document allows, and
/// against forwarding such requests.
#[test]
fn a_long_head_is_refused() {
    common::run(async {
        let (harness, server) = harness().await;
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        let long = "x".repeat(20 * 1024);
        let text = format_request("r", "/safe/x", &format!("more: {long}\r\n"));
        caller
            .write_all(text.as_bytes())
            .await
            .expect("request written");
        let response = common::read_message(&mut caller).await.expect("a response");
        assert_eq!(response.status(), 431);
        assert_eq!(server.request_count(), 0);
    });
}

/// Guards against request smuggling: a request inside the body of another one must reach the server
/// as body bytes, not as a request.
#[test]
fn a_request_inside_a_body_is_not_run() {
    common::run(async {
        let (harness, server) = harness().await;
        let hidden = "POST /unsafe/y HTTP/1.1\r\nhost: desk.example\r\nid: r2\r\nkey: k\r\n\r\n";
        let rest = format!("content-length: {}\r\n\r\n{hidden}", hidden.len());
        let text = format!("POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nid: r1\r\nkey: k\r\n{rest}");
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        caller
            .write_all(text.as_bytes())
            .await
            .expect("request written");
        common::read_message(&mut caller).await.expect("a response");
        sleep(Duration::from_millis(20)).await;
        assert_eq!(server.request_count(), 1);
        assert_eq!(server.requests.borrow()[0].body, hidden.as_bytes());
    });
}

/// Guards against request smuggling through a head with two framings, where another parser may use
/// the other one. The body ends with its chunks and the connection is closed, so that the following
/// bytes are never parsed as a request.
#[test]
fn a_request_hidden_by_two_framings_is_not_run() {
    common::run(async {
        let (harness, server) = harness().await;
        let hidden = "POST /unsafe/y HTTP/1.1\r\nhost: desk.example\r\nid: r2\r\nkey: k\r\n\r\n";
        let rest = "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
        let text = format!(
            "POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nid: r1\r\nkey: k\r\n{rest}{hidden}"
        );
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        caller
            .write_all(text.as_bytes())
            .await
            .expect("request written");
        let mut bytes = Vec::new();
        let read = timeout(Duration::from_secs(2), caller.read_to_end(&mut bytes)).await;
        assert!(read.is_ok(), "closed");
        let requests = server.requests.borrow();
        assert!(
            requests
                .iter()
                .all(|message| message.header("id") == Some("r1")),
            "{requests:?}"
        );
    });
}

/// Guards against losing or reordering the responses to requests that are pipelined on one
/// connection.
#[test]
fn a_connection_carries_many_requests() {
    common::run(async {
        let (harness, _server) = harness().await;
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        let mut text = String::new();
        for number in 0..3 {
            text += &format_request(&format!("r{number}"), "/unsafe/x", "");
        }
        caller
            .write_all(text.as_bytes())
            .await
            .expect("request written");
        for number in 0..3 {
            let response = common::read_message(&mut caller).await.expect("a response");
            assert_eq!(response.header("id"), Some(format!("r{number}").as_str()));
        }
    });
}

/// Closes connections that are idle for longer than the document allows or whose head isn't
/// complete in time. Otherwise a caller could hold a file descriptor for as long as it likes.
#[rstest]
#[case::idle("", 300)]
#[case::slow_head("POST /safe/x HTTP/1.1\r\nhost: ", 150)]
fn an_idle_or_slow_connection_is_closed(#[case] sent: &'static str, #[case] millis: u64) {
    common::run(async move {
        let mut document = document();
        let bounds = document.callers.as_mut().expect("bounds");
        bounds.idle_time = Duration::from_millis(300);
        bounds.header_time = Duration::from_millis(150);
        let harness = Harness::with_document(document);
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        caller
            .write_all(sent.as_bytes())
            .await
            .expect("request written");
        let started = Instant::now();
        let mut bytes = Vec::new();
        let read = timeout(Duration::from_secs(2), caller.read_to_end(&mut bytes)).await;
        assert!(read.is_ok(), "closed");
        assert!(started.elapsed() >= Duration::from_millis(millis - 20));
    });
}

/// A caller disconnects before its response is complete. The gateway closes the connection to the
/// backend server, so that the server stops working on the request.
#[rstest]
#[case::before_the_response("/unsafe/x", false)]
#[case::in_a_stream("/stream/x", true)]
fn a_disconnect_of_the_caller_closes_the_server_connection(
    #[case] path: &'static str,
    #[case] stream: bool,
) {
    common::run(async move {
        let closed = Rc::new(Cell::new(false));
        let observed = closed.clone();
        let server = Backend::start(move |message, connection| {
            let observed = observed.clone();
            async move {
                if stream {
                    connection
                        .write(&stream_head(message.header("id").unwrap_or_default()))
                        .await;
                    connection.write(&event_chunk(1)).await;
                }
                observed.set(connection.wait_closed().await);
                false
            }
        })
        .await;
        let harness = Harness::with_document(document());
        let service = if stream { "draft" } else { "ledger" };
        harness.register("s1", service, "a", server.address);
        let caller = harness.send("r1", path, "tokens: 10\r\n").await;
        sleep(Duration::from_millis(50)).await;
        drop(caller);
        sleep(Duration::from_millis(100)).await;
        assert!(closed.get());
    });
}

/// A gateway that can't reach the store can't know whether a key was revoked. Once the revocation
/// bound has passed, it must refuse requests as not run and fail its readiness check.
#[test]
fn keys_are_refused_when_the_document_may_be_out_of_date() {
    common::run(async {
        let server = healthy_server().await;
        let mut settings = common::settings();
        settings.bounds.revocation = Duration::from_millis(300);
        let harness = Harness::start(settings);
        harness.register("s1", "ledger", "a", server.address);
        let (_, response) = harness.request("r0", "/safe/x", "").await;
        assert_eq!(
            response.expect("a response").status(),
            503,
            "no document yet"
        );
        harness.put_document(1, document());
        let (_, response) = harness.request("r1", "/safe/x", "").await;
        assert_eq!(response.expect("a response").status(), 200);
        sleep(Duration::from_millis(300)).await;
        let (_, response) = harness.request("r2", "/safe/x", "").await;
        let response = response.expect("a response");
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
        let mut readiness = TcpStream::connect(harness.ready).await.expect("connected");
        readiness
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .expect("request written");
        assert_eq!(
            common::read_message(&mut readiness)
                .await
                .expect("a response")
                .status(),
            503
        );
        assert_eq!(server.request_count(), 1);
    });
}

/// All gateways restart at the same moment, and callers whose responses broke off retry while the
/// first call to the store is in progress. They retry only once, so a rejection would lose their
/// requests.
#[test]
fn a_request_before_the_first_document_waits_for_it() {
    common::run(async {
        let server = healthy_server().await;
        let harness = Harness::start(common::settings());
        let mut early = harness.send("r0", "/safe/x", "deadline: 4000\r\n").await;
        sleep(Duration::from_millis(50)).await;
        harness.register("s1", "ledger", "a", server.address);
        harness.put_document(1, document());
        harness.gateway.end_initial_sync();
        let response = common::read_message(&mut early).await.expect("a response");
        assert_eq!((response.status(), server.request_count()), (200, 1));
    });
}

/// Hundreds of gateways start together, and the store needs seconds to send all pages to all of
/// them. Guards against requests that wait although the first pages contain what they need: streams
/// pause for longer than their callers accept.
#[test]
fn a_request_waits_only_for_what_it_needs() {
    common::run(async {
        let server = healthy_server().await;
        let harness = Harness::start(common::settings());
        let started = Instant::now();
        let mut early = harness.send("r0", "/safe/x", "deadline: 25000\r\n").await;
        sleep(Duration::from_millis(50)).await;
        harness.put_document(1, document());
        harness.gateway.advance_initial_sync();
        sleep(Duration::from_millis(50)).await;
        assert_eq!(server.request_count(), 0);
        harness.register("s1", "ledger", "a", server.address);
        harness.gateway.advance_initial_sync();
        let response = common::read_message(&mut early).await.expect("a response");
        assert_eq!((response.status(), server.request_count()), (200, 1));
        // Without that, the gateway waits a second.
        assert!(started.elapsed() < Duration::from_millis(900));
    });
}

/// The store is down while a gateway starts, and nothing can be served until it is back. Waiting
/// requests are rejected as soon as the first call has failed, and later ones immediately.
#[test]
fn requests_are_rejected_when_the_first_document_cannot_be_read() {
    common::run(async {
        let harness = Harness::start(common::settings());
        let started = Instant::now();
        let mut early = harness.send("r0", "/safe/x", "deadline: 25000\r\n").await;
        sleep(Duration::from_millis(50)).await;
        harness.gateway.end_initial_sync();
        let response = common::read_message(&mut early).await.expect("a response");
        let (_, late) = harness
            .request("r1", "/safe/x", "deadline: 25000\r\n")
            .await;
        for response in [response, late.expect("a response")] {
            assert_eq!(response.status(), 503);
            assert!(response.header("retry-after").is_some());
        }
        // The gateway waits a second at most.
        assert!(started.elapsed() < Duration::from_millis(900));
    });
}

/// The store accepts the first call and doesn't respond. The rejection must leave the caller most
/// of its time for a retry at another gateway.
#[test]
fn the_wait_for_the_first_document_uses_little_of_the_deadline() {
    common::run(async {
        let harness = Harness::start(common::settings());
        let started = Instant::now();
        let (_, response) = harness.request("r0", "/safe/x", "deadline: 800\r\n").await;
        assert_eq!(response.expect("a response").status(), 503);
        let waited = started.elapsed();
        assert!(waited >= Duration::from_millis(100) && waited < Duration::from_millis(400));
    });
}

/// A gateway stops while the load balancer still sends it connections. Every request that is short
/// enough gets a response with `Connection: close`, and none is lost.
#[test]
fn a_stopping_gateway_answers_short_requests() {
    common::run(async {
        let (harness, _server) = harness().await;
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        caller
            .write_all(format_request("r1", "/unsafe/x", "").as_bytes())
            .await
            .expect("request written");
        assert_eq!(
            common::read_message(&mut caller)
                .await
                .expect("a response")
                .header("connection"),
            None
        );
        harness.stop.cancel();
        sleep(Duration::from_millis(20)).await;
        caller
            .write_all(format_request("r2", "/unsafe/x", "").as_bytes())
            .await
            .expect("request written");
        let response = common::read_message(&mut caller).await.expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
        let (_, fresh) = harness.request("r3", "/unsafe/x", "").await;
        assert_eq!(fresh.expect("a response").status(), 200);
        let stopped = timeout(Duration::from_secs(5), harness.stopped.cancelled()).await;
        assert!(stopped.is_ok(), "stops after its connections");
    });
}
