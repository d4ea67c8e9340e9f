//! Timeouts of callers' connections, which keep idle connections from exhausting an entry's limit.

mod support;

use std::time::Duration;

use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        Instant,
        timeout, //
    },
};
use trial::{
    Trial,
    trial::entry_settings, //
};

const HEADER_TIMEOUT: Duration = Duration::from_millis(300);
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest wait for the entry to close a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Callers stop in the middle of a header or keep an idle connection, on purpose or because their
/// network failed. Each counts towards the entry's connection limit; without timeouts they would
/// exhaust it and lock other callers out.
#[rstest]
#[case::nothing_sent("")]
#[case::incomplete_header("POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-")]
#[case::idle_after_a_request("GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n")]
#[tokio::test]
async fn an_idle_connection_is_closed(#[case] sent: &str) {
    let mut trial = Trial::start().await.expect("the platform starts");
    let mut settings = entry_settings("entry-0", "dc1", trial.platform.address());
    settings.times.header = HEADER_TIMEOUT;
    settings.times.idle = IDLE_TIMEOUT;
    trial
        .start_entry_with(settings)
        .await
        .expect("the entry starts");
    let address = trial.callers_url(0).replace("http://", "");
    // The entry's timeout starts when it accepts the connection.
    let started = Instant::now();
    let mut connection = TcpStream::connect(address)
        .await
        .expect("the entry accepts the connection");
    connection
        .write_all(sent.as_bytes())
        .await
        .expect("the bytes are sent");
    let mut received = Vec::new();
    // A response may arrive first; then the connection ends with a close or a reset.
    let _ = timeout(CLOSE_TIMEOUT, connection.read_to_end(&mut received))
        .await
        .expect("the entry closes the connection in time");
    assert!(
        started.elapsed() >= HEADER_TIMEOUT,
        "{:?}",
        started.elapsed()
    );
}
