//! Servers that answer before they have read the request, and end the connection.

#[path = "common/early.rs"]
mod early;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use early::{
    Early,
    End,
    Reads, //
};
use http::Method;
use rstest::rstest;
use upstream::{
    Collected,
    Connection,
    Error,
    Head, //
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longer than the sockets' buffers, so that the server answers while the request is written.
const LONG_BODY_BYTES: usize = 16 << 20;
const SHORT_BODY_BYTES: usize = 4 * 1024;

const MAX_BODY_BYTES: usize = 64 * 1024;

/// An answer without a length.
const UNSTATED: &str = "HTTP/1.1 200 OK\r\n\r\npart";

/// Sends a request with a body, and reads the head of the answer, which may have come although the
/// request couldn't be written.
async fn send(answer: &str, early: Early, body_bytes: usize) -> Result<Connection, Error> {
    let answer = answer.to_string();
    let address = early::start(move |_| (answer.clone(), Some(early)));
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await?;
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {body_bytes}\r\n\r\n");
    let body = Bytes::from(vec![b'x'; body_bytes]);
    let written = connection.write(&Method::POST, head.into(), body).await;
    assert_eq!(written.is_ok(), body_bytes == SHORT_BODY_BYTES);
    connection.head().await?;
    Ok(connection)
}

async fn exchange(answer: &str, early: Early, body_bytes: usize) -> Result<Collected, Error> {
    let mut connection = send(answer, early, body_bytes).await?;
    let body = connection.read_body(MAX_BODY_BYTES).await;
    assert!(!connection.is_reusable());
    body
}

/// Guards against a part of an answer that is taken for the whole of it, as its server ended the
/// connection while the request was still being written.
#[rstest]
#[tokio::test]
async fn an_answer_to_an_unwritten_request_is_not_complete_by_its_end(
    #[values(
        "HTTP/1.1 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 500 x\r\n\r\npart"
    )]
    answer: &str,
    #[values(Reads::Nothing, Reads::Pieces)] reads: Reads,
    #[values(0, 300)] delay_ms: u64,
    #[values(End::Reset, End::HalfClose, End::HalfCloseReset)] end: End,
) {
    let delay = Duration::from_millis(delay_ms);
    let early = Early { reads, delay, end };
    let result = exchange(answer, early, LONG_BODY_BYTES).await;
    assert_matches!(result, Err(Error::Closed | Error::Broken(_)));
}

/// Guards against an answer that is refused although its own end is stated, or came in order after the
/// whole request was written.
#[rstest]
#[case::length(
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npart",
    End::Reset,
    LONG_BODY_BYTES
)]
#[case::chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
    End::Reset,
    LONG_BODY_BYTES
)]
#[case::half_closed(UNSTATED, End::HalfClose, SHORT_BODY_BYTES)]
#[case::reset_after_the_end(UNSTATED, End::HalfCloseReset, SHORT_BODY_BYTES)]
#[tokio::test]
async fn an_answer_whose_end_is_known_is_complete(
    #[case] answer: &str,
    #[case] end: End,
    #[case] body_bytes: usize,
    #[values(0, 300)] delay_ms: u64,
) {
    let delay = Duration::from_millis(delay_ms);
    let reads = Reads::Nothing;
    let result = exchange(answer, Early { reads, delay, end }, body_bytes).await;
    let body = result.ok().and_then(Collected::complete);
    assert_eq!(body, Some(Bytes::from_static(b"part")));
}

/// Guards against an answer without a length that counts as complete at a reset: the first read after
/// the reset returns an error, the next one the end of the connection.
#[tokio::test]
async fn a_reset_is_remembered_after_the_request_was_written() {
    let early = Early {
        reads: Reads::Whole,
        delay: Duration::ZERO,
        end: End::Reset,
    };
    let connection = send(UNSTATED, early, SHORT_BODY_BYTES).await;
    let mut connection = connection.expect("a head");
    assert_matches!(
        connection.read_body(MAX_BODY_BYTES).await,
        Err(Error::Broken(_))
    );
    assert_matches!(connection.data().await, Err(Error::Closed));
    assert!(!connection.is_reusable());
}

/// Guards against statuses that HTTP doesn't define and that callers would get.
#[rstest]
fn statuses_out_of_range_are_malformed(#[values("000", "099", "101", "600", "999")] status: &str) {
    let parse = |status| Head::parse(format!("HTTP/1.1 {status} x\r\n\r\n").as_bytes());
    assert_matches!(parse(status), Err(Error::Malformed(_)));
    assert_matches!(parse("599"), Ok(Some(_)));
}
