//! Tests of servers that answer a long request before they have read it, and end the connection; and
//! of statuses that HTTP doesn't define.

mod common;
#[path = "../../upstream/tests/common/early.rs"]
mod early;

use std::{
    io,
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
    Harness,
    Kind,
    Message,
    document,
    event_chunk,
    read_message,
    response,
    stream_head, //
};
use early::{
    Early,
    End,
    Reads, //
};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    time::timeout, //
};

/// Longer than the sockets' buffers, so that a server answers while the request is written.
const LONG_BODY_BYTES: usize = 6_000_000;
const SHORT_BODY_BYTES: usize = 1000;

/// Time within which a caller gets its answer.
const ANSWER_TIME: Duration = Duration::from_secs(15);

const LAST_EVENT: u64 = 3;

/// Body of an early answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Content {
    Part,
    Empty,
    /// The first event of a stream.
    Event,
}

impl Content {
    fn text(self) -> &'static str {
        match self {
            Content::Part => "part",
            Content::Empty => "",
            Content::Event => "id: 1\ndata: piece 1\n\n",
        }
    }
}

/// How an early answer states its end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunked,
}

/// Formats the head of an answer without its last line.
fn head(request: &str, status: &str) -> String {
    let id = early::header(request, "id").unwrap_or_default();
    format!("HTTP/1.1 {status} x\r\nid: {id}\r\nsigned: 1\r\n")
}

/// Formats the whole answer to a request of a kind.
fn whole_answer(request: &str, kind: Kind) -> String {
    let id = early::header(request, "id").unwrap_or_default();
    if kind != Kind::Stream {
        return response(id, 200, "whole");
    }
    let after = early::header(request, "after").and_then(|after| after.parse().ok());
    let after: u64 = after.unwrap_or(0);
    let events: String = (after + 1..=LAST_EVENT).map(event_chunk).collect();
    format!("{}{events}0\r\n\r\n", stream_head(id))
}

/// Returns the text of the whole answer to a request of a kind.
fn whole_text(kind: Kind) -> String {
    match kind {
        Kind::Safe | Kind::Unsafe => "whole".to_string(),
        Kind::Stream => (1..=LAST_EVENT)
            .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
            .collect(),
    }
}

/// Sends a request where two servers answer its first `early_count` arrivals early, and later ones
/// whole. Returns what the caller got, and the number of arrivals.
async fn request(
    kind: Kind,
    body_bytes: usize,
    early: Option<Early>,
    early_count: usize,
    answer: impl Fn(&str) -> String + Clone + Send + Sync + 'static,
) -> (io::Result<Message>, usize) {
    let mut document = document();
    if let Some(callers) = &mut document.callers {
        callers.body_bytes = LONG_BODY_BYTES;
    }
    let harness = Harness::with_document(document);
    let arrivals = Arc::<AtomicUsize>::default();
    for name in ["s1", "s2"] {
        let (arrivals, answer) = (arrivals.clone(), answer.clone());
        let address = early::start(move |request| {
            if request.starts_with("GET /runs ") {
                return (response("", 200, ""), None);
            }
            match arrivals.fetch_add(1, Ordering::SeqCst) < early_count {
                true => (answer(request), early),
                false => (whole_answer(request, kind), None),
            }
        });
        harness.register(name, kind.service(), "a", address);
    }
    let headers = format!("content-length: {body_bytes}\r\n{}", kind.headers());
    let mut caller = harness.send("r1", &kind.path("r1"), &headers).await;
    let body = vec![b'x'; body_bytes];
    caller.write_all(&body).await.expect("the body is written");
    let answer = timeout(ANSWER_TIME, read_message(&mut caller)).await;
    (answer.expect("in time"), arrivals.load(Ordering::SeqCst))
}

/// Checks that a caller got no part of a lost answer as a whole one.
fn assert_lost(kind: Kind, is_repeated: bool, answer: io::Result<Message>, arrivals: usize) {
    match kind {
        Kind::Unsafe => {
            let status = answer.map(|answer| answer.status());
            assert_eq!((status.ok(), arrivals), (Some(502), 1));
        }
        Kind::Safe | Kind::Stream if is_repeated => {
            let answer = answer.expect("an answer");
            assert_eq!((answer.status(), arrivals), (200, 2), "{}", answer.text());
            assert_eq!(answer.text(), whole_text(kind));
        }
        Kind::Safe => assert_eq!(answer.expect("an answer").status(), 502),
        // A stream that has begun ends without its last chunk.
        Kind::Stream => assert_eq!(answer.map_or(502, |answer| answer.status()), 502),
    }
}

