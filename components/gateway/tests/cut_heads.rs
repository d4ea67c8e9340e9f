//! Tests of servers that stop inside the head of a response, or inside its trailers, and close.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Connection,
    Harness,
    Message,
    document,
    event_chunk,
    read_message,
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
    net::{
        TcpListener,
        TcpStream, //
    },
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};

const FIRST_EVENTS: u64 = 3;
const LAST_EVENT: u64 = 6;

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Time within which a caller gets its answer.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Pause of an engine after which the gateway asks what it runs.
const PAUSE: Duration = Duration::from_millis(1500);

/// Interval of events in which a copy is made.
const COPY_INTERVAL: Duration = Duration::from_millis(250);

/// Longer than the sockets' buffers, so that a response can come before the whole of it is written.
const LONG_BODY_BYTES: usize = 900 * 1024;

/// Longer than a response that is read whole before the caller gets any of it.
const LONG_RESPONSE_BYTES: usize = 600 * 1024;

/// What a server reads of such a request before it responds.
const READ_BYTES: usize = 4 * 1024;

/// Where a server stops.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    StatusCode,
    StatusLine,
    HeaderName,
    HeaderValue,
    /// After the last line of the head.
    HeaderLine,
    /// Between the two characters of the empty line.
    EmptyLine,
    /// Before the empty line after the last chunk.
    LastChunk,
    TrailerName,
    TrailerLine,
}

impl Cut {
    /// Returns a response up to the cut. What a lenient parser would take for its head has a success,
    /// the id and the signature, and no length.
    fn text(self, id: &str, body: &str) -> String {
        let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\n");
        let length = body.len();
        let chunks = match body {
            "" => String::new(),
            _ => format!("{length:x}\r\n{body}\r\n"),
        };
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n");
        match self {
            Cut::StatusCode => "HTTP/1.1 200".to_string(),
            Cut::StatusLine => "HTTP/1.1 200 OK\r\n".to_string(),
            Cut::HeaderName => format!("{head}content-len"),
            Cut::HeaderValue => format!("{head}content-length: 1"),
            Cut::HeaderLine => head,
            Cut::EmptyLine => format!("{head}\r"),
            Cut::LastChunk => chunked,
            Cut::TrailerName => format!("{chunked}x-su"),
            Cut::TrailerLine => format!("{chunked}x-sum: 1\r\n"),
        }
    }
}

/// What comes before the cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Before {
    Nothing,
    /// A whole response on the same connection.
    Response,
    /// An interim response.
    Interim,
    /// The beginning of the request's body only.
    HalfTheBody,
}

impl Before {
    fn interim(self) -> &'static str {
        match self {
            Before::Interim => "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n",
            _ => "",
        }
    }
}

/// Handles a connection to a plain server. The first response to a request other than `/safe/first`
/// is cut, later ones are whole.
async fn serve(mut stream: TcpStream, is_first: Rc<Cell<bool>>, cut: Cut, before: Before) {
    if before == Before::HalfTheBody && is_first.replace(false) {
        let mut bytes = vec![0; READ_BYTES];
        stream.read_exact(&mut bytes).await.expect("a beginning");
        let text = cut.text("r1", "whole");
        stream.write_all(text.as_bytes()).await.expect("written");
        stream.shutdown().await.expect("closed");
        while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
        return;
    }
    while let Ok(message) = read_message(&mut stream).await {
        let id = message.header("id").unwrap_or_default();
        let warms = message.start_line.contains("/first");
        if warms || !is_first.replace(false) {
            let whole = response(id, 200, "whole");
            stream.write_all(whole.as_bytes()).await.expect("written");
            continue;
        }
        let text = format!("{}{}", before.interim(), cut.text(id, "whole"));
        stream.write_all(text.as_bytes()).await.expect("written");
        return;
    }
}

/// Starts two plain servers; the one that gets the first request cuts its response.
async fn plain_servers(harness: &Harness, cut: Cut, before: Before) {
    let is_first = Rc::new(Cell::new(true));
    for name in ["s1", "s2"] {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("bound");
        harness.register(name, "ledger", "a", address);
        let is_first = is_first.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(stream, is_first.clone(), cut, before));
            }
        });
    }
}

