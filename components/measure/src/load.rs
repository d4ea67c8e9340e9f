//! Goodput against load: a complete system in one process, with an open loop of callers that send
//! at a fixed rate regardless of earlier responses.

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

/// Measures goodput against load, with a complete system on fake engines in one process.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Args {
    /// number of engines (default 6)
    #[argh(option, default = "6")]
    engines: usize,
    /// duration in seconds for each load (default 15)
    #[argh(option, default = "15")]
    seconds: u64,
    /// load as a multiple of the capacity; may be given more than once (default: 0.5, 1, 3)
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

/// Number of concurrent runs that an engine serves at full speed.
const ENGINE_CAPACITY: u32 = 8;

/// Tokens of an answer, and an engine's times to the first token and between tokens.
const ANSWER_TOKENS: u64 = 40;
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(60);
const TOKEN_INTERVAL: Duration = Duration::from_millis(25);

/// Service level of an answer in time: time to the first token, and mean time between tokens.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1900);
const TOKEN_INTERVAL_TARGET: Duration = Duration::from_millis(54);

/// Answers per second that the engines can generate.
fn answers_per_second(engines: usize) -> f64 {
    let answer_time = FIRST_TOKEN_TIME + TOKEN_INTERVAL * ANSWER_TOKENS as u32;
    engines as f64 * f64::from(ENGINE_CAPACITY) / answer_time.as_secs_f64()
}

/// Outcome of one request.
enum Outcome {
    /// A complete answer, with the time to the first token and the mean time between tokens.
    Complete(Duration, Duration),
    /// A refusal with status 429 or 503, with the time until it arrived.
    Refused(Duration),
    /// Any other response, an incomplete answer, or no response.
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
            measure_load(args.engines, load, args.seconds)
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

/// Starts the system and waits until it is ready.
async fn start(engines: usize) -> Result<Trial, trial::Error> {
    let mut trial = Trial::start().await?;
    for number in 0..engines {
        let settings = Settings {
            capacity: ENGINE_CAPACITY,
            first_token: FIRST_TOKEN_TIME,
            token_interval: TOKEN_INTERVAL,
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

/// Measures one load; returns the row of the table.
async fn measure_load(
    engines: usize,
    load: f64,
    seconds: u64,
) -> Result<Vec<String>, trial::Error> {
    let trial = start(engines).await?;
    let rate = answers_per_second(engines) * load;
    let count = (rate * seconds as f64) as usize;
    let begun = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..count {
        sleep_until(begun + Duration::from_secs_f64(number as f64 / rate)).await;
        let address = format!("{}/v1/completions", trial.callers_url(number % 2));
        let client = trial.client.clone();
        tasks.spawn(async move { send_request(&client, &address, number).await });
    }
    let (mut first_times, mut refusal_times) = (Vec::new(), Vec::new());
    let (mut in_time, mut late, mut failed) = (0, 0, 0);
    while let Some(outcome) = tasks.join_next().await {
        match outcome.unwrap_or(Outcome::Failed) {
            Outcome::Complete(time, between) => {
                first_times.push(time);
                if time <= FIRST_TOKEN_TARGET && between <= TOKEN_INTERVAL_TARGET {
                    in_time += 1;
                } else {
                    late += 1;
                }
            }
            Outcome::Refused(time) => refusal_times.push(time),
            Outcome::Failed => failed += 1,
        }
    }
    first_times.sort();
    refusal_times.sort();
    Ok(vec![
        format!("{load}"),
        format!("{rate:.0}"),
        format!("{:.1}", f64::from(in_time) / seconds as f64),
        late.to_string(),
        refusal_times.len().to_string(),
        failed.to_string(),
        percentile_ms(&first_times, 0.5),
        percentile_ms(&first_times, 0.99),
        percentile_ms(&refusal_times, 0.99),
    ])
}

/// Sends a request and reads the whole response.
async fn send_request(client: &reqwest::Client, address: &str, number: usize) -> Outcome {
    let body = json!({
        "model": "m", "prompt": format!("Order sheet {number}"), "max_tokens": ANSWER_TOKENS,
        "seed": number, "stream": true,
    });
    let begun = Instant::now();
    let Ok(response) = client.post(address).json(&body).send().await else {
        return Outcome::Failed;
    };
    if response.status() == StatusCode::TOO_MANY_REQUESTS
        || response.status() == StatusCode::SERVICE_UNAVAILABLE
    {
        return Outcome::Refused(begun.elapsed());
    }
    let mut stream = Stream::new(response);
    let mut arrivals = Vec::new();
    let mut complete = false;
    while let Ok(Some(event)) = stream.next().await {
        complete = complete || event.finish_reason().is_some();
        if event.token().is_some() {
            arrivals.extend(event.received_at);
        }
    }
    match (complete, arrivals.first(), arrivals.last()) {
        (true, Some(first), Some(last)) => {
            let between = (*last - *first) / arrivals.len() as u32;
            Outcome::Complete(*first - begun, between)
        }
        _ => Outcome::Failed,
    }
}

/// Formats a percentile of sorted durations in milliseconds.
fn percentile_ms(sorted: &[Duration], share: f64) -> String {
    let index = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
    let value = sorted.get(index).copied().unwrap_or_default();
    format!("{:.0}", value.as_secs_f64() * 1e3)
}
