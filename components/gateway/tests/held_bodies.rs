//! Tests of the bound on the bodies that a process holds.

mod common;

use std::{
    future::pending,
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
use gateway::settings::Limits;
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

/// Memory of the process, of which bodies may take a half.
const MEMORY_BYTES: u64 = 48_000_000;

/// Size of a long body.
const LONG_BYTES: usize = 6_000_000;

/// Requests with long bodies that are in progress: more than fit.
const LONG_COUNT: usize = 8;

/// Time within which a request is refused that has no room.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Time in which a server is found silent, and a process that its callers left.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// Starts a server that answers nothing until it is told to.
async fn start_server(kind: Kind, go_on: CancellationToken) -> Backend {
    Backend::start(move |message: Message, connection: common::Connection| {
        let go_on = go_on.clone();
        async move {
            let id = message.header("id").unwrap_or_default();
            if message.body.len() >= LONG_BYTES {
                go_on.cancelled().await;
            }
            match kind {
                Kind::Stream => {
                    connection.write(&stream_head(id)).await;
                    write_events(&connection, 1, 3, Duration::from_millis(5)).await;
                }
                Kind::Safe | Kind::Unsafe => connection.write(&response(id, 200, "fine")).await,
            }
            true
        }
    })
    .await
}

/// Sends a request with a body, in one chunk or with its length.
async fn send(harness: &Harness, id: &str, kind: Kind, length: usize, chunked: bool) -> TcpStream {
    let stream = TcpStream::connect(harness.callers).await;
    let mut stream = stream.expect("connected");
    let (path, headers) = (kind.path(id), kind.headers());
    let framing = match chunked {
        true => "transfer-encoding: chunked".to_string(),
        false => format!("content-length: {length}"),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: {id}\r\nkey: k\r\n{headers}{framing}\r\n\r\n"
    );
    let body = "x".repeat(length);
    let body = match chunked {
        true => format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
        false => body,
    };
    let request = head + &body;
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the body is read to its end");
    stream
}

/// Guards against a process that is killed for its memory, as servers that read slowly keep the bodies
/// of many requests.
#[rstest]
fn requests_without_room_for_their_bodies_are_refused_at_once(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(false, true)] chunked: bool,
) {
    common::run(async move {
        let mut settings = settings();
        settings.limits = Limits::of(MEMORY_BYTES, 1024);
        let harness = Harness::start(settings);
        let mut document = document();
        if let Some(limits) = &mut document.callers {
            limits.body_bytes = LONG_BYTES;
        }
        harness.put_document(1, document);
        let go_on = CancellationToken::new();
        let server = start_server(kind, go_on.clone()).await;
        harness.register_slots("s1", kind.service(), "a", server.address, 64);
        let mut held = Vec::new();
        let mut refused = 0;
        for number in 0..LONG_COUNT {
            let id = format!("long{number}");
            let began = Instant::now();
            let mut stream = send(&harness, &id, kind, LONG_BYTES, chunked).await;
            let read = timeout(REFUSAL_TIME, read_message(&mut stream)).await;
            let Ok(response) = read else {
                held.push(stream);
                continue;
            };
            let response = response.expect("a response");
            assert_eq!(response.status(), 503);
            assert!(response.header("retry-after").is_some());
            assert!(response.text().contains("too_many_bytes"));
            assert!(began.elapsed() < REFUSAL_TIME);
            refused += 1;
        }
        assert_eq!((held.len(), refused), (3, LONG_COUNT - 3));
        // A short one has room.
        let mut stream = send(&harness, "short", kind, 1000, chunked).await;
        let response = read_message(&mut stream).await.expect("a response");
        assert_eq!(response.status(), 200);
        // None that began is cut, and there is room again after them.
        go_on.cancel();
        for mut stream in held {
            let response = read_message(&mut stream).await.expect("a response");
            assert_eq!(response.status(), 200);
        }
        let mut stream = send(&harness, "again", kind, LONG_BYTES, chunked).await;
        let response = read_message(&mut stream).await.expect("a response");
        assert_eq!(response.status(), 200);
    });
}

/// Guards against bodies that are kept for the watch of a silent server, once their callers left.
#[rstest]
fn bodies_whose_callers_left_are_released(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let mut settings = settings();
        settings.limits = Limits::of(MEMORY_BYTES, 1024);
        let harness = Harness::start(settings);
        let mut document = document();
        if let Some(limits) = &mut document.callers {
            limits.body_bytes = LONG_BYTES;
        }
        harness.put_document(1, document);
        let server = Backend::start(|_: Message, _: common::Connection| pending()).await;
        harness.register_slots("s1", kind.service(), "a", server.address, 64);
        let mut sent = Vec::new();
        for number in 0..3 {
            sent.push(send(&harness, &format!("left{number}"), kind, LONG_BYTES, false).await);
        }
        // The server is found silent first.
        sleep(SILENCE_TIME).await;
        drop(sent);
        sleep(SILENCE_TIME).await;
        let mut stream = send(&harness, "next", kind, LONG_BYTES, false).await;
        let read = timeout(REFUSAL_TIME, read_message(&mut stream)).await;
        // It may be refused for another reason, as the server is silent.
        let text = read.map(|response| response.expect("a response").text());
        assert!(!text.is_ok_and(|text| text.contains("too_many_bytes")));
    });
}
