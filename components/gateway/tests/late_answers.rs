//! Tests of second answers to one request that arrive late.

mod common;

use std::{
    cell::Cell,
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
    stream_head,
    write_events, //
};
use rstest::rstest;
use tokio::time::sleep;

/// Time after which the copy of an answer arrives, and that of a run.
const COPY_DELAY: Duration = Duration::from_millis(6);
const RUN_TIME: Duration = Duration::from_millis(40);

/// Starts a server that declines the first request, and answers it a second time a little later.
async fn start_server(kind: Kind, runs: Rc<Cell<u32>>) -> Backend {
    let declined = Rc::new(Cell::new(false));
    let handler = move |message: Message, connection: common::Connection| {
        let (declined, runs) = (declined.clone(), runs.clone());
        async move {
            let id = message.header("id").unwrap_or_default().to_string();
            if !declined.replace(true) {
                let head = format!("HTTP/1.1 503 x\r\nid: {id}\r\nsigned: 1\r\nnot-run: 1\r\n");
                let answer = format!("{head}content-length: 0\r\n\r\n");
                connection.write(&answer).await;
                sleep(COPY_DELAY).await;
                connection.write(&answer).await;
                return true;
            }
            runs.set(runs.get() + 1);
            sleep(RUN_TIME).await;
            match kind {
                Kind::Stream => {
                    connection.write(&stream_head(&id)).await;
                    write_events(&connection, 1, 3, Duration::from_millis(5)).await;
                }
                Kind::Safe | Kind::Unsafe => connection.write(&response(&id, 200, "fine")).await,
            }
            true
        }
    };
    Backend::start(handler).await
}

/// Guards against a late copy of a refusal that answers the next send of the same request: its caller
/// would be told that it hasn't run.
#[rstest]
fn a_late_copy_of_a_refusal_answers_no_later_send(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let runs: Rc<Cell<u32>> = Rc::default();
        let server = start_server(kind, runs.clone()).await;
        let harness = Harness::with_document(document());
        harness.register("only", kind.service(), "a", server.address);
        let (_, response) = harness
            .request("r1", &kind.path("r1"), kind.headers())
            .await;
        let status = response.expect("a response").status();
        assert_eq!((status, runs.get()), (200, 1));
    });
}

/// Starts an engine that refuses calls of the gateway's own, and answers each a second time later.
async fn start_engine(runs: Rc<Cell<u32>>, calls: Rc<Cell<u32>>) -> Backend {
    let handler = move |message: Message, connection: common::Connection| {
        let (runs, calls) = (runs.clone(), calls.clone());
        async move {
            if message.start_line.starts_with("GET ") {
                let answer = "HTTP/1.1 503 x\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
                connection.write(answer).await;
                calls.set(calls.get() + 1);
                sleep(COPY_DELAY * 5).await;
                connection.write(answer).await;
                return true;
            }
            let id = message.header("id").unwrap_or_default();
            runs.set(runs.get() + 1);
            sleep(RUN_TIME).await;
            connection.write(&stream_head(id)).await;
            write_events(&connection, 5, 8, Duration::from_millis(5)).await;
            true
        }
    };
    Backend::start(handler).await
}

/// Guards against a late copy of the answer to a call of the gateway's own, which has no id, that
/// answers the next request on the connection: it would be sent a second time while it runs.
#[test]
fn a_late_copy_of_the_answer_to_a_call_answers_no_request() {
    common::run(async move {
        let (runs, calls): (Rc<Cell<u32>>, Rc<Cell<u32>>) = Default::default();
        let engine = start_engine(runs.clone(), calls.clone()).await;
        let harness = Harness::with_document(document());
        harness.register("only", "draft", "a", engine.address);
        // The engine's cache is listed before the request is sent.
        let headers = "tokens: 5020\r\nafter: 4\r\nparts: 1:20,77:5000\r\n";
        let (_, response) = harness.request("r1", "/stream/r1", headers).await;
        let status = response.expect("a response").status();
        assert_eq!((status, calls.get(), runs.get()), (200, 1, 1));
    });
}

/// Starts a server that answers the first request a second time later, and counts the runs of others.
async fn start_repeating_server(kind: Kind, runs: Rc<Cell<u32>>) -> Backend {
    let handler = move |message: Message, connection: common::Connection| {
        let runs = runs.clone();
        async move {
            let id = message.header("id").unwrap_or_default();
            if id != "r1" {
                runs.set(runs.get() + 1);
                sleep(RUN_TIME).await;
            }
            for _ in 0..=u32::from(id == "r1") {
                match kind {
                    Kind::Stream => {
                        connection.write(&stream_head(id)).await;
                        write_events(&connection, 1, 3, Duration::ZERO).await;
                    }
                    Kind::Safe | Kind::Unsafe => connection.write(&response(id, 200, id)).await,
                }
                sleep(COPY_DELAY * 3).await;
            }
            true
        }
    };
    Backend::start(handler).await
}

/// Guards against a request that is given up as a late copy of an earlier answer comes first on its
/// connection.
#[rstest]
fn a_late_copy_of_an_earlier_answer_ends_no_request(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let runs: Rc<Cell<u32>> = Rc::default();
        let server = start_repeating_server(kind, runs.clone()).await;
        let harness = Harness::with_document(document());
        harness.register("only", kind.service(), "a", server.address);
        for id in ["r1", "r2"] {
            let path = kind.path(id);
            let (_, response) = harness.request(id, &path, kind.headers()).await;
            assert_eq!(response.expect("a response").status(), 200, "{id}");
        }
        assert_eq!(runs.get(), 1);
    });
}