/// Guards against a part of an answer without a length that callers get as a whole one, as its server
/// ended the connection while the request was being written.
#[rstest]
fn an_early_answer_that_ends_with_its_connection_is_lost(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(Content::Part, Content::Empty, Content::Event)] content: Content,
    #[values("200", "500")] status: &'static str,
    #[values(
        (Reads::Nothing, 0, End::Reset),
        (Reads::Nothing, 300, End::Reset),
        (Reads::Pieces, 0, End::Reset),
        (Reads::Nothing, 0, End::HalfClose)
    )]
    (reads, delay_ms, end): (Reads, u64, End),
) {
    let delay = Duration::from_millis(delay_ms);
    let early = Early { reads, delay, end };
    let answer = move |request: &str| format!("{}\r\n{}", head(request, status), content.text());
    common::run(async move {
        let (got, arrivals) = request(kind, LONG_BODY_BYTES, Some(early), 1, answer).await;
        assert_lost(kind, true, got, arrivals);
    });
}

/// Guards against such a part where no server gives a whole answer, and against a refusal that
/// promises that the request hasn't run.
#[rstest]
fn an_early_answer_of_every_server_is_no_success(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(Content::Part, Content::Empty, Content::Event)] content: Content,
) {
    let early = Early {
        reads: Reads::Nothing,
        delay: Duration::ZERO,
        end: End::Reset,
    };
    let answer = move |request: &str| format!("{}\r\n{}", head(request, "200"), content.text());
    common::run(async move {
        let (got, arrivals) = request(kind, LONG_BODY_BYTES, Some(early), usize::MAX, answer).await;
        assert_lost(kind, false, got, arrivals);
    });
}

/// Guards against an answer without a length that is reset after the whole request was written.
#[rstest]
fn an_answer_that_is_reset_after_the_request_was_read_is_lost(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(Content::Part, Content::Empty, Content::Event)] content: Content,
    #[values(SHORT_BODY_BYTES, LONG_BODY_BYTES)] body_bytes: usize,
) {
    let early = Early {
        reads: Reads::Whole,
        delay: Duration::ZERO,
        end: End::Reset,
    };
    let answer = move |request: &str| format!("{}\r\n{}", head(request, "200"), content.text());
    common::run(async move {
        let (got, arrivals) = request(kind, body_bytes, Some(early), 1, answer).await;
        assert_lost(kind, true, got, arrivals);
    });
}

/// Guards against an early answer that is refused although it states its own end.
#[rstest]
fn an_early_answer_that_states_its_end_is_passed_on(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(Framing::Length, Framing::Chunked)] framing: Framing,
    #[values("200", "500")] status: &'static str,
) {
    let early = Early {
        reads: Reads::Nothing,
        delay: Duration::ZERO,
        end: End::Reset,
    };
    let answer = move |request: &str| {
        let (head, text) = (head(request, status), whole_text(kind));
        let length = text.len();
        match framing {
            Framing::Length => format!("{head}content-length: {length}\r\n\r\n{text}"),
            Framing::Chunked => {
                let chunk = format!("{length:x}\r\n{text}\r\n0\r\n\r\n");
                format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}")
            }
        }
    };
    common::run(async move {
        let early_count = usize::MAX;
        let (got, _) = request(kind, LONG_BODY_BYTES, Some(early), early_count, answer).await;
        let got = got.expect("an answer");
        assert_eq!(got.status().to_string(), status);
        assert_eq!(got.text(), whole_text(kind));
    });
}

/// Guards against an answer without a length that is refused although its connection ended in order,
/// after the whole request was written.
#[rstest]
fn an_answer_that_ends_in_order_is_passed_on(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(End::HalfClose, End::HalfCloseReset)] end: End,
) {
    let early = Early {
        reads: Reads::Whole,
        delay: Duration::ZERO,
        end,
    };
    let answer = move |request: &str| format!("{}\r\n{}", head(request, "200"), whole_text(kind));
    common::run(async move {
        let (got, arrivals) = request(kind, SHORT_BODY_BYTES, Some(early), 1, answer).await;
        let got = got.expect("an answer");
        assert_eq!((got.text(), arrivals), (whole_text(kind), 1));
    });
}

/// Guards against statuses that HTTP doesn't define, or that answer no request of a gateway, which
/// callers get.
#[rstest]
fn an_answer_with_an_undefined_status_is_lost(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values("000", "099", "101", "600", "999")] status: &'static str,
) {
    let answer = move |request: &str| {
        let head = head(request, status);
        format!("{head}content-length: 4\r\n\r\npart")
    };
    common::run(async move {
        let (got, arrivals) = request(kind, SHORT_BODY_BYTES, None, 1, answer).await;
        assert_lost(kind, true, got, arrivals);
    });
}
