//! Tests of servers that answer as if a request were meant for another one.

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
use tokio::time::{
    Instant,
    sleep, //
};

/// Time within which a living server is used again after its last wrong answer.
const RETURN_TIME: Duration = Duration::from_secs(3);

const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Number and interval of the events of a long stream.
const EVENT_COUNT: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Starts a server that answers as another one while `wrong` is above 0, and counts its runs.
async fn start_server(kind: Kind, wrong: Rc<Cell<u32>>, runs: Rc<Cell<u32>>) -> Backend {
    let handler = move |message: Message, connection: common::Connection| {
        let (wrong, runs) = (wrong.clone(), runs.clone());
        async move {
            let id = message.header("id").unwrap_or_default();
            if wrong.get() > 0 {
                wrong.set(wrong.get() - 1);
                let head = format!("HTTP/1.1 421 x\r\nid: {id}\r\nnot-run: 1\r\nother: 1\r\n");
                let answer = format!("{head}content-length: 0\r\n\r\n");
                connection.write(&answer).await;
                return true;
            }
            runs.set(runs.get() + 1);
            match kind {
                Kind::Stream => {
                    connection.write(&stream_head(id)).await;
                    write_events(&connection, 1, EVENT_COUNT, EVENT_INTERVAL).await;
                }
                Kind::Safe | Kind::Unsafe => connection.write(&response(id, 200, "fine")).await,
            }
            true
        }
    };
    Backend::start(handler).await
}

/// Returns the status of the answer to a request.
async fn status(harness: &Harness, id: &str, kind: Kind) -> u16 {
    let (_, response) = harness.request(id, &kind.path(id), kind.headers()).await;
    response.expect("a response").status()
}

/// Guards against a living service that is lost as each of its servers answered a few requests as if
/// it were another one.
#[rstest]
fn servers_that_deny_their_identity_once_are_used_again(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(1, 2)] server_count: usize,
    #[values(1, 3)] wrong_answers: u32,
) {
    common::run(async move {
        let harness = Harness::with_document(document());
        let wrong: Vec<Rc<Cell<u32>>> = (0..server_count).map(|_| Rc::default()).collect();
        let mut servers = Vec::new();
        for (index, wrong) in wrong.iter().enumerate() {
            let server = start_server(kind, wrong.clone(), Rc::default()).await;
            let name = format!("s{index}");
            harness.register_started(&name, kind.service(), "a", server.address, 8, Some(1000));
            servers.push(server);
        }
        assert_eq!(status(&harness, "before", kind).await, 200);
        for wrong in &wrong {
            wrong.set(wrong_answers);
        }
        let began = Instant::now();
        let mut number = 0;
        while wrong.iter().any(|wrong| wrong.get() > 0) {
            assert!(began.elapsed() < RETURN_TIME, "asked no more: {wrong:?}");
            status(&harness, &format!("wrong{number}"), kind).await;
            number += 1;
            sleep(REQUEST_INTERVAL).await;
        }
        let began = Instant::now();
        while status(&harness, &format!("after{number}"), kind).await != 200 {
            assert!(began.elapsed() < RETURN_TIME);
            number += 1;
            sleep(REQUEST_INTERVAL).await;
        }
    });
}

/// Guards against a stream that is given up at a living server as another request got such an answer
/// there.
#[test]
fn a_stream_outlives_a_wrong_answer_to_another_request() {
    common::run(async {
        let harness = Harness::with_document(document());
        let (wrong, runs): (Rc<Cell<u32>>, Rc<Cell<u32>>) = Default::default();
        let kind = Kind::Stream;
        let server = start_server(kind, wrong.clone(), runs.clone()).await;
        harness.register_started("s1", kind.service(), "a", server.address, 8, Some(1000));
        let mut stream = harness
            .send("long", &kind.path("long"), kind.headers())
            .await;
        common::until(|| runs.get() == 1).await;
        sleep(EVENT_INTERVAL * 2).await;
        wrong.set(1);
        status(&harness, "other", kind).await;
        let response = common::read_message(&mut stream).await;
        let response = response.expect("a response");
        assert_eq!(response.status(), 200);
        let last = format!("piece {EVENT_COUNT}\n\n");
        assert!(response.text().ends_with(&last), "{}", response.text());
        assert_eq!(runs.get(), 1, "the stream ran once");
    });
}

/// Guards against servers that are asked again and again although another one has their address.
#[test]
fn a_server_that_is_gone_is_asked_ever_more_rarely() {
    const TIME: Duration = Duration::from_secs(4);
    common::run(async {
        let harness = Harness::with_document(document());
        let kind = Kind::Safe;
        let wrong = Rc::new(Cell::new(u32::MAX));
        let server = start_server(kind, wrong, Rc::default()).await;
        harness.register_started("s1", kind.service(), "a", server.address, 8, Some(1000));
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < TIME {
            assert_eq!(status(&harness, &format!("r{number}"), kind).await, 503);
            number += 1;
            sleep(REQUEST_INTERVAL).await;
        }
        let asked = server.request_count();
        assert!((3..=6).contains(&asked), "{asked}");
    });
}
