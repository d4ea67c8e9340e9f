//! Tests of callers that retry for the rest of their responses after all gateways failed.

mod common;

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    document,
    response,
    stream_head, //
    write_events,
};
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
};

/// Names of the engines that ran requests, in order.
type Runs = Rc<RefCell<Vec<&'static str>>>;

/// Starts an engine whose cache holds the prompt parts `cached`.
async fn engine(name: &'static str, cached: &'static str, runs: &Runs) -> Backend {
    let runs = runs.clone();
    Backend::start(move |message, connection| {
        let runs = runs.clone();
        async move {
            let id = message.header("id").unwrap_or_default();
            if message.start_line.contains("/held") {
                connection.write(&response(id, 200, cached)).await;
                return true;
            }
            runs.borrow_mut().push(name);
            connection.write(&stream_head(id)).await;
            write_events(&connection, 5, 8, Duration::from_millis(5)).await;
            true
        }
    })
    .await
}

/// Guards against processing prompts again after an outage of the store and all gateways: the
/// engine with the cached prompt registers shortly after the caller's retry.
#[rstest]
#[case::while_servers_register(true, "holder")]
#[case::after_all_servers_registered(false, "other")]
fn a_caller_waits_for_the_engine_that_has_its_prompt_cached(
    #[case] registering: bool,
    #[case] expected: &'static str,
) {
    common::run(async move {
        let runs = Runs::default();
        let other = engine("other", "", &runs).await;
        let holder = engine("holder", "77:5000", &runs).await;
        let harness = Harness::with_document(document());
        if registering {
            harness.gateway.await_registrations(Duration::from_secs(2));
        }
        harness.register("s1", "draft", "a", other.address);
        let headers = "tokens: 5000\r\nparts: 77:5000\r\nafter: 4\r\ndeadline: 15000\r\n";
        let register = async {
            sleep(Duration::from_millis(400)).await;
            harness.register("s2", "draft", "b", holder.address);
        };
        let started = Instant::now();
        let ((_, response), ()) =
            tokio::join!(harness.request("r1", "/stream/x", headers), register);
        assert_eq!(response.expect("a complete response").status(), 200);
        assert_eq!(*runs.borrow(), [expected]);
        assert!(started.elapsed() < Duration::from_secs(1));
    });
}

/// Guards against callers that wait in vain because the engine with the cached prompt never
/// returns.
#[test]
fn a_caller_waits_no_longer_than_servers_take_to_register() {
    common::run(async {
        let runs = Runs::default();
        let other = engine("other", "", &runs).await;
        let harness = Harness::with_document(document());
        harness
            .gateway
            .await_registrations(Duration::from_millis(300));
        harness.register("s1", "draft", "a", other.address);
        let headers = "tokens: 5000\r\nparts: 77:5000\r\nafter: 4\r\ndeadline: 15000\r\n";
        let started = Instant::now();
        let (_, response) = harness.request("r1", "/stream/x", headers).await;
        assert_eq!(response.expect("a complete response").status(), 200);
        assert!(started.elapsed() < Duration::from_millis(800));
    });
}
