//! Tests of prompt lookups with many gateways, each of which queries its partition of the engines.

mod common;

use std::time::Duration;

use common::{
    Backend,
    Harness,
    document,
    response,
    stream_head,
    write_events, //
};
use spread::beacon::{
    self,
    Attempts, //
    Beacon,
    Incarnation,
    Load,
    Loads,
    Message,
    Prompt,
};
use tokio::{
    net::UdpSocket,
    time::{
        sleep,
        timeout, //
    },
};

/// Number of peers, enough for the engines to be divided among the gateways.
const PEER_COUNT: u64 = 11;

const ENGINE_COUNT: usize = 24;

/// Identifier of the prompt part that callers look for.
const PART_ID: u64 = 77;

/// Headers of a caller that received four events and requests the rest.
const RESUME_HEADERS: &str = "tokens: 5020\r\nafter: 4\r\nparts: 1:20,77:5000\r\n";

/// Starts an engine whose cache holds the prompt parts `cached`.
async fn engine(cached: &'static str) -> Backend {
    Backend::start(move |message, connection| async move {
        let id = message.header("id").unwrap_or_default();
        if message.start_line.contains("/held") {
            connection.write(&response(id, 200, cached)).await;
            return true;
        }
        connection.write(&stream_head(id)).await;
        write_events(&connection, 5, 8, Duration::from_millis(5)).await;
        true
    })
    .await
}

/// Starts an engine that responds to all requests with an error.
async fn failing_engine() -> Backend {
    Backend::start(|message, connection| async move {
        let id = message.header("id").unwrap_or_default();
        connection.write(&response(id, 500, "failed")).await;
        true
    })
    .await
}

/// Gateway under test, its engines, and sockets that stand for its peers.
struct Fleet {
    harness: Harness,
    engines: Vec<Backend>,
    peer: UdpSocket,
    other_peers: Vec<UdpSocket>,
}

impl Fleet {
    /// Starts a gateway with many peers, and engines with the prompt parts `cached`.
    async fn start(cached: &'static str) -> Fleet {
        let mut engines = Vec::new();
        for _ in 0..ENGINE_COUNT {
            engines.push(engine(cached).await);
        }
        Fleet::with_engines(engines).await
    }

    /// Starts a gateway with many peers and the given engines.
    async fn with_engines(engines: Vec<Backend>) -> Fleet {
        let harness = Harness::with_document(document());
        for (number, engine) in engines.iter().enumerate() {
            harness.register(&name(number), "draft", "a", engine.address);
        }
        let mut peers = Vec::new();
        for number in 1..=PEER_COUNT {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
            let beacon = Message::Beacon(Box::new(peer_beacon(number)));
            send(&socket, &harness, beacon).await;
            peers.push(socket);
        }
        let peer = peers.remove(0);
        // After its second beacon to this peer, the gateway has counted all peers.
        for _ in 0..3 {
            receive(&peer, |message| matches!(message, Message::Beacon(_))).await;
        }
        Fleet {
            harness,
            engines,
            peer,
            other_peers: peers,
        }
    }

    /// Waits until the gateway has received all messages sent so far.
    async fn sync(&self) {
        let last = Beacon {
            sequence: 2,
            timestamp: 1234,
            ..peer_beacon(2)
        };
        let other = &self.other_peers[0];
        send(other, &self.harness, Message::Beacon(Box::new(last))).await;
        let echoed = |message: &Message| match message {
            Message::Beacon(beacon) => beacon.echo.is_some_and(|echo| echo.timestamp == 1234),
            _ => false,
        };
        receive(other, echoed).await;
    }

    /// Returns the engines that received any request, including cache queries.
    fn queried(&self) -> Vec<usize> {
        let queried = |number: &usize| self.engines[*number].request_count() > 0;
        (0..ENGINE_COUNT).filter(queried).collect()
    }
}

fn peer_beacon(number: Incarnation) -> Beacon {
    Beacon {
        incarnation: number,
        sequence: 1,
        data_centre: "a".into(),
        interval_ms: 10_000,
        peer_count: PEER_COUNT as u32,
        ..Beacon::default()
    }
}

