//! Time from a leaving signal to the last new call at the leaving host.

use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use tokio::time::{
    Instant,
    sleep, //
};

use super::fixture::{
    Fixture,
    POLL_INTERVAL, //
};
use crate::table;

/// Time for which new calls are observed after the signal.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Pause between two calls of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(2);

/// Source of the signal that a host leaves.
#[derive(Clone, Copy)]
enum Signal {
    Sidecar,
    List,
    Both,
    WrongList,
}

const SIGNALS: [Signal; 4] = [
    Signal::Sidecar,
    Signal::List,
    Signal::Both,
    Signal::WrongList,
];

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Sidecar => "the sidecar's own",
            Self::List => "the platform's list alone",
            Self::Both => "both",
            Self::WrongList => "an empty list (no host leaves)",
        }
    }
}

pub(super) async fn print(runs: usize) {
    let mut rows = Vec::new();
    for signal in SIGNALS {
        let mut times = Vec::new();
        let mut failed = 0;
        for _ in 0..runs {
            let (time, failures) = measure(signal).await;
            times.push(time);
            failed += failures;
        }
        times.sort();
        rows.push(vec![
            signal.name().into(),
            format!("{:.0}", times[times.len() / 2].as_secs_f64() * 1e3),
            format!("{:.0}", times[times.len() - 1].as_secs_f64() * 1e3),
            failed.to_string(),
        ]);
    }
    let heading = [
        "sign",
        "last new work, median ms",
        "longest ms",
        "calls not run",
    ];
    table::print(&heading, &rows);
}

/// Returns the time from the signal to the last new call at the leaving replica, and the number of
/// failed calls.
async fn measure(signal: Signal) -> (Duration, usize) {
    let fixture = Fixture::start().await;
    for entry in 0..2 {
        fixture.deposit(entry, None).await;
    }
    let address = format!("http://{}/hosts", fixture.0.platform.address());
    let begun = Instant::now();
    if matches!(signal, Signal::Sidecar | Signal::Both) {
        fixture.0.sidecars[0].stop();
    }
    if matches!(signal, Signal::List | Signal::Both) {
        update_host_list(&address, true).await;
    }
    if matches!(signal, Signal::WrongList) {
        update_host_list(&address, false).await;
    }
    let mut last = Duration::ZERO;
    let mut failed = 0;
    let mut calls_before = fixture.0.services[0].calls().len();
    while begun.elapsed() < OBSERVATION_TIME {
        let calls = [fixture.send(0, None), fixture.send(1, None)];
        for result in calls {
            let result = result.await.expect("no task panics");
            failed += usize::from(result.outcome != "ran");
        }
        let now = fixture.0.services[0].calls().len();
        if now > calls_before {
            calls_before = now;
            last = begun.elapsed();
        }
        sleep(CALL_PAUSE.max(POLL_INTERVAL)).await;
    }
    (last, failed)
}

/// Marks the first replica as leaving in the platform's host list, or empties the list.
async fn update_host_list(address: &str, leaving: bool) {
    let client = Client::new();
    let response = client
        .get(address)
        .send()
        .await
        .expect("the platform returns the list");
    let mut list: Value = response.json().await.expect("the list is JSON");
    let hosts = list["hosts"].as_array_mut().expect("the list has hosts");
    if !leaving {
        hosts.clear();
    }
    for host in hosts {
        if host["name"] == "ledger-0" {
            host["state"] = "leaving".into();
        }
    }
    let request = client.put(address).body(list.to_string()).send().await;
    request.expect("the platform accepts the list");
}