/// Guards against a response without its body that a caller takes for whole, as its server closed the
/// connection inside the head or the trailers.
#[rstest]
fn a_plain_response_that_is_cut_in_its_head_is_not_passed_on(
    #[values(
        Cut::StatusCode,
        Cut::StatusLine,
        Cut::HeaderName,
        Cut::HeaderValue,
        Cut::HeaderLine,
        Cut::EmptyLine,
        Cut::LastChunk,
        Cut::TrailerName,
        Cut::TrailerLine
    )]
    cut: Cut,
    #[values(
        Before::Nothing,
        Before::Response,
        Before::Interim,
        Before::HalfTheBody
    )]
    before: Before,
    #[values("safe", "unsafe")] route: &'static str,
) {
    common::run(async move {
        let harness = Harness::with_document(document());
        plain_servers(&harness, cut, before).await;
        if before == Before::Response {
            // Both servers have an idle connection afterwards.
            let first = || harness.request("r0", "/safe/first", "");
            let (one, other) = tokio::join!(first(), first());
            assert_eq!(one.1.expect("a response").status(), 200);
            assert_eq!(other.1.expect("a response").status(), 200);
        }
        let length = match before {
            Before::HalfTheBody => LONG_BODY_BYTES,
            _ => 0,
        };
        let headers = format!("content-length: {length}\r\n");
        let path = format!("/{route}/x");
        let mut caller = harness.send("r1", &path, &headers).await;
        let body = vec![b'x'; length];
        caller.write_all(&body).await.expect("the body is written");
        let answer = timeout(ANSWER_TIME, read_message(&mut caller)).await;
        let answer = answer.expect("in time").expect("a whole response");
        match route {
            "safe" => assert_eq!((answer.status(), answer.text().as_str()), (200, "whole")),
            _ => assert_eq!(answer.status(), 502, "{}", answer.text()),
        }
    });
}

/// Guards against the end of a long response that a caller takes for whole, as its server closed the
/// connection before the end of a chunk, or inside the trailers.
#[rstest]
fn a_long_response_that_is_cut_does_not_look_complete(
    #[values(Cut::LastChunk, Cut::TrailerName, Cut::TrailerLine)] cut: Cut,
    #[values(0, LONG_RESPONSE_BYTES / 2)] missing: usize,
    #[values("safe", "unsafe")] route: &'static str,
) {
    common::run(async move {
        let harness = Harness::with_document(document());
        let server = Backend::start(move |message, connection| async move {
            let id = message.header("id").unwrap_or_default();
            let text = cut.text(id, &"x".repeat(LONG_RESPONSE_BYTES));
            connection.write(&text[..text.len() - missing]).await;
            false
        })
        .await;
        harness.register("s1", "ledger", "a", server.address);
        let (_, answer) = harness.request("r1", &format!("/{route}/x"), "").await;
        assert!(answer.is_err(), "a whole response");
    });
}

/// Returns the chunks of the events before a loss or a pause.
fn first_events() -> String {
    (1..=FIRST_EVENTS).map(event_chunk).collect()
}

/// Which run of a stream is cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Run {
    First,
    /// The one that resumes the stream after a loss.
    Resumed,
}