fn name(number: usize) -> String {
    format!("s{number}")
}

async fn send(from: &UdpSocket, harness: &Harness, message: Message) {
    let bytes = postcard::to_stdvec(&message).expect("encoded");
    from.send_to(&bytes, harness.peers).await.expect("sent");
}

/// Receives datagrams until one is `wanted`.
async fn receive(peer: &UdpSocket, wanted: impl Fn(&Message) -> bool) -> Message {
    let mut bytes = [0; 2048];
    loop {
        let datagram = timeout(Duration::from_secs(5), peer.recv(&mut bytes));
        let length = datagram.await.expect("in time").expect("a datagram");
        let message = postcard::from_bytes(&bytes[..length]).expect("a message");
        if wanted(&message) {
            return message;
        }
    }
}

/// Guards against a hundred gateways that each query all engines and so slow the engines down.
#[test]
fn a_resumed_request_makes_each_gateway_query_its_share() {
    common::run(async {
        let fleet = Fleet::start("").await;
        let lookup = |message: &Message| matches!(message, Message::Lookup(_));
        let request = fleet.harness.request("r1", "/stream/x", RESUME_HEADERS);
        let (message, (_, response)) = tokio::join!(receive(&fleet.peer, lookup), request);
        assert_eq!(message, Message::Lookup(beacon::id("draft")));
        assert_eq!(response.expect("a complete response").status(), 200);
        let queried = fleet.queried();
        assert!(queried.len() <= ENGINE_COUNT / 4, "queried: {queried:?}");
    });
}

/// Guards against processing a prompt again although a peer has already found the engine that has
/// it cached.
#[test]
fn a_resumed_request_goes_to_the_engine_that_a_peer_found() {
    common::run(async {
        let fleet = Fleet::start("").await;
        let cached = Prompt {
            hash: PART_ID,
            server: beacon::id(&name(17)),
        };
        send(
            &fleet.peer,
            &fleet.harness,
            Message::CachedPrompts(vec![cached]),
        )
        .await;
        let last = Beacon {
            sequence: 2,
            timestamp: 1234,
            ..peer_beacon(1)
        };
        send(&fleet.peer, &fleet.harness, Message::Beacon(Box::new(last))).await;
        let echoed = |message: &Message| match message {
            Message::Beacon(beacon) => beacon.echo.is_some_and(|echo| echo.timestamp == 1234),
            _ => false,
        };
        receive(&fleet.peer, echoed).await;
        let (_, response) = fleet
            .harness
            .request("r1", "/stream/x", RESUME_HEADERS)
            .await;
        assert_eq!(response.expect("a complete response").status(), 200);
        assert_eq!(fleet.queried(), vec![17]);
    });
}

/// Guards against gateways that send prompts to the same engine. A gateway announces each send to
/// its data centre without waiting for the next beacon, and avoids the engines that others
/// announced.
#[test]
fn sends_are_announced_to_the_data_centre_immediately() {
    common::run(async {
        let fleet = Fleet::start("").await;
        // A peer announces that all engines but one have a prompt to process.
        let loads = (0..ENGINE_COUNT)
            .filter(|number| *number != 5)
            .map(|number| Load {
                server: beacon::id(&name(number)),
                requests: 1,
                tokens: 6000,
                prefill_tokens: 5000,
            });
        let loads = Message::Loads(Loads {
            incarnation: 1,
            sequence: 1,
            loads: loads.collect(),
            attempts: Vec::new(),
        });
        send(&fleet.peer, &fleet.harness, loads).await;
        fleet.sync().await;
        let expected = Load {
            server: beacon::id(&name(5)),
            requests: 1,
            tokens: 5020,
            prefill_tokens: 5020,
        };
        let is_loads = |message: &Message| match message {
            Message::Loads(received) => received.loads.iter().any(|load| is_same(load, &expected)),
            _ => false,
        };
        let headers = "tokens: 5020\r\nparts: 1:20,78:5000\r\n";
        let request = fleet.harness.request("r1", "/stream/x", headers);
        let (_, (_, response)) = tokio::join!(receive(&fleet.peer, is_loads), request);
        assert_eq!(response.expect("a complete response").status(), 200);
        assert_eq!(fleet.queried(), vec![5]);
    });
}

