//! Tests of callers who send requests one behind the other on a connection.

mod common;

use std::time::Duration;

use common::{
    HOST,
    Harness,
    Kind,
    document,
    read_message,
    settings, //
};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::timeout, //
};

/// Pause before a request that is held back.
const PAUSE: Duration = Duration::from_secs(30);

/// Time within which a request without a server is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(5);

/// Guards against callers who are held back although they read each refusal, and against others who
/// aren't although they read none.
#[rstest]
fn only_who_reads_no_refusal_is_held_back(#[values(false, true)] reads: bool) {
    common::run(async move {
        let mut settings = settings();
        settings.limits.pipeline_pause = PAUSE;
        let harness = Harness::start(settings);
        harness.put_document(1, document());
        let (path, headers) = (Kind::Safe.path("sound"), Kind::Safe.headers());
        let requests = ["first", "second"].map(|id| {
            format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: {id}\r\nkey: k\r\n{headers}content-length: 0\r\n\r\n")
        });
        let stream = TcpStream::connect(harness.callers).await;
        let mut stream = stream.expect("connected");
        if !reads {
            let sent = stream.write_all(requests.concat().as_bytes()).await;
            sent.expect("requests written");
        }
        let mut answered = 0;
        for request in &requests {
            if reads {
                let sent = stream.write_all(request.as_bytes()).await;
                sent.expect("request written");
            }
            let Ok(response) = timeout(REFUSAL_TIME, read_message(&mut stream)).await else {
                break;
            };
            let response = response.expect("a response");
            assert_eq!(response.status(), 503);
            assert!(response.header("retry-after").is_some());
            answered += 1;
        }
        assert_eq!(answered, if reads { 2 } else { 1 });
    });
}
