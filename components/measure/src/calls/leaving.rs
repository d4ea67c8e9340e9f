//! Time from a leaving sign to the last new work at the host that leaves.

use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use tokio::time::{
    Instant,
    sleep, //
};

use super::desk::{
    Desk,
    PACE, //
};
use crate::table;

/// How long new work is watched for after the sign.
const WATCHED: Duration = Duration::from_secs(4);

/// Pause between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(2);

#[derive(Clone, Copy)]
enum Sign {
    Sidecar,
    List,
    Both,
    WrongList,
}

const SIGNS: [Sign; 4] = [Sign::Sidecar, Sign::List, Sign::Both, Sign::WrongList];

impl Sign {
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
    for sign in SIGNS {
        let mut times = Vec::new();
        let mut failed = 0;
        for _ in 0..runs {
            let (time, failures) = measure(sign).await;
            times.push(time);
            failed += failures;
        }
        times.sort();
        rows.push(vec![
            sign.name().into(),
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

/// Time of the last call that began at the leaving replica, and calls that failed.
async fn measure(sign: Sign) -> (Duration, usize) {
    let desk = Desk::open().await;
    for entry in 0..2 {
        desk.deposit(entry, None).await;
    }
    let address = format!("http://{}/hosts", desk.0.platform.address());
    let begun = Instant::now();
    if matches!(sign, Sign::Sidecar | Sign::Both) {
        desk.0.sidecars[0].stop();
    }
    if matches!(sign, Sign::List | Sign::Both) {
        list(&address, true).await;
    }
    if matches!(sign, Sign::WrongList) {
        list(&address, false).await;
    }
    let mut last = Duration::ZERO;
    let mut failed = 0;
    let mut seen = desk.0.services[0].calls().len();
    while begun.elapsed() < WATCHED {
        let pair = [desk.send(0, None), desk.send(1, None)];
        for told in pair {
            let told = told.await.expect("no task panics");
            failed += usize::from(told.run != "ran");
        }
        let now = desk.0.services[0].calls().len();
        if now > seen {
            seen = now;
            last = begun.elapsed();
        }
        sleep(PAUSE.max(PACE)).await;
    }
    (last, failed)
}

/// Makes the list say that the first replica leaves, or makes it empty.
async fn list(address: &str, leaving: bool) {
    let client = Client::new();
    let answer = client.get(address).send().await.expect("the list is there");
    let mut list: Value = answer.json().await.expect("the list is JSON");
    let hosts = list["hosts"].as_array_mut().expect("the list has hosts");
    if !leaving {
        hosts.clear();
    }
    for host in hosts {
        if host["name"] == "ledger-0" {
            host["state"] = "leaving".into();
        }
    }
    let put = client.put(address).body(list.to_string()).send().await;
    put.expect("the list is taken");
}