/// Guards against a stream that ends as complete without its events, as an engine closed the
/// connection inside the head or the trailers.
#[rstest]
fn a_stream_that_is_cut_in_a_head_goes_on_elsewhere(
    #[values(
        Cut::StatusCode,
        Cut::StatusLine,
        Cut::HeaderName,
        Cut::HeaderValue,
        Cut::HeaderLine,
        Cut::EmptyLine,
        Cut::LastChunk,
        Cut::TrailerName,
        Cut::TrailerLine
    )]
    cut: Cut,
    #[values(Run::First, Run::Resumed)] cut_run: Run,
    #[values(Before::Nothing, Before::Response, Before::Interim)] before: Before,
) {
    common::run(async move {
        let harness = Harness::with_document(document());
        let runs = Rc::new(Cell::new(0));
        let cut_number = match cut_run {
            Run::First => 1,
            Run::Resumed => 2,
        };
        let mut engines = Vec::new();
        for name in ["e1", "e2", "e3"] {
            let runs = runs.clone();
            let engine = Backend::start(move |message, connection| {
                let runs = runs.clone();
                async move {
                    let id = message.header("id").unwrap_or_default();
                    if !message.start_line.contains("/stream/") {
                        connection.write(&response(id, 404, "")).await;
                        return true;
                    }
                    if message.start_line.contains("/first") {
                        connection.write(&stream_head(id)).await;
                        write_events(&connection, 1, LAST_EVENT, EVENT_INTERVAL).await;
                        return true;
                    }
                    runs.set(runs.get() + 1);
                    let after = message.header("after").and_then(|after| after.parse().ok());
                    let after: u64 = after.unwrap_or(0);
                    if runs.get() == cut_number {
                        let text = format!("{}{}", before.interim(), cut.text(id, ""));
                        connection.write(&text).await;
                        return false;
                    }
                    connection.write(&stream_head(id)).await;
                    if runs.get() < cut_number {
                        connection.write(&first_events()).await;
                        return false;
                    }
                    write_events(&connection, after + 1, LAST_EVENT, EVENT_INTERVAL).await;
                    true
                }
            })
            .await;
            harness.register(name, "draft", "a", engine.address);
            engines.push(engine);
        }
        if before == Before::Response {
            // All engines have an idle connection afterwards.
            let first = || harness.request("r0", "/stream/first", "tokens: 10\r\n");
            let warmed = tokio::join!(first(), first(), first(), first(), first(), first());
            assert_eq!(warmed.0.1.expect("a response").status(), 200);
        }
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        let answer = timeout(ANSWER_TIME, read_message(&mut caller)).await;
        let answer = answer.expect("in time").expect("a whole response");
        let events = (1..=LAST_EVENT).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
        assert_eq!(answer.text(), events.collect::<String>());
    });
}

/// A call of the gateway's own to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Query {
    /// For the runs of an engine that is silent.
    Runs,
    /// For a copy of a run's memory at another engine.
    Copy,
}

impl Query {
    fn start(self) -> &'static str {
        match self {
            Query::Runs => "GET /runs",
            Query::Copy => "POST /copy",
        }
    }
}

/// Guards against a call of the gateway's own that takes a cut response for a whole one: a run that
/// isn't in a cut list would count as lost, and a stream would be resumed from a copy that wasn't
/// made.
#[rstest]
fn a_call_whose_response_is_cut_in_its_head_tells_nothing(
    #[values(
        Cut::StatusCode,
        Cut::StatusLine,
        Cut::HeaderName,
        Cut::HeaderValue,
        Cut::HeaderLine,
        Cut::EmptyLine,
        Cut::LastChunk,
        Cut::TrailerName,
        Cut::TrailerLine
    )]
    cut: Cut,
    #[values(Query::Runs, Query::Copy)] query: Query,
) {
    common::run(async move {
        let harness = Harness::with_document(document());
        let engine = move |message: Message, connection: Connection| async move {
            let id = message.header("id").unwrap_or_default();
            if !message.start_line.contains("/stream/") {
                connection.write(&cut.text(id, "name")).await;
                return false;
            }
            let after = message.header("after").and_then(|after| after.parse().ok());
            let after: u64 = after.unwrap_or(0);
            let is_first = after == 0 && message.header("server") == Some("e1");
            if is_first && query == Query::Runs {
                sleep(PAUSE).await;
            }
            connection.write(&stream_head(id)).await;
            if is_first && query == Query::Copy {
                for event in 1..=FIRST_EVENTS {
                    connection.write(&event_chunk(event)).await;
                    sleep(COPY_INTERVAL).await;
                }
                return false;
            }
            write_events(&connection, after + 1, LAST_EVENT, EVENT_INTERVAL).await;
            true
        };
        let first = Backend::start(engine).await;
        harness.register("e1", "draft", "a", first.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until(|| first.request_count() > 0).await;
        let second = Backend::start(engine).await;
        harness.register("e2", "draft", "b", second.address);
        let answer = timeout(ANSWER_TIME, read_message(&mut caller)).await;
        let answer = answer.expect("in time").expect("a whole response");
        let events = (1..=LAST_EVENT).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
        assert_eq!(answer.text(), events.collect::<String>());
        let calls = first.requests.borrow();
        let mut calls = calls.iter().map(|request| request.start_line.as_str());
        assert!(calls.any(|line| line.starts_with(query.start())), "no call");
        for engine in [&first, &second] {
            for request in engine.requests.borrow().iter() {
                let copy = request.header("copy").unwrap_or_default();
                assert!(!copy.ends_with("/name"), "resumed from {copy}");
            }
        }
    });
}
