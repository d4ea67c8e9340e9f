//! Lookups of prompts in a fleet of many entries, each of which asks its part of the engines.

mod common;

use std::time::Duration;

use common::{
    Backend,
    Harness,
    answer,
    document,
    events,
    stream_head, //
};
use spread::beacon::{
    self,
    Beacon,
    Incarnation,
    Load,
    Loads,
    Message,
    Prompt,
    Sends, //
};
use tokio::{
    net::UdpSocket,
    time::{
        sleep,
        timeout, //
    },
};

/// Peers: so many that the engines are divided.
const PEERS: u64 = 11;

const ENGINES: usize = 24;

const PART: u64 = 77;

/// A caller that has four events, and wants the rest.
const BACK: &str = "tokens: 5020\r\nafter: 4\r\nparts: 1:20,77:5000\r\n";

/// An engine whose cache holds a prompt, or nothing.
async fn engine(held: &'static str) -> Backend {
    Backend::start(move |message, line| async move {
        let id = message.header("id").unwrap_or_default();
        if message.first.contains("/held") {
            line.write(&answer(id, 200, held)).await;
            return true;
        }
        line.write(&stream_head(id)).await;
        events(&line, 5, 8, Duration::from_millis(5)).await;
        true
    })
    .await
}

/// An engine that fails what it is sent.
async fn failing_engine() -> Backend {
    Backend::start(|message, line| async move {
        let id = message.header("id").unwrap_or_default();
        line.write(&answer(id, 500, "failed")).await;
        true
    })
    .await
}

struct Fleet {
    harness: Harness,
    engines: Vec<Backend>,
    peer: UdpSocket,
    others: Vec<UdpSocket>,
}

impl Fleet {
    /// One gateway among many entries, and engines that say what they hold.
    async fn start(held: &'static str) -> Fleet {
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            engines.push(engine(held).await);
        }
        Fleet::with(engines).await
    }

    /// One gateway among many entries before engines.
    async fn with(engines: Vec<Backend>) -> Fleet {
        let harness = Harness::with(document());
        for (number, engine) in engines.iter().enumerate() {
            harness.register(&name(number), "draft", "a", engine.address);
        }
        let mut peers = Vec::new();
        for number in 1..=PEERS {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
            let beacon = Message::Beacon(Box::new(fleet_beacon(number)));
            send(&socket, &harness, beacon).await;
            peers.push(socket);
        }
        let peer = peers.remove(0);
        // Behind its second beacon to this peer it has counted all of them.
        for _ in 0..3 {
            hear(&peer, |message| matches!(message, Message::Beacon(_))).await;
        }
        Fleet {
            harness,
            engines,
            peer,
            others: peers,
        }
    }

    /// Returns when the gateway has heard all that was sent to it before.
    async fn heard_in_order(&self) {
        let behind = Beacon {
            sequence: 2,
            timestamp: 1234,
            ..fleet_beacon(2)
        };
        let other = &self.others[0];
        send(other, &self.harness, Message::Beacon(Box::new(behind))).await;
        let echoed = |message: &Message| match message {
            Message::Beacon(beacon) => beacon.echo.is_some_and(|echo| echo.timestamp == 1234),
            _ => false,
        };
        hear(other, echoed).await;
    }

    /// Engines that were asked what they hold, or that ran a request.
    fn asked(&self) -> Vec<usize> {
        let asked = |number: &usize| self.engines[*number].count() > 0;
        (0..ENGINES).filter(asked).collect()
    }
}

