//! Tests of the time that a request has: at its servers, and until its caller gets an answer.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    document,
    response,
    stream_head,
    write_events, //
};
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Deadline of the caller, in milliseconds.
const DEADLINE_MS: u64 = 5000;

/// Time for which a server has a request before it loses the answer.
const LOSS_TIME: Duration = Duration::from_millis(700);

/// Timeout of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after the timeout of the route within which the caller has a final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(250);

/// Starts a server that loses the answer to its first request after some time.
async fn forgetful_server(is_stream: bool) -> Backend {
    let first = Rc::new(Cell::new(true));
    Backend::start(move |message, connection| {
        let first = first.clone();
        async move {
            let id = message.header("id").unwrap_or_default();
            if first.replace(false) {
                sleep(LOSS_TIME).await;
                connection.reset();
                return false;
            }
            if is_stream {
                connection.write(&stream_head(id)).await;
                write_events(&connection, 1, 3, Duration::from_millis(5)).await;
            } else {
                connection.write(&response(id, 200, "fine")).await;
            }
            true
        }
    })
    .await
}

/// Guards against a repeat whose server works on after the caller has left, as it was handed the
/// caller's whole deadline once more.
#[rstest]
#[case::plain("/safe/x", "ledger", "")]
#[case::stream("/stream/x", "draft", "tokens: 10\r\n")]
fn a_repeat_is_handed_the_time_that_is_left(
    #[case] path: &'static str,
    #[case] service: &'static str,
    #[case] headers: &'static str,
) {
    common::run(async move {
        let server = forgetful_server(service == "draft").await;
        let mut document = document();
        for rule in &mut document.routes {
            // A later hedge than the loss.
            rule.pass.as_mut().expect("passed through").objective = Duration::from_secs(10);
        }
        let harness = Harness::with_document(document);
        harness.register("s1", service, "a", server.address);
        let headers = format!("deadline: {DEADLINE_MS}\r\n{headers}");
        let (_, response) = harness.request("r1", path, &headers).await;
        assert_eq!(response.expect("a response").status(), 200);
        let received = server.sends();
        let left = |index: usize| -> u64 {
            let deadline = received[index].header("deadline").expect("a deadline");
            deadline.parse().expect("a number")
        };
        let spent = LOSS_TIME.as_millis() as u64;
        assert!(left(0) <= DEADLINE_MS);
        assert!(
            left(1) <= DEADLINE_MS - spent,
            "{} of {DEADLINE_MS}",
            left(1)
        );
    });
}

/// Guards against a caller that waits beyond the timeout of its route for a silent server.
#[rstest]
#[case::repeatable("/safe/x", "ledger", "")]
#[case::once("/unsafe/x", "ledger", "")]
#[case::stream("/stream/x", "draft", "tokens: 10\r\n")]
fn a_final_answer_comes_at_the_timeout_of_the_route(
    #[case] path: &'static str,
    #[case] service: &'static str,
    #[case] headers: &'static str,
) {
    common::run(async move {
        let server = Backend::start(|_, _| std::future::pending::<bool>()).await;
        let mut document = document();
        for rule in &mut document.routes {
            rule.pass.as_mut().expect("passed through").timeout = Some(ROUTE_TIMEOUT);
        }
        let harness = Harness::with_document(document);
        harness.register("s1", service, "a", server.address);
        let began = Instant::now();
        let headers = format!("deadline: {DEADLINE_MS}\r\n{headers}");
        let request = harness.request("r1", path, &headers);
        let answered = timeout(ROUTE_TIMEOUT * 5, request).await;
        let (_, response) = answered.expect("an answer");
        let status = response.expect("a response").status();
        assert!(matches!(status, 502 | 504), "{status}");
        assert!(
            began.elapsed() <= ROUTE_TIMEOUT + ANSWER_SLACK,
            "{:?}",
            began.elapsed()
        );
    });
}

/// Guards against a request whose server answers before it has read the whole body: the answer is
/// lost, or the server gets bytes of another request where the rest of the body is due.
#[test]
fn a_server_that_answers_early_gets_the_rest_of_the_body() {
    const BODY_BYTES: usize = 512 * 1024;
    common::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let received = Rc::new(Cell::new(0));
        let count = received.clone();
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut bytes = vec![0; 256];
            let mut head = Vec::new();
            while !head.windows(4).any(|end| end == b"\r\n\r\n") {
                let length = stream.read(&mut bytes).await.expect("the head");
                head.extend_from_slice(&bytes[..length]);
            }
            let end = head.windows(4).position(|end| end == b"\r\n\r\n");
            let mut body = head.len() - end.expect("a head") - 4;
            let answer = response("r1", 200, "early");
            stream
                .write_all(answer.as_bytes())
                .await
                .expect("the answer is written");
            sleep(Duration::from_millis(100)).await;
            let mut bytes = vec![0; 64 * 1024];
            while body < BODY_BYTES {
                let length = stream.read(&mut bytes).await.expect("the rest of the body");
                assert!(length > 0 && bytes[..length].iter().all(|byte| *byte == b'x'));
                body += length;
            }
            count.set(body);
        });
        let harness = Harness::with_document(document());
        harness.register("s1", "ledger", "a", address);
        let headers = format!("content-length: {BODY_BYTES}\r\n");
        let mut caller = harness.send("r1", "/unsafe/x", &headers).await;
        let body = vec![b'x'; BODY_BYTES];
        caller.write_all(&body).await.expect("the body is written");
        let answer = common::read_message(&mut caller).await.expect("a response");
        assert_eq!(answer.text(), "early");
        common::until(|| received.get() == BODY_BYTES).await;
    });
}
