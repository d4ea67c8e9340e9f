//! Goodput against load: a whole system in one process, callers that come at a fixed rate whatever
//! becomes of those before them.

use std::{
    io,
    time::Duration, //
};

use argh::FromArgs;
use fakes::engine::Settings;
use reqwest::StatusCode;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep_until, //
    },
};
use trial::{
    Trial,
    stream::Stream, //
};

use crate::table;

/// Goodput against load, over a whole system on stand-ins in one process.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Args {
    /// engines
    #[argh(option, default = "6")]
    engines: usize,
    /// seconds for each load
    #[argh(option, default = "15")]
    seconds: u64,
    /// loads as multiples of the capacity
    #[argh(option)]
    loads: Vec<f64>,
}

const DOCUMENT: &str = "\
environment: production
services:
  - {name: draft, kind: engine, model: m, versions: [{name: v1, servers: ['*']}]}
routes:
  - {name: letters, service: draft, version: v1}
";

/// Runs that an engine does at full speed.
const CAPACITY: u32 = 8;

/// Tokens of an answer, and the times of the engines.
const TOKENS: u64 = 40;
const FIRST: Duration = Duration::from_millis(60);
const BETWEEN: Duration = Duration::from_millis(25);

/// The service level: time to the first token, and mean time between tokens.
const FIRST_LEVEL: Duration = Duration::from_millis(1900);
const BETWEEN_LEVEL: Duration = Duration::from_millis(54);

/// Answers a second that the engines can give.
fn capacity(engines: usize) -> f64 {
    let each = FIRST + BETWEEN * TOKENS as u32;
    engines as f64 * f64::from(CAPACITY) / each.as_secs_f64()
}

/// What one caller got.
enum Got {
    /// A whole answer, with the time to the first token and the mean time between tokens.
    Whole(Duration, Duration),
    /// A refusal with a time to come back, after this time.
    Refused(Duration),
    /// Anything else.
    Failed,
}

/// Prints the table.
pub async fn run(args: Args) -> io::Result<()> {
    let loads = if args.loads.is_empty() {
        vec![0.5, 1.0, 3.0]
    } else {
        args.loads
    };
    let mut rows = Vec::new();
    for load in loads {
        rows.push(
            one(args.engines, load, args.seconds)
                .await
                .map_err(io::Error::other)?,
        );
    }
    table::print(
        &[
            "load",
            "asked/s",
            "good/s",
            "late",
            "refused",
            "failed",
            "first p50 ms",
            "first p99 ms",
            "refusal p99 ms",
        ],
        &rows,
    );
    Ok(())
}

async fn start(engines: usize) -> Result<Trial, trial::Error> {
    let mut trial = Trial::start().await?;
    for number in 0..engines {
        let settings = Settings {
            capacity: CAPACITY,
            first_token: FIRST,
            token_interval: BETWEEN,
            ..Settings::default()
        };
        trial
            .start_engine(&format!("draft-{number}"), "dc1", settings)
            .await?;
    }
    for name in ["entry-a", "entry-b"] {
        trial.start_entry(name, "dc1").await?;
    }
    let revision = trial.put_document(0, "production", DOCUMENT).await?;
    trial.wait_ready(revision).await?;
    Ok(trial)
}

async fn one(engines: usize, load: f64, seconds: u64) -> Result<Vec<String>, trial::Error> {
    let trial = start(engines).await?;
    let rate = capacity(engines) * load;
    let count = (rate * seconds as f64) as usize;
    let begun = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..count {
        sleep_until(begun + Duration::from_secs_f64(number as f64 / rate)).await;
        let address = format!("{}/v1/completions", trial.callers_url(number % 2));
        let client = trial.client.clone();
        tasks.spawn(async move { ask(&client, &address, number).await });
    }
    let (mut first, mut refused) = (Vec::new(), Vec::new());
    let (mut good, mut late, mut failed) = (0, 0, 0);
    while let Some(got) = tasks.join_next().await {
        match got.unwrap_or(Got::Failed) {
            Got::Whole(time, between) => {
                first.push(time);
                if time <= FIRST_LEVEL && between <= BETWEEN_LEVEL {
                    good += 1;
                } else {
                    late += 1;
                }
            }
            Got::Refused(time) => refused.push(time),
            Got::Failed => failed += 1,
        }
    }
    first.sort();
    refused.sort();
    Ok(vec![
        format!("{load}"),
        format!("{rate:.0}"),
        format!("{:.1}", f64::from(good) / seconds as f64),
        late.to_string(),
        refused.len().to_string(),
        failed.to_string(),
        at(&first, 0.5),
        at(&first, 0.99),
        at(&refused, 0.99),
    ])
}

async fn ask(client: &reqwest::Client, address: &str, number: usize) -> Got {
    let body = json!({
        "model": "m", "prompt": format!("Order sheet {number}"), "max_tokens": TOKENS,
        "seed": number, "stream": true,
    });
    let begun = Instant::now();
    let Ok(response) = client.post(address).json(&body).send().await else {
        return Got::Failed;
    };
    if response.status() == StatusCode::TOO_MANY_REQUESTS
        || response.status() == StatusCode::SERVICE_UNAVAILABLE
    {
        return Got::Refused(begun.elapsed());
    }
    let mut stream = Stream::new(response);
    let mut arrivals = Vec::new();
    let mut whole = false;
    while let Ok(Some(event)) = stream.next().await {
        whole = whole || event.finish_reason().is_some();
        if event.token().is_some() {
            arrivals.extend(event.received_at);
        }
    }
    match (whole, arrivals.first(), arrivals.last()) {
        (true, Some(first), Some(last)) => {
            let between = (*last - *first) / arrivals.len() as u32;
            Got::Whole(*first - begun, between)
        }
        _ => Got::Failed,
    }
}

fn at(sorted: &[Duration], share: f64) -> String {
    let index = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
    let value = sorted.get(index).copied().unwrap_or_default();
    format!("{:.0}", value.as_secs_f64() * 1e3)
}