fn fleet_beacon(number: Incarnation) -> Beacon {
    Beacon {
        incarnation: number,
        sequence: 1,
        data_centre: "a".into(),
        interval_ms: 10_000,
        peer_count: PEERS as u32,
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

/// The next message of a kind that a peer hears.
async fn hear(peer: &UdpSocket, wanted: impl Fn(&Message) -> bool) -> Message {
    let mut bytes = [0; 2048];
    loop {
        let heard = timeout(Duration::from_secs(5), peer.recv(&mut bytes));
        let length = heard.await.expect("in time").expect("a datagram");
        let message = postcard::from_bytes(&bytes[..length]).expect("a message");
        if wanted(&message) {
            return message;
        }
    }
}

/// Guards against a hundred entries that each ask all engines, which keeps the engines from their work.
#[test]
fn a_caller_that_comes_back_has_each_entry_ask_its_part() {
    common::run(async {
        let fleet = Fleet::start("").await;
        let lookup = |message: &Message| matches!(message, Message::Lookup(_));
        let asked = fleet.harness.ask("r1", "/stream/x", BACK);
        let (heard, (_, answer)) = tokio::join!(hear(&fleet.peer, lookup), asked);
        assert_eq!(heard, Message::Lookup(beacon::id("draft")));
        assert_eq!(answer.expect("a whole answer").status(), 200);
        let asked = fleet.asked();
        assert!(asked.len() <= ENGINES / 4, "{asked:?} were asked");
    });
}

/// Guards against prompts that are read anew though a peer has asked the engine that holds them.
#[test]
fn a_caller_gets_to_the_engine_that_a_peer_has_asked() {
    common::run(async {
        let fleet = Fleet::start("").await;
        let read = Prompt {
            hash: PART,
            server: beacon::id(&name(17)),
        };
        send(
            &fleet.peer,
            &fleet.harness,
            Message::CachedPrompts(vec![read]),
        )
        .await;
        let behind = Beacon {
            sequence: 2,
            timestamp: 1234,
            ..fleet_beacon(1)
        };
        send(
            &fleet.peer,
            &fleet.harness,
            Message::Beacon(Box::new(behind)),
        )
        .await;
        let echoed = |message: &Message| match message {
            Message::Beacon(beacon) => beacon.echo.is_some_and(|echo| echo.timestamp == 1234),
            _ => false,
        };
        hear(&fleet.peer, echoed).await;
        let (_, answer) = fleet.harness.ask("r1", "/stream/x", BACK).await;
        assert_eq!(answer.expect("a whole answer").status(), 200);
        assert_eq!(fleet.asked(), vec![17]);
    });
}

/// Guards against prompts that are sent behind one another: what an entry sends, its data centre hears with
/// no wait for the next beacon, and it doesn't send there itself.
#[test]
fn entries_of_a_data_centre_hear_at_once_what_is_sent() {
    common::run(async {
        let fleet = Fleet::start("").await;
        // Elsewhere all engines but one have a prompt to read.
        let loads = (0..ENGINES)
            .filter(|number| *number != 5)
            .map(|number| Load {
                server: beacon::id(&name(number)),
                requests: 1,
                tokens: 6000,
                unread: 5000,
            });
        let told = Message::Loads(Loads {
            incarnation: 1,
            sequence: 1,
            loads: loads.collect(),
            sends: Vec::new(),
        });
        send(&fleet.peer, &fleet.harness, told).await;
        fleet.heard_in_order().await;
        let sent = Load {
            server: beacon::id(&name(5)),
            requests: 1,
            tokens: 5020,
            unread: 5020,
        };
        let is_loads = |message: &Message| match message {
            Message::Loads(told) => told.loads.iter().any(|load| is_same(load, &sent)),
            _ => false,
        };
        let first = "tokens: 5020\r\nparts: 1:20,78:5000\r\n";
        let asked = fleet.harness.ask("r1", "/stream/x", first);
        let (_, (_, answer)) = tokio::join!(hear(&fleet.peer, is_loads), asked);
        assert_eq!(answer.expect("a whole answer").status(), 200);
        assert_eq!(fleet.asked(), vec![5]);
    });
}

/// Whether two loads are of the same requests that are still to be read.
fn is_same(one: &Load, other: &Load) -> bool {
    (one.server, one.requests, one.unread) == (other.server, other.requests, other.unread)
}

/// Guards against retries beyond the bound: those of the own data centre are known with no wait for the next
/// beacon.
#[test]
fn entries_of_a_data_centre_hear_at_once_of_retries() {
    common::run(async {
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            engines.push(failing_engine().await);
        }
        let fleet = Fleet::with(engines).await;
        let spent = Sends {
            service: beacon::id("draft"),
            requests: 100,
            retries: 10_000,
            total_retries: 10_000,
        };
        let told = Message::Loads(Loads {
            incarnation: 1,
            sequence: 1,
            loads: Vec::new(),
            sends: vec![spent],
        });
        send(&fleet.peer, &fleet.harness, told).await;
        fleet.heard_in_order().await;
        let first = "tokens: 5020\r\nparts: 1:20,78:5000\r\n";
        let _ = fleet.harness.ask("r1", "/stream/x", first).await;
        let sends: usize = fleet.engines.iter().map(Backend::count).sum();
        assert_eq!(sends, 1);
    });
}

/// Guards against engines that nobody asks: each entry asks its part when a peer looks for a prompt, once.
#[test]
fn an_entry_asks_its_part_when_a_peer_wants_it() {
    common::run(async {
        let fleet = Fleet::start("77:5000").await;
        let service = beacon::id("draft");
        for _ in 0..2 {
            send(&fleet.peer, &fleet.harness, Message::Lookup(service)).await;
        }
        let held = |message: &Message| matches!(message, Message::CachedPrompts(_));
        let mine = (0..ENGINES).filter(|number| fleet.engines[*number].count() > 0);
        let told = timeout(Duration::from_secs(1), hear(&fleet.peer, held)).await;
        let mine: Vec<_> = mine.collect();
        match told {
            Ok(Message::CachedPrompts(reads)) => {
                let servers = mine.iter().map(|number| beacon::id(&name(*number)));
                let mut servers: Vec<_> = servers.collect();
                let mut read: Vec<_> = reads.iter().map(|read| read.server).collect();
                servers.sort_unstable();
                read.sort_unstable();
                assert_eq!(read, servers);
                assert!(reads.iter().all(|read| read.hash == PART));
            }
            other => assert!(mine.is_empty(), "{other:?} of {mine:?}"),
        }
        sleep(Duration::from_millis(50)).await;
        let counts = fleet.engines.iter().map(Backend::count);
        assert!(counts.max() <= Some(1));
        assert!(mine.len() <= ENGINES / 4, "{mine:?} were asked");
    });
}
