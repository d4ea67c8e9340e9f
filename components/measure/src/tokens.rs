//! Overhead of streaming tokens through an entry and a sidecar: processor time per token, and added
//! latency.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use argh::FromArgs;
use fakes::{
    engine::{
        self,
        Engine, //
    },
    platform::{
        self,
        Platform, //
    },
};
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    },
};
use trial::stream::Stream;

use crate::{
    process::Launcher,
    table, //
};

/// Measures the processor time per token in the entry and the sidecar, and the latency that they
/// add.
#[derive(FromArgs)]
#[argh(subcommand, name = "tokens")]
pub struct Args {
    /// number of concurrent streams; may be given more than once (default: 1, 32, 128)
    #[argh(option)]
    streams: Vec<usize>,
    /// tokens per stream (default 400)
    #[argh(option, default = "400")]
    tokens: u64,
    /// time between tokens in milliseconds (default 20)
    #[argh(option, default = "20")]
    between: u64,
}

const DOCUMENT: &str = "\
environment: production
services:
  - {name: draft, kind: engine, model: m, versions: [{name: v1, servers: ['*']}]}
routes:
  - {name: letters, service: draft, version: v1}
";

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Prints the table.
pub async fn run(args: Args) -> io::Result<()> {
    let stream_counts = if args.streams.is_empty() {
        vec![1, 32, 128]
    } else {
        args.streams
    };
    let between = Duration::from_millis(args.between);
    let mut rows = Vec::new();
    for streams in stream_counts {
        rows.push(measure_streams(streams, args.tokens, between).await?);
    }
    table::print(
        &[
            "streams",
            "tokens/s",
            "entry us/token",
            "sidecar us/token",
            "tokens/s a core, both",
            "gap p50 alone ms",
            "gap p50 ms",
            "gap p99 alone ms",
            "gap p99 ms",
            "entry MB",
            "sidecar MB",
        ],
        &rows,
    );
    Ok(())
}

/// Token timings of several concurrent streams.
struct Timings {
    /// Sorted gaps between the tokens of each stream.
    gaps: Vec<Duration>,
    tokens: u64,
    took: Duration,
}

/// Measures this number of concurrent streams; returns the row of the table.
async fn measure_streams(
    streams: usize,
    tokens: u64,
    token_interval: Duration,
) -> io::Result<Vec<String>> {
    let launcher = Launcher::new()?;
    let platform = Platform::start(platform::Settings::default()).await?;
    let engine = Engine::start(engine::Settings {
        token_interval,
        capacity: streams as u32 * 2,
        ..engine::Settings::default()
    })
    .await?;
    let address = engine.address();
    let engine_timings =
        read_streams(streams, tokens, format!("http://{address}/generate"), true).await?;

    let mut settings = trial::trial::sidecar_settings("draft-a", "dc1", platform.address());
    settings.server.address = format!("http://{address}");
    settings.limits.runs = streams * 2;
    let sidecar = launcher.sidecar(&settings)?;
    let entry = launcher.entry(&trial::trial::entry_settings(
        "entry-a",
        "dc1",
        platform.address(),
    ))?;
    platform.set_hosts(vec![sidecar_host("draft-a", sidecar.address("links")?)]);
    wait_until_ready(&format!("http://{}", entry.address("operators")?)).await?;
    let before = (entry.usage()?, sidecar.usage()?);
    let url = format!("http://{}/v1/completions", entry.address("callers")?);
    let entry_timings = read_streams(streams, tokens, url, false).await?;
    let after = (entry.usage()?, sidecar.usage()?);

    let cost = |spent: Duration| spent.as_secs_f64() * 1e6 / entry_timings.tokens as f64;
    let entry_cost = cost(after.0.cpu_time - before.0.cpu_time);
    let sidecar_cost = cost(after.1.cpu_time - before.1.cpu_time);
    let tokens_per_core_second = 1e6 / (entry_cost + sidecar_cost).max(f64::MIN_POSITIVE);
    Ok(vec![
        streams.to_string(),
        format!(
            "{:.0}",
            entry_timings.tokens as f64 / entry_timings.took.as_secs_f64()
        ),
        format!("{entry_cost:.1}"),
        format!("{sidecar_cost:.1}"),
        format!("{tokens_per_core_second:.0}"),
        percentile_ms(&engine_timings.gaps, 0.5),
        percentile_ms(&entry_timings.gaps, 0.5),
        percentile_ms(&engine_timings.gaps, 0.99),
        percentile_ms(&entry_timings.gaps, 0.99),
        format!("{:.1}", after.0.peak_resident_bytes as f64 / 1e6),
        format!("{:.1}", after.1.peak_resident_bytes as f64 / 1e6),
    ])
}

