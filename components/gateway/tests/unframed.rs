//! Tests of servers that send bytes that are no answer, without end.

mod common;
#[path = "../../upstream/tests/common/flood.rs"]
mod flood;

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    Kind,
    document,
    response,
    stream_head,
    write_events, //
};
use flood::{
    Flood,
    Pace,
    Script, //
};
use rstest::rstest;
use tokio::{
    io::AsyncReadExt,
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Time within which a server that sends fast is given up.
const FAST_LIMIT: Duration = Duration::from_secs(2);

/// Time from the start of a stream until two queries of its server are over, with an objective of 8 s.
const TWO_QUERIES_TIME: Duration = Duration::from_millis(4500);

/// Objective and longest gap of the streams.
const OBJECTIVE: Duration = Duration::from_millis(600);
const MAX_GAP: Duration = Duration::from_millis(400);

/// Timeout of plain requests.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(800);

const SIGNED_HEAD: &str = "HTTP/1.1 200 OK\r\nsigned: 1\r\n";

/// Where a server sends without end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Part {
    Head,
    Interim,
    ChunkSize,
    Trailers,
    EarlierResponses,
    /// An event in a body without a length.
    Event,
    Comments,
    EmptyData,
    /// Events without an id.
    Anonymous,
    /// The first two events again and again.
    Repeated,
}

impl Part {
    /// Returns what a server sends first, after `events` in a stream, and what it repeats.
    fn texts(self, events: &str) -> (String, &'static str) {
        let body = format!("{SIGNED_HEAD}\r\n{events}");
        let chunk = |text: &str| match text.len() {
            0 => String::new(),
            length => format!("{length:x}\r\n{text}\r\n"),
        };
        let chunked = format!(
            "{SIGNED_HEAD}transfer-encoding: chunked\r\n\r\n{}",
            chunk(events)
        );
        match self {
            Part::Head => (
                SIGNED_HEAD.to_string(),
                "x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy",
            ),
            Part::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Part::ChunkSize => (chunked, " "),
            Part::Trailers => (format!("{chunked}0\r\n"), "x: y\r\n"),
            Part::EarlierResponses => (
                String::new(),
                "HTTP/1.1 200 OK\r\nid: other\r\nsigned: 1\r\ncontent-length: 1\r\n\r\nx",
            ),
            Part::Event => (body, "data: without a line end"),
            Part::Comments => (body, ": alive\n\n"),
            Part::EmptyData => (body, "data:\n\n"),
            Part::Anonymous => (body, "data: x\n\n"),
            Part::Repeated => (body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"),
        }
    }
}

/// Returns a server that answers the gateway's calls and requests with `fine` in their path, and
/// otherwise sends a part without end once it is released.
fn flood(part: Part, pace: Pace, events: &str) -> Flood {
    let (start, repeat) = part.texts(events);
    let start = Arc::<str>::from(start);
    Flood::start_held(move |head| {
        if head.contains("fine") {
            return Script::Whole(response(header(head, "id"), 200, "fine"));
        }
        if head.starts_with("GET /runs") {
            return Script::Whole(response("", 200, "r1 1\n"));
        }
        if head.contains(" /copy") {
            return Script::Whole(response("", 404, ""));
        }
        Script::Endless {
            start: start.clone(),
            repeat: repeat.to_string(),
            pace,
        }
    })
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let prefix = format!("{name}: ");
    let line = head.lines().find_map(|line| line.strip_prefix(&prefix));
    line.unwrap_or_default()
}

fn events_text(first: u64, last: u64) -> String {
    (first..=last)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

fn harness() -> Harness {
    let mut document = document();
    for rule in &mut document.routes {
        let pass = rule.pass.as_mut().expect("passed through");
        if pass.stream {
            pass.objective = OBJECTIVE;
            pass.gap = Some(MAX_GAP);
        } else {
            pass.objective = OBJECTIVE;
            pass.timeout = Some(PLAIN_TIMEOUT);
        }
    }
    Harness::with_document(document)
}

async fn good_engine() -> Backend {
    Backend::start(|message, connection| async move {
        let id = message.header("id").unwrap_or_default();
        connection.write(&stream_head(id)).await;
        let after = message.header("after").unwrap_or("0").parse().unwrap_or(0);
        write_events(&connection, after + 1, 6, Duration::from_millis(5)).await;
        true
    })
    .await
}

/// Guards against a plain call that waits on a server that sends without end, that is repeated
/// although it may have run, or that takes other calls to the same server with it.
#[rstest]
fn a_plain_call_ends_although_its_server_does_not(
    #[values(
        Part::Head,
        Part::Interim,
        Part::ChunkSize,
        Part::Trailers,
        Part::EarlierResponses
    )]
    part: Part,
    #[values(Pace::Fast, Pace::Slow)] pace: Pace,
    #[values("safe", "unsafe")] route: &'static str,
) {
    common::run(async move {
        let endless = flood(part, pace, "x");
        let harness = harness();
        harness.register("s1", "ledger", "a", endless.address);
        let mut caller = harness.send("r1", &format!("/{route}/x"), "").await;
        timeout(FAST_LIMIT, endless.wait_started(1))
            .await
            .expect("sent");
        let (_, fine) = harness.request("r2", "/unsafe/fine", "").await;
        assert_eq!(fine.expect("a response").status(), 200);
        endless.release();
        let good = Backend::start(|message, connection| async move {
            let id = message.header("id").unwrap_or_default();
            connection.write(&response(id, 200, "good")).await;
            true
        })
        .await;
        harness.register("s2", "ledger", "a", good.address);
        let answer = timeout(FAST_LIMIT, common::read_message(&mut caller)).await;
        let status = answer.expect("in time").expect("a response").status();
        match (route, pace) {
            ("safe", _) => assert_eq!(status, 200),
            (_, Pace::Fast) => assert_eq!(status, 502),
            // A slow head can't be told from one that is about to end.
            (_, Pace::Slow) => assert!([502, 504].contains(&status), "{status}"),
        }
        if route == "unsafe" {
            assert_eq!(good.request_count(), 0);
        }
        endless.wait_closed(1, FAST_LIMIT).await;
        let (_, fine) = harness.request("r3", "/unsafe/fine", "").await;
        assert_eq!(fine.expect("a response").status(), 200);
    });
}

