//! Tests of streams that lack events.

mod common;

use std::time::Duration;

use common::{
    Backend,
    Harness,
    Kind,
    Message,
    document,
    event_chunk,
    stream_head,
    write_events, //
};
use rstest::rstest;

/// Number of events of the stream.
const LAST: u64 = 6;

/// Guards against a stream that ends as complete although an event before its last one is missing, when
/// both arrive together.
#[rstest]
fn a_stream_that_lacks_an_event_is_resumed(#[values(2, 3, 5)] missing: u64) {
    common::run(async move {
        let handler = move |message: Message, connection: common::Connection| async move {
            let id = message.header("id").unwrap_or_default();
            connection.write(&stream_head(id)).await;
            let after = message
                .header("after")
                .and_then(|after| after.parse::<u64>().ok());
            let Some(after) = after else {
                let sent = (1..=LAST).filter(|number| *number != missing);
                let events: String = sent.map(event_chunk).collect();
                connection.write(&format!("{events}0\r\n\r\n")).await;
                return true;
            };
            write_events(&connection, after + 1, LAST, Duration::from_millis(2)).await;
            true
        };
        let servers = [Backend::start(handler).await, Backend::start(handler).await];
        let harness = Harness::with_document(document());
        for (index, server) in servers.iter().enumerate() {
            harness.register(&format!("s{index}"), "draft", "a", server.address);
        }
        let kind = Kind::Stream;
        let (_, response) = harness
            .request("r1", &kind.path("r1"), kind.headers())
            .await;
        let text = response.expect("a whole response").text();
        let whole: String = (1..=LAST)
            .map(|number| format!("id: {number}\ndata: piece {number}\n\n"))
            .collect();
        assert_eq!(text, whole);
    });
}