/// Guards against prompts that are processed again because a gateway failed before its next beacon,
/// which in a large fleet takes seconds.
#[test]
fn processed_prompts_are_announced_to_the_data_centre_immediately() {
    common::run(async {
        let fleet = Fleet::start("").await;
        let prompts = |message: &Message| matches!(message, Message::CachedPrompts(_));
        let headers = "tokens: 5020\r\nparts: 1:20,78:5000\r\n";
        let request = fleet.harness.request("r1", "/stream/x", headers);
        let (announced, (_, response)) = tokio::join!(receive(&fleet.peer, prompts), request);
        assert_eq!(response.expect("a complete response").status(), 200);
        let server = fleet.queried()[0];
        let expected = Prompt {
            hash: 78,
            server: beacon::id(&name(server)),
        };
        let expected = Message::CachedPrompts(vec![expected]);
        assert_eq!(announced, expected);
    });
}

/// Whether two loads have the same server, requests and unprocessed tokens.
fn is_same(one: &Load, other: &Load) -> bool {
    (one.server, one.requests, one.prefill_tokens)
        == (other.server, other.requests, other.prefill_tokens)
}

/// Guards against retries beyond the limit. Gateways announce their retries to their data centre
/// without waiting for the next beacon.
#[test]
fn retries_are_announced_to_the_data_centre_immediately() {
    common::run(async {
        let mut engines = Vec::new();
        for _ in 0..ENGINE_COUNT {
            engines.push(failing_engine().await);
        }
        let fleet = Fleet::with_engines(engines).await;
        let retries = Attempts {
            service: beacon::id("draft"),
            requests: 100,
            retries: 10_000,
            total_retries: 10_000,
            live_retries: 10_000,
            departed: Vec::new(),
        };
        let loads = Message::Loads(Loads {
            incarnation: 1,
            sequence: 1,
            loads: Vec::new(),
            attempts: vec![retries],
        });
        send(&fleet.peer, &fleet.harness, loads).await;
        fleet.sync().await;
        let headers = "tokens: 5020\r\nparts: 1:20,78:5000\r\n";
        let _ = fleet.harness.request("r1", "/stream/x", headers).await;
        let sends: usize = fleet.engines.iter().map(Backend::request_count).sum();
        assert_eq!(sends, 1);
    });
}

/// Guards against engines that no gateway queries: when a peer looks up a prompt, each gateway
/// queries its partition of the engines, once.
#[test]
fn a_gateway_queries_its_partition_when_a_peer_looks_up_a_prompt() {
    common::run(async {
        let fleet = Fleet::start("77:5000").await;
        let service = beacon::id("draft");
        for _ in 0..2 {
            send(&fleet.peer, &fleet.harness, Message::Lookup(service)).await;
        }
        let is_result = |message: &Message| matches!(message, Message::CachedPrompts(_));
        let partition =
            (0..ENGINE_COUNT).filter(|number| fleet.engines[*number].request_count() > 0);
        let reply = timeout(Duration::from_secs(1), receive(&fleet.peer, is_result)).await;
        let partition: Vec<_> = partition.collect();
        match reply {
            Ok(Message::CachedPrompts(prompts)) => {
                let servers = partition.iter().map(|number| beacon::id(&name(*number)));
                let mut servers: Vec<_> = servers.collect();
                let mut reported: Vec<_> = prompts.iter().map(|prompt| prompt.server).collect();
                servers.sort_unstable();
                reported.sort_unstable();
                assert_eq!(reported, servers);
                assert!(prompts.iter().all(|prompt| prompt.hash == PART_ID));
            }
            other => assert!(partition.is_empty(), "{other:?}, queried: {partition:?}"),
        }
        sleep(Duration::from_millis(50)).await;
        let counts = fleet.engines.iter().map(Backend::request_count);
        assert!(counts.max() <= Some(1));
        assert!(
            partition.len() <= ENGINE_COUNT / 4,
            "queried: {partition:?}"
        );
    });
}