/// Guards against the body of a declined call that holds up its next attempt.
#[test]
fn a_declined_call_does_not_wait_for_its_body() {
    common::run(async {
        let endless = Flood::start(|_| Script::Endless {
            start: "HTTP/1.1 503 x\r\nnot-run: 1\r\n\r\n".into(),
            repeat: "x".into(),
            pace: Pace::Slow,
        });
        let harness = harness();
        harness.register("s1", "ledger", "a", endless.address);
        let began = Instant::now();
        let (_, answer) = harness.request("r1", "/unsafe/x", "").await;
        let answer = answer.expect("a response");
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
        assert!(began.elapsed() < PLAIN_TIMEOUT / 2, "{:?}", began.elapsed());
        endless.wait_closed(1, FAST_LIMIT).await;
    });
}

/// Guards against a body without end that is passed on for ever, and against a long answer of a
/// stated length that is cut off.
#[rstest]
#[case::stated("content-length: 68157440\r\n", true)]
#[case::unstated("", false)]
fn only_a_body_of_unstated_length_is_bounded(#[case] length: &'static str, #[case] whole: bool) {
    const LENGTH: usize = 65 << 20;
    common::run(async move {
        let endless = Flood::start(move |_| Script::Endless {
            start: format!("{SIGNED_HEAD}{length}\r\n").into(),
            repeat: "x".to_string(),
            pace: Pace::Fast,
        });
        let harness = Harness::with_document(document());
        harness.register("s1", "ledger", "a", endless.address);
        let mut caller = harness
            .send("r1", "/unsafe/x", "connection: close\r\n")
            .await;
        let (mut received, mut end) = (0, Vec::new());
        let mut buffer = vec![0; 1 << 20];
        while let Ok(count @ 1..) = caller.read(&mut buffer).await {
            received += count;
            end.extend_from_slice(&buffer[count.saturating_sub(8)..count]);
            end.drain(..end.len().saturating_sub(8));
        }
        assert_eq!(end.ends_with(b"\r\n0\r\n\r\n"), whole, "{received}");
        assert!(received > LENGTH - (2 << 20), "{received}");
        assert!(whole || received < LENGTH, "{received}");
        endless.wait_closed(1, FAST_LIMIT).await;
    });
}

/// Guards against a server that is used like one that serves although its bodies have no end.
#[rstest]
fn a_server_whose_bodies_have_no_end_is_left(
    #[values("", "transfer-encoding: chunked\r\n")] framing: &'static str,
    #[values(Kind::Safe, Kind::Unsafe)] kind: Kind,
) {
    const REQUESTS: usize = 90;
    // A third of the requests go to each server while all are sound.
    const MAX_SENT: usize = REQUESTS / 10;
    common::run(async move {
        let chunk = match framing {
            "" => "x".repeat(4096),
            _ => format!("1000\r\n{}\r\n", "x".repeat(4096)),
        };
        let endless = Flood::start(move |_| Script::Endless {
            start: format!("{SIGNED_HEAD}{framing}\r\n").into(),
            repeat: chunk.clone(),
            pace: Pace::Fast,
        });
        let harness = Rc::new(harness());
        harness.register("s1", "ledger", "a", endless.address);
        let mut good = Vec::new();
        for name in ["s2", "s3"] {
            let server = Backend::start(|message, connection| async move {
                sleep(Duration::from_millis(20)).await;
                let id = message.header("id").unwrap_or_default();
                connection.write(&response(id, 200, "fine")).await;
                true
            });
            good.push(server.await);
            harness.register(name, "ledger", "a", good[good.len() - 1].address);
        }
        for number in 0..REQUESTS {
            let harness = harness.clone();
            spawn_local(async move {
                let (id, path) = (format!("r{number}"), kind.path(&format!("x{number}")));
                let request = harness.request(&id, &path, "connection: close\r\n");
                let _ = timeout(FAST_LIMIT, request).await;
            });
            sleep(Duration::from_millis(50)).await;
        }
        assert!(endless.started() <= MAX_SENT, "{}", endless.started());
    });
}

