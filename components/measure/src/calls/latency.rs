//! Added latency and store calls of a kept call, at several latencies of the store.

use std::time::Duration;

use contract::{
    Record,
    record::State, //
};
use daemon::records::Records;
use fakes::platform::Fault;
use store::Client;
use tokio::time::{
    Instant,
    sleep, //
};

use super::desk::{
    Desk,
    PACE, //
};
use crate::table;

/// Latencies of the store, in milliseconds.
const STORE: [u64; 3] = [1, 5, 20];

#[derive(Clone, Copy)]
enum Variant {
    NoRecord,
    EntryRecords,
    SidecarRecords,
}

const VARIANTS: [Variant; 3] = [
    Variant::NoRecord,
    Variant::EntryRecords,
    Variant::SidecarRecords,
];

impl Variant {
    fn name(self) -> &'static str {
        match self {
            Self::NoRecord => "no record",
            Self::EntryRecords => "record by the entry before sending",
            Self::SidecarRecords => "record by the sidecar (this system)",
        }
    }
}

pub(super) async fn print(calls: usize) {
    let mut rows = Vec::new();
    for store in STORE {
        let mut without = Duration::ZERO;
        for variant in VARIANTS {
            let desk = Desk::open().await;
            desk.store(Fault {
                slow_ms: Some(store),
                ..Fault::default()
            });
            let (times, cost) = measure(&desk, variant, calls).await;
            let middle = times[times.len() / 2];
            if matches!(variant, Variant::NoRecord) {
                without = middle;
            }
            rows.push(vec![
                store.to_string(),
                variant.name().into(),
                millis(middle),
                millis(times[times.len() * 99 / 100]),
                millis(middle.saturating_sub(without)),
                format!("{cost:.2}"),
            ]);
        }
    }
    let heading = [
        "store ms",
        "variant",
        "median ms",
        "99th ms",
        "added ms (median)",
        "store calls a call",
    ];
    table::print(&heading, &rows);
}

/// Latencies in order, and store calls a call, without watches.
async fn measure(desk: &Desk, variant: Variant, calls: usize) -> (Vec<Duration>, f64) {
    let address = format!("http://{}", desk.0.platform.address());
    let client = Client::new(&address, Duration::from_secs(2));
    let records = Records::new(client.expect("the address is a URL"));
    for entry in 0..2 {
        desk.deposit(entry, Some(&format!("warm-{entry}"))).await;
    }
    records.write("call/warm", 0, &record()).await;
    settle(desk).await;
    let before = desk.0.platform.counts();
    let mut times = Vec::new();
    for number in 0..calls {
        let begun = Instant::now();
        let key = format!("k{number}");
        let told = match variant {
            Variant::NoRecord => desk.deposit(0, None).await,
            Variant::SidecarRecords => desk.deposit(0, Some(&key)).await,
            Variant::EntryRecords => {
                records.write(&format!("call/{key}"), 0, &record()).await;
                desk.deposit(0, None).await
            }
        };
        assert_eq!(told.run, "ran", "a call without a fault runs");
        times.push(begun.elapsed());
    }
    settle(desk).await;
    let after = desk.0.platform.counts();
    let cost = after.reads + after.writes - before.reads - before.writes;
    times.sort();
    (times, cost as f64 / calls as f64)
}

/// Waits until the store is asked for nothing more.
async fn settle(desk: &Desk) {
    loop {
        let before = desk.0.platform.counts().writes;
        sleep(PACE * 100).await;
        if desk.0.platform.counts().writes == before {
            return;
        }
    }
}

fn record() -> Record {
    Record {
        state: State::Forwarding { nonce: 1 },
        digest: String::new(),
        server: String::new(),
    }
}

fn millis(time: Duration) -> String {
    format!("{:.2}", time.as_secs_f64() * 1e3)
}
