//! Many servers that can't be reached, as after a move of traffic or in the data centre that fails.

mod common;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    document,
    events,
    settings,
    stream_head, //
};
use gateway::{
    Update,
    update::Registration, //
};
use moves::brief::{
    Order,
    State, //
};
use names::Clock;
use routing::placement::Spec;

const PACE: Duration = Duration::from_millis(10);

/// Servers that refuse connections: fewer than a stream tries, more than the retries that there are.
const REFUSING: u16 = 6;

/// A gateway that has one retry left for each service.
fn scarce() -> Harness {
    let mut settings = settings();
    settings.bounds.retry_ratio = 0.0;
    settings.bounds.retry_slack = 2.0;
    let harness = Harness::start(settings);
    harness.put(1, document());
    harness
}

/// A server that stands at the address of another one, and says so.
async fn over() -> Backend {
    Backend::start(|message, line| async move {
        let id = message.header("id").unwrap_or_default();
        let head = format!("HTTP/1.1 421 x\r\nid: {id}\r\nnot-run: 1\r\nother: 1\r\n");
        line.write(&(head + "content-length: 0\r\n\r\n")).await;
        true
    })
    .await
}

/// An address at which nothing listens.
fn nowhere() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("bound")
}

fn register(harness: &Harness, server: &str, version: &str, address: SocketAddr) {
    let facts = Spec {
        service: "draft".into(),
        version: version.into(),
        data_centre: "a".into(),
        slots: 8,
        memory: 50_000,
    };
    harness.gateway.learn(Update::Server {
        registration: Registration {
            server: server.into(),
            address,
            facts,
            leaving: false,
        },
        since: Clock::ZERO,
    });
}

/// Guards against connections that were refused, and reached no server, using up the retries of the
/// whole service: answers that break off elsewhere then can't go on.
#[test]
fn refused_connections_are_no_retries() {
    common::run(async {
        let harness = scarce();
        for number in 0..REFUSING {
            let server = format!("refusing-{number}");
            harness.register(&server, "draft", "a", nowhere());
        }
        let busy = Backend::start(|message, line| async move {
            let id = message.header("id").unwrap_or_default();
            line.write(&stream_head(id)).await;
            events(&line, 1, 5, PACE).await;
            true
        })
        .await;
        // Work elsewhere makes it the last choice.
        harness.register_slots("served", "draft", "b", busy.address, 1);
        let (_, letter) = harness.ask("r1", "/stream/x", "tokens: 10\r\n").await;
        let letter = letter.expect("a whole answer");
        assert_eq!(letter.status(), 200, "{}", letter.text());
        assert!(letter.text().ends_with("piece 5\n\n"), "{}", letter.text());
    });
}

/// Guards against requests that go round among servers which stand at others' addresses: each of them gets
/// the request, so that each send counts.
#[test]
fn a_server_that_answers_for_another_bears_a_retry() {
    common::run(async {
        let harness = scarce();
        let mut servers = Vec::new();
        for number in 0..REFUSING {
            let server = over().await;
            harness.register(&format!("over-{number}"), "draft", "a", server.address);
            servers.push(server);
        }
        let (_, refusal) = harness.ask("r1", "/stream/x", "tokens: 10\r\n").await;
        let refusal = refusal.expect("an answer");
        assert_eq!(refusal.status(), 503);
        assert!(refusal.text().contains("not_run"), "{}", refusal.text());
        let arrivals: usize = servers.iter().map(Backend::count).sum();
        assert_eq!(arrivals, 2, "a send and a retry");
    });
}

/// Guards against a data centre whose engines came back under names that aren't known yet, as the store
/// is out: each entry sent a request to each of them, though others answer elsewhere.
#[test]
fn a_data_centre_whose_servers_are_over_is_left_after_two_of_them() {
    common::run(async {
        let harness = Harness::with(document());
        let mut servers = Vec::new();
        for number in 0..REFUSING {
            let server = over().await;
            harness.register(&format!("over-{number}"), "draft", "a", server.address);
            servers.push(server);
        }
        let good = Backend::start(|message, line| async move {
            let id = message.header("id").unwrap_or_default();
            line.write(&stream_head(id)).await;
            events(&line, 1, 5, PACE).await;
            true
        })
        .await;
        // The last choice while nothing speaks against the others.
        harness.register_slots("good", "draft", "b", good.address, 1);
        let (_, letter) = harness.ask("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(letter.expect("a whole answer").status(), 200);
        let arrivals: usize = servers.iter().map(Backend::count).sum();
        assert_eq!(arrivals, 2);
    });
}

/// Guards against streams that look for a server among those of the version that the traffic has
/// left, one after the other, as that was right when they came.
#[test]
fn a_stream_that_is_lost_when_a_move_ends_goes_on_at_the_new_version() {
    common::run(async {
        let harness = scarce();
        let old = Backend::start(|_, _| std::future::pending::<bool>()).await;
        register(&harness, "old", "v1", old.address);
        let order = Order {
            revision: 5,
            to: "v2".into(),
            within: Duration::from_secs(60),
        };
        harness.gateway.learn(Update::Move {
            service: "draft".into(),
            order: Some(order),
        });
        let mut caller = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        while old.count() == 0 {
            tokio::time::sleep(PACE).await;
        }
        let new = Backend::start(|message, line| async move {
            let id = message.header("id").unwrap_or_default();
            line.write(&stream_head(id)).await;
            events(&line, 1, 5, PACE).await;
            true
        })
        .await;
        register(&harness, "new", "v2", new.address);
        for number in 0..REFUSING * 3 {
            register(&harness, &format!("old-{number}"), "v1", nowhere());
        }
        harness.gateway.learn(Update::Standing {
            service: "draft".into(),
            at: 6,
            to: "v2".into(),
            state: State::Done,
        });
        old.kill();
        let letter = common::read(&mut caller).await.expect("a whole answer");
        assert_eq!(letter.status(), 200, "{}", letter.text());
        assert!(letter.text().ends_with("piece 5\n\n"), "{}", letter.text());
    });
}

/// Guards against requests that try one server after the other until their time is over, when none
/// can be reached: they are told so at once, as not run.
#[test]
fn a_request_is_refused_at_once_when_no_server_can_be_reached() {
    common::run(async {
        let harness = Harness::with(document());
        for number in 0..REFUSING {
            harness.register(&format!("refusing-{number}"), "draft", "a", nowhere());
            harness.register(&format!("refusing+{number}"), "ledger", "a", nowhere());
        }
        for path in ["/stream/x", "/safe/x", "/unsafe/x"] {
            let asked = tokio::time::Instant::now();
            let (_, refusal) = harness.ask("r1", path, "tokens: 10\r\n").await;
            let refusal = refusal.expect("an answer");
            assert_eq!(refusal.status(), 503, "{path}");
            assert!(refusal.text().contains("not_run"), "{}", refusal.text());
            assert!(refusal.header("retry-after").is_some(), "{path}");
            assert!(asked.elapsed() < Duration::from_secs(1), "{path}");
        }
    });
}
