//! Tests of engines that read long requests slowly.

mod common;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use common::{
    HOST,
    Harness,
    Kind,
    document,
    event_chunk,
    read_message,
    stream_head, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::spawn_local,
    time::sleep, //
};

/// Size of the body, and the pace at which the engine reads it: 600 kB a second.
const BODY_BYTES: usize = 1 << 20;
const CHUNK_BYTES: usize = 30_000;
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which the first event is due.
const OBJECTIVE: Duration = Duration::from_secs(1);

/// Starts an engine that reads slowly, and knows no run whose request it hasn't read.
async fn start_engine(runs: Rc<Cell<u32>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, runs.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, runs: Rc<Cell<u32>>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else {
            return;
        };
        head.push(byte);
    }
    if head.starts_with(b"GET ") {
        let report = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        let _ = stream.write_all(report).await;
        return;
    }
    let mut left = BODY_BYTES;
    while left > 0 {
        let mut chunk = vec![0; CHUNK_BYTES.min(left)];
        if stream.read_exact(&mut chunk).await.is_err() {
            return;
        }
        left -= chunk.len();
        sleep(CHUNK_INTERVAL).await;
    }
    runs.set(runs.get() + 1);
    let answer = format!("{}{}0\r\n\r\n", stream_head("r1"), event_chunk(1));
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// Guards against a run that is given up as lost while its engine still reads the request: it would
/// never be served, as each engine reads as slowly.
#[test]
fn a_request_that_is_read_slowly_is_sent_once() {
    common::run(async {
        let mut document = document();
        for rule in &mut document.routes {
            if let Some(pass) = &mut rule.pass {
                pass.objective = OBJECTIVE;
            }
        }
        let harness = Harness::with_document(document);
        let runs: Rc<Cell<u32>> = Rc::default();
        for name in ["s1", "s2"] {
            let address = start_engine(runs.clone()).await;
            harness.register(name, "draft", "a", address);
        }
        let (path, headers) = (Kind::Stream.path("r1"), Kind::Stream.headers());
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: r1\r\nkey: k\r\n{headers}\
             content-length: {BODY_BYTES}\r\n\r\n"
        );
        let stream = TcpStream::connect(harness.callers).await;
        let mut stream = stream.expect("connected");
        let request = head + &"x".repeat(BODY_BYTES);
        stream.write_all(request.as_bytes()).await.expect("written");
        let response = read_message(&mut stream).await.expect("a response");
        assert_eq!(response.status(), 200, "{}", response.text());
        sleep(OBJECTIVE).await;
        assert_eq!(runs.get(), 1);
    });
}
