//! Datagrams that are changed on the way, or come from something else.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use names::Clock;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use spread::beacon::{
    Age,
    Beacon,
    Changes,
    Echo,
    Incarnation,
    Load,
    Message,
    Reassembly,
    Table,
    split, //
};

const OWN: Incarnation = 7;

const NOW: Clock = Duration::from_secs(1000);

/// Number of datagrams.
const DATAGRAMS: usize = 50_000;

fn messages() -> Vec<Message> {
    let beacon = Beacon {
        host: "front-a-1".into(),
        incarnation: 9,
        sequence: 3,
        loads: vec![
            Load {
                server: 1,
                requests: 2,
                tokens: 3,
                prefill_tokens: 4
            };
            4
        ],
        addresses: vec![SocketAddr::from(([10, 1, 0, 1], 7000))],
        freshness: Some(Age {
            revision: 7,
            age_ms: 30,
        }),
        echo: Some(Echo {
            incarnation: OWN,
            timestamp: 5,
            delay_ms: 6,
        }),
        ..Beacon::default()
    };
    let changes = Changes {
        from: 1,
        to: 9,
        items: vec![(3, vec![1; 5000])],
    };
    let mut messages = vec![Message::Beacon(Box::new(beacon)), Message::Lookup(4)];
    messages.extend(split(changes));
    messages
}

/// Guards against a process that ends by a datagram that it reads.
#[test]
fn no_datagram_ends_a_reader() {
    let mut rng = StdRng::seed_from_u64(1);
    let from = SocketAddr::from(([127, 0, 0, 1], 7000));
    let valid: Vec<Vec<u8>> = messages()
        .iter()
        .map(|message| postcard::to_stdvec(message).expect("it is encoded"))
        .collect();
    let mut table = Table::new(OWN, Vec::new());
    let mut reassembly = Reassembly::default();
    let mut read = 0;
    for number in 0..DATAGRAMS {
        let mut bytes = valid[number % valid.len()].clone();
        for _ in 0..rng.random_range(0..6) {
            let index = rng.random_range(0..bytes.len());
            bytes[index] = match rng.random_bool(0.3) {
                true => 0xff,
                false => rng.random(),
            };
        }
        bytes.truncate(rng.random_range(bytes.len() / 2..=bytes.len()));
        let Ok(message) = postcard::from_bytes::<Message>(&bytes) else {
            continue;
        };
        read += 1;
        match message {
            Message::Beacon(beacon) => {
                let _ = beacon.claim(OWN);
                let _ = table.receive(NOW, from, &beacon);
                let _ = table.received_for(&beacon);
                let _ = table.introduction(NOW, from);
                let _ = table.expire(NOW + Duration::from_millis(number as u64));
            }
            Message::Fragment(fragment) => {
                let _: Option<Changes> = reassembly.add(from, fragment);
            }
            Message::Introduction(addresses) => table.add_introduced(NOW, from, &addresses),
            _ => {}
        }
    }
    assert!(read > DATAGRAMS / 20, "{read}");
}
