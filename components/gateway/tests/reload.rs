//! Tests of changes of the document and of the settings while requests are in progress.

mod common;

use std::{
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    HOST,
    Harness,
    Kind,
    document,
    read_message,
    response,
    settings,
    stream_head,
    write_events, //
};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::spawn_local,
    time::sleep, //
};

/// Time that a request takes at its server.
const RUN_TIME: Duration = Duration::from_millis(600);

/// Time between two requests, and number of requests: the last ones begin after the changes.
const INTERVAL: Duration = Duration::from_millis(40);
const REQUEST_COUNT: usize = 24;

/// Time from the first request to the changes.
const CHANGE_DELAY: Duration = Duration::from_millis(500);

/// Time between the two parts of a body.
const BODY_TIME: Duration = Duration::from_millis(400);

const EVENT_COUNT: u64 = 20;

async fn start_server(kind: Kind) -> Backend {
    Backend::start(move |message, connection| async move {
        let id = message.header("id").unwrap_or_default();
        match kind {
            Kind::Stream => {
                connection.write(&stream_head(id)).await;
                let interval = RUN_TIME / EVENT_COUNT as u32;
                write_events(&connection, 1, EVENT_COUNT, interval).await;
            }
            Kind::Safe | Kind::Unsafe => {
                sleep(RUN_TIME).await;
                connection.write(&response(id, 200, "fine")).await;
            }
        }
        true
    })
    .await
}

/// Sends a request whose body arrives in two parts; returns the status of a complete response.
async fn send(harness: Rc<Harness>, kind: Kind, number: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(harness.callers).await.ok()?;
    let (path, headers) = (kind.path(&number.to_string()), kind.headers());
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: r{number}\r\nkey: k\r\n\
         {headers}content-length: 10\r\n\r\nbegin"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    if number.is_multiple_of(2) {
        sleep(BODY_TIME).await;
    }
    stream.write_all(b"whole").await.ok()?;
    let answer = read_message(&mut stream).await.ok()?;
    Some(answer.status())
}

/// Guards against requests in progress that are cut off or refused as another document or other
/// settings come into force.
#[rstest]
fn requests_in_progress_outlast_changes(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let harness = Rc::new(Harness::with_document(document()));
        let backend = start_server(kind).await;
        harness.register_slots("s", kind.service(), "a", backend.address, 64);
        let mut requests = Vec::new();
        let changing = harness.clone();
        spawn_local(async move {
            sleep(CHANGE_DELAY).await;
            // The route is gone at once, and comes back.
            let mut without = document();
            without.routes.clear();
            changing.put_document(2, without);
            let mut shorter = settings();
            shorter.bounds.grace = Duration::from_secs(1);
            changing.gateway.set_settings(shorter);
            changing.put_document(3, document());
        });
        for number in 0..REQUEST_COUNT {
            requests.push(spawn_local(send(harness.clone(), kind, number)));
            sleep(INTERVAL).await;
        }
        for (number, request) in requests.into_iter().enumerate() {
            let status = request.await.expect("a request panicked");
            assert_eq!(status, Some(200), "request {number}");
        }
    });
}