/// Returns the host list entry of a sidecar.
pub fn sidecar_host(host: &str, address: SocketAddr) -> platform::Host {
    platform::Host {
        name: host.into(),
        data_centre: "dc1".into(),
        region: "r1".into(),
        role: platform::Role::Sidecar,
        address,
        state: platform::State::Live,
    }
}

/// Writes the document and waits until the entry serves it and has a linked server.
pub async fn wait_until_ready(operators: &str) -> io::Result<()> {
    let client = reqwest::Client::new();
    let request = client
        .put(format!("{operators}/environments/production"))
        .body(DOCUMENT);
    request.send().await.map_err(io::Error::other)?;
    loop {
        let status = client.get(format!("{operators}/status")).send().await;
        let status: serde_json::Value = match status {
            Ok(status) => status.json().await.map_err(io::Error::other)?,
            Err(error) => return Err(io::Error::other(error)),
        };
        let linked = status["servers"]
            .as_array()
            .is_some_and(|servers| !servers.is_empty());
        if linked && status["revision"].as_u64() > Some(0) {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads concurrent streams, directly from the engine or through an entry.
async fn read_streams(
    streams: usize,
    tokens: u64,
    url: String,
    direct: bool,
) -> io::Result<Timings> {
    let client = reqwest::Client::new();
    let mut tasks = JoinSet::new();
    let begun = Instant::now();
    for number in 0..streams {
        let client = client.clone();
        let url = url.clone();
        tasks.spawn(async move { read_stream(&client, &url, number, tokens, direct).await });
    }
    let mut timings = Timings {
        gaps: Vec::new(),
        tokens: 0,
        took: Duration::ZERO,
    };
    while let Some(arrivals) = tasks.join_next().await {
        let arrivals = arrivals.map_err(io::Error::other)??;
        timings.tokens += arrivals.len() as u64;
        timings
            .gaps
            .extend(arrivals.windows(2).map(|pair| pair[1] - pair[0]));
    }
    timings.took = begun.elapsed();
    timings.gaps.sort();
    Ok(timings)
}

/// Reads one stream; returns the arrival times of its tokens.
async fn read_stream(
    client: &reqwest::Client,
    url: &str,
    number: usize,
    tokens: u64,
    direct: bool,
) -> io::Result<Vec<Instant>> {
    let prompt = format!("Summary {number} by farm.");
    let body = if direct {
        json!({
            "id": format!("direct/{number}/1"), "model": "m", "version": "v1", "prompt": prompt,
            "max_tokens": tokens, "seed": number, "temperature": 1.0, "priority": 1,
            "continue_from": [],
        })
    } else {
        json!({
            "model": "m", "prompt": prompt, "max_tokens": tokens, "seed": number, "stream": true,
        })
    };
    let mut response = client
        .post(url)
        .json(&body)
        .send()
        .await
        .map_err(io::Error::other)?;
    let mut arrivals = Vec::new();
    if direct {
        while let Some(chunk) = response.chunk().await.map_err(io::Error::other)? {
            let lines = chunk.iter().filter(|byte| **byte == b'\n').count();
            arrivals.extend(std::iter::repeat_n(Instant::now(), lines));
        }
        // The last line ends the stream and holds no token.
        arrivals.pop();
        return Ok(arrivals);
    }
    let mut stream = Stream::new(response);
    while let Some(event) = stream.next().await.map_err(io::Error::other)? {
        if event.token().is_some() {
            arrivals.extend(event.received_at);
        }
    }
    Ok(arrivals)
}

/// Formats a percentile of sorted durations in milliseconds.
fn percentile_ms(sorted: &[Duration], share: f64) -> String {
    let index = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
    let value = sorted.get(index).copied().unwrap_or_default();
    format!("{:.2}", value.as_secs_f64() * 1e3)
}
