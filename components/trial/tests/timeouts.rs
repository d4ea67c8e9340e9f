//! Connections that send too little are closed, so that they can't use up the entry's places.

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

const HEADER: Duration = Duration::from_millis(300);
const IDLE: Duration = Duration::from_millis(600);

/// Longest wait for the entry to close a connection.
const LIMIT: Duration = Duration::from_secs(10);

/// Callers hang in the midst of a header, or keep a connection that they don't use: on purpose, or
/// because their network is gone. Each holds a place; without limits the entry would be full of them,
/// and others would not get in.
#[rstest]
#[case::nothing_sent("")]
#[case::half_a_header("POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-")]
#[case::idle_after_a_request("GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n")]
#[tokio::test]
async fn a_connection_that_sends_too_little_is_closed(#[case] sent: &str) {
    let mut trial = Trial::start().await.expect("a platform");
    let mut settings = entry_settings("entry-0", "dc1", trial.platform.address());
    settings.times.header = HEADER;
    settings.times.idle = IDLE;
    trial.start_entry_with(settings).await.expect("an entry");
    let address = trial.callers_url(0).replace("http://", "");
    // The entry measures from the moment at which it accepts the connection.
    let begun = Instant::now();
    let mut connection = TcpStream::connect(address).await.expect("a connection");
    connection.write_all(sent.as_bytes()).await.expect("sent");
    let mut seen = Vec::new();
    // An answer may come first; then the connection ends, by a close or a reset.
    let _ = timeout(LIMIT, connection.read_to_end(&mut seen))
        .await
        .expect("closed in time");
    assert!(begun.elapsed() >= HEADER, "{:?}", begun.elapsed());
}
