//! What token frames cost: processor time a token in the entry and the sidecar, and added latency.

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
    process::Bench,
    table, //
};

/// What token frames cost: processor time a token in the entry and the sidecar, and added latency.
#[derive(FromArgs)]
#[argh(subcommand, name = "tokens")]
pub struct Args {
    /// numbers of streams at once
    #[argh(option)]
    streams: Vec<usize>,
    /// tokens of each stream
    #[argh(option, default = "400")]
    tokens: u64,
    /// time between tokens in milliseconds
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

/// Pace at which conditions are looked at.
const PACE: Duration = Duration::from_millis(20);

/// Prints the table.
pub async fn run(args: Args) -> io::Result<()> {
    let numbers = if args.streams.is_empty() {
        vec![1, 32, 128]
    } else {
        args.streams
    };
    let between = Duration::from_millis(args.between);
    let mut rows = Vec::new();
    for number in numbers {
        rows.push(one(number, args.tokens, between).await?);
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

/// Gaps between tokens of some streams, sorted, and the tokens in all.
struct Seen {
    gaps: Vec<Duration>,
    tokens: u64,
    took: Duration,
}

async fn one(streams: usize, tokens: u64, token_interval: Duration) -> io::Result<Vec<String>> {
    let bench = Bench::new()?;
    let platform = Platform::start(platform::Settings::default()).await?;
    let engine = Engine::start(engine::Settings {
        token_interval,
        capacity: streams as u32 * 2,
        ..engine::Settings::default()
    })
    .await?;
    let address = engine.address();
    let alone = drive(streams, tokens, format!("http://{address}/generate"), true).await?;

    let mut settings = trial::trial::sidecar_settings("draft-a", "dc1", platform.address());
    settings.server.address = format!("http://{address}");
    settings.limits.runs = streams * 2;
    let sidecar = bench.sidecar(&settings)?;
    let entry = bench.entry(&trial::trial::entry_settings(
        "entry-a",
        "dc1",
        platform.address(),
    ))?;
    platform.set_hosts(vec![listed("draft-a", sidecar.address("links")?)]);
    ready(&format!("http://{}", entry.address("operators")?)).await?;
    let before = (entry.cost()?, sidecar.cost()?);
    let url = format!("http://{}/v1/completions", entry.address("callers")?);
    let through = drive(streams, tokens, url, false).await?;
    let after = (entry.cost()?, sidecar.cost()?);

    let cost = |spent: Duration| spent.as_secs_f64() * 1e6 / through.tokens as f64;
    let entry_cost = cost(after.0.processor - before.0.processor);
    let sidecar_cost = cost(after.1.processor - before.1.processor);
    let both = 1e6 / (entry_cost + sidecar_cost).max(f64::MIN_POSITIVE);
    Ok(vec![
        streams.to_string(),
        format!("{:.0}", through.tokens as f64 / through.took.as_secs_f64()),
        format!("{entry_cost:.1}"),
        format!("{sidecar_cost:.1}"),
        format!("{both:.0}"),
        at(&alone.gaps, 0.5),
        at(&through.gaps, 0.5),
        at(&alone.gaps, 0.99),
        at(&through.gaps, 0.99),
        format!("{:.1}", after.0.peak as f64 / 1e6),
        format!("{:.1}", after.1.peak as f64 / 1e6),
    ])
}

/// A sidecar's line in the host list.
pub fn listed(host: &str, address: SocketAddr) -> platform::Host {
    platform::Host {
        name: host.into(),
        data_centre: "dc1".into(),
        region: "r1".into(),
        role: platform::Role::Sidecar,
        address,
        state: platform::State::Live,
    }
}

/// Puts the document and waits until the entry serves it over a link.
pub async fn ready(operators: &str) -> io::Result<()> {
    let client = reqwest::Client::new();
    let put = client
        .put(format!("{operators}/environments/production"))
        .body(DOCUMENT);
    put.send().await.map_err(io::Error::other)?;
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
        sleep(PACE).await;
    }
}

/// Reads streams at once, from the engine itself or through an entry.
async fn drive(streams: usize, tokens: u64, url: String, direct: bool) -> io::Result<Seen> {
    let client = reqwest::Client::new();
    let mut tasks = JoinSet::new();
    let begun = Instant::now();
    for number in 0..streams {
        let client = client.clone();
        let url = url.clone();
        tasks.spawn(async move { read(&client, &url, number, tokens, direct).await });
    }
    let mut seen = Seen {
        gaps: Vec::new(),
        tokens: 0,
        took: Duration::ZERO,
    };
    while let Some(arrivals) = tasks.join_next().await {
        let arrivals = arrivals.map_err(io::Error::other)??;
        seen.tokens += arrivals.len() as u64;
        seen.gaps
            .extend(arrivals.windows(2).map(|pair| pair[1] - pair[0]));
    }
    seen.took = begun.elapsed();
    seen.gaps.sort();
    Ok(seen)
}

async fn read(
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
        // The last line is the end.
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

fn at(sorted: &[Duration], share: f64) -> String {
    let index = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
    let value = sorted.get(index).copied().unwrap_or_default();
    format!("{:.2}", value.as_secs_f64() * 1e3)
}
