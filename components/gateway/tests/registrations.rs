//! Tests of registrations that claim the same address.

mod common;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    Kind,
    Message,
    document,
    response,
    stream_head,
    write_events, //
};
use gateway::Update;
use rstest::rstest;
use tokio::time::timeout;

/// Name of the server that listens.
const LIVING: &str = "living";

/// Start of its process.
const STARTED_MS: u64 = 1000;

/// Starts a server that doesn't run requests that are meant for another one.
async fn start_server(kind: Kind) -> Backend {
    Backend::start(
        move |message: Message, connection: common::Connection| async move {
            let id = message.header("id").unwrap_or_default();
            if message.header("server") != Some(LIVING) {
                let head = format!("HTTP/1.1 421 x\r\nid: {id}\r\nnot-run: 1\r\nother: 1\r\n");
                connection
                    .write(&format!("{head}content-length: 0\r\n\r\n"))
                    .await;
                return true;
            }
            match kind {
                Kind::Stream => {
                    connection.write(&stream_head(id)).await;
                    write_events(&connection, 1, 3, Duration::from_millis(5)).await;
                }
                Kind::Safe | Kind::Unsafe => connection.write(&response(id, 200, "fine")).await,
            }
            true
        },
    )
    .await
}

/// Returns whether a request is served.
async fn is_served(harness: &Harness, id: &str, kind: Kind) -> bool {
    let path = kind.path(id);
    let sent = harness.request(id, &path, kind.headers());
    let sent = timeout(Duration::from_secs(5), sent).await;
    sent.is_ok_and(|(_, response)| response.is_ok_and(|response| response.status() == 200))
}

/// Event of the registry.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The living server registers.
    Living,
    /// What its address had before is registered still, under a name that sorts later.
    Dead,
    /// Another writer registers a server of a service that no document names.
    Foreign,
}

impl Event {
    fn apply(self, harness: &Harness, service: &str, address: SocketAddr) {
        let (name, service, started_ms) = match self {
            Event::Living => (LIVING, service, STARTED_MS),
            Event::Dead => ("z-dead", service, STARTED_MS - 1),
            Event::Foreign => ("z-foreign", "elsewhere", STARTED_MS + 1),
        };
        harness.register_started(name, service, "a", address, 8, Some(started_ms));
    }
}

/// Orders of three events.
const ORDERS: [[usize; 3]; 6] = [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
];

/// Guards against a living server that is forgotten as another registration has its address, by the
/// order in which they are read.
#[rstest]
fn a_living_server_is_used_whatever_else_claims_its_address(
    #[values(Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(0, 1, 2, 3, 4, 5)] order: usize,
) {
    common::run(async move {
        let server = start_server(kind).await;
        let harness = Harness::with_document(document());
        for index in ORDERS[order] {
            let event = [Event::Living, Event::Dead, Event::Foreign][index];
            event.apply(&harness, kind.service(), server.address);
        }
        assert!(is_served(&harness, "r1", kind).await);
        for rival in ["z-dead", "z-foreign"] {
            harness.gateway.apply(Update::Deregistered(rival.into()));
            assert!(is_served(&harness, rival, kind).await);
        }
    });
}

/// Guards against a server that isn't used again when the registration ends that had its address.
#[test]
fn a_server_is_used_again_when_its_rival_ends() {
    common::run(async move {
        let kind = Kind::Unsafe;
        let server = start_server(kind).await;
        let harness = Harness::with_document(document());
        Event::Living.apply(&harness, kind.service(), server.address);
        harness.register_started(
            "newer",
            kind.service(),
            "a",
            server.address,
            8,
            Some(u64::MAX),
        );
        harness.gateway.apply(Update::Deregistered("newer".into()));
        assert!(is_served(&harness, "r1", kind).await);
    });
}

/// Guards against a registration that takes a server's address although the server says that it is
/// another one.
#[test]
fn a_server_is_believed_before_a_registration() {
    common::run(async move {
        let kind = Kind::Safe;
        let server = start_server(kind).await;
        let harness = Harness::with_document(document());
        Event::Living.apply(&harness, kind.service(), server.address);
        for round in 0..3 {
            // Renewed by its writer.
            harness.register_started(
                "newer",
                kind.service(),
                "a",
                server.address,
                8,
                Some(u64::MAX),
            );
            is_served(&harness, &format!("a{round}"), kind).await;
            assert!(is_served(&harness, &format!("b{round}"), kind).await);
        }
    });
}

/// Guards against runs that are given up at their start, as the server's earlier address is another
/// one's.
#[rstest]
fn a_server_that_moved_is_used(
    #[values(Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(None, Some(STARTED_MS))] started_ms: Option<u64>,
) {
    common::run(async move {
        let (other, server) = (start_server(kind).await, start_server(kind).await);
        let harness = Harness::with_document(document());
        let register = |name: &str, service: &str, address, started_ms| {
            harness.register_started(name, service, "a", address, 8, started_ms);
        };
        let other_service = match kind {
            Kind::Stream => "ledger",
            Kind::Safe | Kind::Unsafe => "draft",
        };
        register(LIVING, kind.service(), other.address, started_ms);
        let later = |ms| started_ms.map(|started_ms| started_ms + ms);
        register("taker", other_service, other.address, later(1));
        register(LIVING, kind.service(), server.address, later(2));
        for round in 0..3 {
            assert!(is_served(&harness, &format!("r{round}"), kind).await);
        }
    });
}