/// Guards against a stream that stays with a server that sends no events but other bytes, which
/// must not count as signs of life.
#[rstest]
fn a_stream_leaves_a_server_that_sends_no_events(
    #[values(
        Part::Head,
        Part::Interim,
        Part::ChunkSize,
        Part::Event,
        Part::Comments,
        Part::EmptyData,
        Part::Anonymous,
        Part::Repeated
    )]
    part: Part,
    #[values(Pace::Fast, Pace::Slow)] pace: Pace,
    #[values(0, 3)] sent: u64,
) {
    let is_head = matches!(part, Part::Head | Part::Interim);
    if (is_head && sent > 0) || (part == Part::Repeated && sent == 0) {
        return;
    }
    common::run(async move {
        let endless = flood(part, pace, &events_text(1, sent));
        let harness = harness();
        harness.register("s1", "draft", "a", endless.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        timeout(FAST_LIMIT, endless.wait_started(1))
            .await
            .expect("sent");
        if sent > 0 {
            common::until_received(&caller, &format!("piece {sent}")).await;
        }
        let good = good_engine().await;
        harness.register("s2", "draft", "b", good.address);
        endless.release();
        // Either bound, and the time to resume.
        let limit = OBJECTIVE.mul_f64(1.2) + FAST_LIMIT / 2;
        endless.wait_closed(1, limit).await;
        let answer = timeout(FAST_LIMIT, common::read_message(&mut caller)).await;
        let answer = answer.expect("in time").expect("a complete response");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.text(), events_text(1, 6));
        assert_eq!(endless.started(), 1);
    });
}

/// Guards against comments that are lost, or that end a stream although its events arrive.
#[test]
fn comments_between_events_are_passed_on() {
    common::run(async {
        let body = format!(
            ": a\n\n{}: b\n\n{}: c\n\n",
            events_text(1, 1),
            events_text(2, 2)
        );
        let text = format!("{SIGNED_HEAD}content-length: {}\r\n\r\n{body}", body.len());
        let engine = Flood::start(move |_| Script::Whole(text.clone()));
        let harness = harness();
        harness.register("s1", "draft", "a", engine.address);
        let (_, answer) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(answer.expect("a complete response").text(), body);
    });
}

/// Guards against a query of a server's runs that never ends, against a server that is given up as
/// unreachable although it answers, and against a query for each byte of a silent run.
#[rstest]
fn a_call_of_the_gateway_ends(
    #[values(Part::Head, Part::Interim, Part::ChunkSize, Part::Event)] part: Part,
    #[values(Pace::Fast, Pace::Slow)] pace: Pace,
) {
    common::run(async move {
        let (start, repeat) = part.texts("x");
        let start = Arc::<str>::from(start);
        let runs = Arc::<AtomicUsize>::default();
        let counted = runs.clone();
        let endless = Flood::start(move |head| {
            let is_query = !head.contains(" /stream/");
            counted.fetch_add(usize::from(!is_query), Ordering::SeqCst);
            Script::Endless {
                start: if is_query { start.clone() } else { "".into() },
                repeat: if is_query { repeat } else { "\r\n" }.to_string(),
                pace: if is_query { pace } else { Pace::Slow },
            }
        });
        let mut document = document();
        let pass = document.routes[2].pass.as_mut().expect("passed");
        pass.objective = Duration::from_secs(8);
        let harness = Harness::with_document(document);
        harness.register("s1", "draft", "a", endless.address);
        let began = Instant::now();
        let _caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        timeout(FAST_LIMIT * 3, endless.wait_started(3))
            .await
            .expect("two status checks");
        // The first query comes after a quarter of the objective, the next one a second later.
        sleep(TWO_QUERIES_TIME.saturating_sub(began.elapsed())).await;
        endless.wait_closed(endless.started() - 1, FAST_LIMIT).await;
        // The run itself is still waited for, beside one call at most.
        assert_eq!(runs.load(Ordering::SeqCst), 1);
        assert!(endless.started() - endless.closed() <= 2);
    });
}

/// Guards against bytes after a complete answer that are taken for the next one, or keep an idle
/// connection open.
#[rstest]
fn bytes_after_an_answer_belong_to_none(#[values(Pace::Fast, Pace::Slow)] pace: Pace) {
    common::run(async move {
        let endless = Flood::start(move |head| Script::Endless {
            start: response(header(head, "id"), 200, "good").into(),
            repeat: response("other", 200, "bad"),
            pace,
        });
        let harness = harness();
        harness.register("s1", "ledger", "a", endless.address);
        for number in 1..=3 {
            let id = format!("r{number}");
            let (_, answer) = harness.request(&id, "/unsafe/x", "").await;
            let answer = answer.expect("a response");
            // The bytes may arrive after the next request was sent on the same connection.
            let good = answer.status() == 200 && answer.text() == "good";
            assert!(good || (number > 1 && answer.status() == 502), "{answer:?}");
        }
        endless.wait_closed(endless.started(), FAST_LIMIT).await;
    });
}
