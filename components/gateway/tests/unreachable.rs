//! Tests with many unreachable backend servers, as after a rollout or in a failing data centre.

mod common;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    document,
    settings,
    stream_head,
    write_events, //
};
use gateway::{
    Update,
    update::Registration, //
};
use moves::rollout::{
    Order,
    State, //
};
use names::Clock;
use routing::placement::Spec;

/// Time between two events of an engine.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Number of servers that refuse connections or decline requests: fewer than a stream tries, and
/// more than the available retries.
const FAILING_SERVER_COUNT: u16 = 6;

/// Starts a gateway with one retry left for each service.
fn start_with_one_retry() -> Harness {
    let mut settings = settings();
    settings.bounds.retry_ratio = 0.0;
    settings.bounds.retry_slack = 2.0;
    let harness = Harness::start(settings);
    harness.put_document(1, document());
    harness
}

/// Starts a server that declines all requests because it replaced another one at its address.
async fn replaced_server() -> Backend {
    Backend::start(|message, connection| async move {
        let id = message.header("id").unwrap_or_default();
        let head = format!("HTTP/1.1 421 x\r\nid: {id}\r\nnot-run: 1\r\nother: 1\r\n");
        connection
            .write(&(head + "content-length: 0\r\n\r\n"))
            .await;
        true
    })
    .await
}

/// Returns an address on which nothing listens.
fn closed_address() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("bound")
}

fn register(harness: &Harness, server: &str, version: &str, address: SocketAddr) {
    let spec = Spec {
        service: "draft".into(),
        version: version.into(),
        data_centre: "a".into(),
        slots: 8,
        memory: 50_000,
    };
    harness.gateway.apply(Update::Server {
        registration: Registration {
            server: server.into(),
            address,
            spec,
            leaving: false,
            started_ms: None,
            revision: 0,
        },
        since: Clock::ZERO,
    });
}

/// Guards against refused connections, which reach no server, using up the retries of the whole
/// service: streams that break off elsewhere then couldn't be resumed.
#[test]
fn refused_connections_do_not_count_as_retries() {
    common::run(async {
        let harness = start_with_one_retry();
        for number in 0..FAILING_SERVER_COUNT {
            let server = format!("refusing-{number}");
            harness.register(&server, "draft", "a", closed_address());
        }
        let healthy = Backend::start(|message, connection| async move {
            let id = message.header("id").unwrap_or_default();
            connection.write(&stream_head(id)).await;
            write_events(&connection, 1, 5, EVENT_INTERVAL).await;
            true
        })
        .await;
        // A single slot in another data centre makes it the last choice.
        harness.register_slots("served", "draft", "b", healthy.address, 1);
        let (_, response) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        let response = response.expect("a complete response");
        assert_eq!(response.status(), 200, "{}", response.text());
        assert!(
            response.text().ends_with("piece 5\n\n"),
            "{}",
            response.text()
        );
    });
}

/// Guards against requests that are passed around among servers that replaced others at their
/// addresses. Each of these servers receives the request, so each send counts as a retry.
#[test]
fn a_send_to_a_replaced_server_counts_as_a_retry() {
    common::run(async {
        let harness = start_with_one_retry();
        let mut servers = Vec::new();
        for number in 0..FAILING_SERVER_COUNT {
            let server = replaced_server().await;
            harness.register(&format!("replaced-{number}"), "draft", "a", server.address);
            servers.push(server);
        }
        let (_, response) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        let response = response.expect("a response");
        assert_eq!(response.status(), 503);
        assert!(response.text().contains("not_run"), "{}", response.text());
        let sends: usize = servers.iter().map(Backend::request_count).sum();
        assert_eq!(sends, 2, "one send and one retry");
    });
}

/// The engines of a data centre restart under names that aren't known yet because the store is
/// down. Guards against each gateway sending a request to each of them while engines elsewhere
/// respond.
#[test]
fn a_data_centre_is_avoided_after_two_replaced_servers() {
    common::run(async {
        let harness = Harness::with_document(document());
        let mut servers = Vec::new();
        for number in 0..FAILING_SERVER_COUNT {
            let server = replaced_server().await;
            harness.register(&format!("replaced-{number}"), "draft", "a", server.address);
            servers.push(server);
        }
        let healthy = Backend::start(|message, connection| async move {
            let id = message.header("id").unwrap_or_default();
            connection.write(&stream_head(id)).await;
            write_events(&connection, 1, 5, EVENT_INTERVAL).await;
            true
        })
        .await;
        // It is the last choice until other servers have declined.
        harness.register_slots("good", "draft", "b", healthy.address, 1);
        let (_, response) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(response.expect("a complete response").status(), 200);
        let sends: usize = servers.iter().map(Backend::request_count).sum();
        assert_eq!(sends, 2);
    });
}

/// Guards against a stream that keeps the version that was valid on its arrival, and tries the
/// servers of that version one after the other although a rollout has moved the traffic away.
#[test]
fn a_stream_lost_at_the_end_of_a_rollout_resumes_at_the_new_version() {
    common::run(async {
        let harness = start_with_one_retry();
        let old = Backend::start(|_, _| std::future::pending::<bool>()).await;
        register(&harness, "old", "v1", old.address);
        let order = Order {
            revision: 5,
            to: "v2".into(),
            within: Duration::from_secs(60),
        };
        harness.gateway.apply(Update::Rollout {
            service: "draft".into(),
            order: Some(order),
        });
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        while old.request_count() == 0 {
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        let new = Backend::start(|message, connection| async move {
            let id = message.header("id").unwrap_or_default();
            connection.write(&stream_head(id)).await;
            write_events(&connection, 1, 5, EVENT_INTERVAL).await;
            true
        })
        .await;
        register(&harness, "new", "v2", new.address);
        for number in 0..FAILING_SERVER_COUNT * 3 {
            register(&harness, &format!("old-{number}"), "v1", closed_address());
        }
        harness.gateway.apply(Update::RolloutState {
            service: "draft".into(),
            at: 6,
            to: "v2".into(),
            state: State::Done,
        });
        old.kill();
        let response = common::read_message(&mut caller)
            .await
            .expect("a complete response");
        assert_eq!(response.status(), 200, "{}", response.text());
        assert!(
            response.text().ends_with("piece 5\n\n"),
            "{}",
            response.text()
        );
    });
}

/// Guards against requests that try one server after the other until their deadline when none can
/// be reached. They must be refused immediately as not run.
#[test]
fn a_request_is_refused_immediately_when_no_server_is_reachable() {
    common::run(async {
        let harness = Harness::with_document(document());
        for number in 0..FAILING_SERVER_COUNT {
            harness.register(
                &format!("refusing-{number}"),
                "draft",
                "a",
                closed_address(),
            );
            harness.register(
                &format!("refusing+{number}"),
                "ledger",
                "a",
                closed_address(),
            );
        }
        for path in ["/stream/x", "/safe/x", "/unsafe/x"] {
            let started = tokio::time::Instant::now();
            let (_, response) = harness.request("r1", path, "tokens: 10\r\n").await;
            let response = response.expect("a response");
            assert_eq!(response.status(), 503, "{path}");
            assert!(response.text().contains("not_run"), "{}", response.text());
            assert!(response.header("retry-after").is_some(), "{path}");
            assert!(started.elapsed() < Duration::from_secs(1), "{path}");
        }
    });
}
