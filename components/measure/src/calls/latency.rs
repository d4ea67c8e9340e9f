//! Added latency and store calls of a recorded call, at several latencies of the store.

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

use super::fixture::{
    Fixture,
    POLL_INTERVAL, //
};
use crate::table;

/// Latencies of the store, in milliseconds.
const STORE_LATENCIES_MS: [u64; 3] = [1, 5, 20];

/// Which process writes the call record.
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
    for latency_ms in STORE_LATENCIES_MS {
        let mut baseline = Duration::ZERO;
        for variant in VARIANTS {
            let fixture = Fixture::start().await;
            fixture.inject_store_fault(Fault {
                slow_ms: Some(latency_ms),
                ..Fault::default()
            });
            let (times, store_calls) = measure(&fixture, variant, calls).await;
            let median = times[times.len() / 2];
            if matches!(variant, Variant::NoRecord) {
                baseline = median;
            }
            rows.push(vec![
                latency_ms.to_string(),
                variant.name().into(),
                format_ms(median),
                format_ms(times[times.len() * 99 / 100]),
                format_ms(median.saturating_sub(baseline)),
                format!("{store_calls:.2}"),
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

/// Returns the sorted latencies, and the store calls per call without watches.
async fn measure(fixture: &Fixture, variant: Variant, calls: usize) -> (Vec<Duration>, f64) {
    let address = format!("http://{}", fixture.0.platform.address());
    let client = Client::new(&address, Duration::from_secs(2));
    let records = Records::new(client.expect("the address is a URL"));
    for entry in 0..2 {
        fixture.deposit(entry, Some(&format!("warm-{entry}"))).await;
    }
    records.write("call/warm", 0, &record()).await;
    wait_until_idle(fixture).await;
    let before = fixture.0.platform.counts();
    let mut times = Vec::new();
    for number in 0..calls {
        let begun = Instant::now();
        let key = format!("k{number}");
        let result = match variant {
            Variant::NoRecord => fixture.deposit(0, None).await,
            Variant::SidecarRecords => fixture.deposit(0, Some(&key)).await,
            Variant::EntryRecords => {
                records.write(&format!("call/{key}"), 0, &record()).await;
                fixture.deposit(0, None).await
            }
        };
        assert_eq!(result.outcome, "ran", "a call without a fault runs");
        times.push(begun.elapsed());
    }
    wait_until_idle(fixture).await;
    let after = fixture.0.platform.counts();
    let store_calls = after.reads + after.writes - before.reads - before.writes;
    times.sort();
    (times, store_calls as f64 / calls as f64)
}

/// Waits until the store receives no more writes.
async fn wait_until_idle(fixture: &Fixture) {
    loop {
        let before = fixture.0.platform.counts().writes;
        sleep(POLL_INTERVAL * 100).await;
        if fixture.0.platform.counts().writes == before {
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

fn format_ms(time: Duration) -> String {
    format!("{:.2}", time.as_secs_f64() * 1e3)
}
