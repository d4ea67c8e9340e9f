//! `medlarhatch demo`: the main job on stand-ins in one process.

use std::{
    io::Write,
    time::Duration, //
};

use fakes::engine::{
    self,
    Settings, //
};
use serde_json::json;
use tokio::time::Instant;
use trial::{
    Trial,
    stream::Stream, //
};

use crate::{
    cli,
    messages::Failure, //
};

/// The demo's document: one model with one version on two replicas.
const DOCUMENT: &str = "\
environment: production
services:
  - name: draft
    kind: engine
    model: m
    versions:
      - {name: v1, servers: ['draft-*']}
routes:
  - {name: letters, match: {path: /v1/}, service: draft, version: v1}
";

const PROMPT: &str = "Write the allocation letter for the hostel at the old mill.";
const SEED: u64 = 7;

/// Time between two tokens of the demo's engines.
const BETWEEN: Duration = Duration::from_millis(40);

/// Streams an answer, kills its engine halfway, and checks that the answer is whole.
pub async fn run(args: cli::Demo) -> Result<(), Failure> {
    let trial = start().await.map_err(failed)?;
    println!("Two engines, a sidecar beside each, one entry. The answer streams:\n");
    let seen = stream(&trial, args.tokens).await.map_err(failed)?;
    let length = engine::answer_length(PROMPT, SEED, args.tokens);
    let known: Vec<String> = (0..length)
        .map(|index| engine::token(PROMPT, SEED, "v1", index))
        .collect();
    if seen.tokens != known {
        return Err(Failure::Failed("the answer is not whole".into()));
    }
    let generated: u64 = trial
        .engines
        .iter()
        .flat_map(engine::Engine::runs)
        .map(|run| run.sent)
        .sum();
    println!(
        "\n\nwhole: {} tokens, none missing, none repeated",
        seen.tokens.len()
    );
    println!("killed after token {}", seen.killed_after);
    println!("resume latency: {} ms", seen.resume.as_millis());
    println!(
        "extra tokens generated: {}",
        generated.saturating_sub(length)
    );
    Ok(())
}

/// What the caller saw.
struct Seen {
    tokens: Vec<String>,
    killed_after: usize,
    /// Time from the kill to the next token.
    resume: Duration,
}

async fn start() -> Result<Trial, trial::Error> {
    let mut trial = Trial::start().await?;
    for name in ["draft-a", "draft-b"] {
        let settings = Settings {
            token_interval: BETWEEN,
            version: "v1".into(),
            model: "m".into(),
            ..Settings::default()
        };
        trial.start_engine(name, "dc1", settings).await?;
    }
    trial.start_entry("entry-a", "dc1").await?;
    let revision = trial.put_document(0, "production", DOCUMENT).await?;
    trial.wait_ready(revision).await?;
    Ok(trial)
}

async fn stream(trial: &Trial, tokens: u64) -> Result<Seen, trial::Error> {
    let body = json!({
        "model": "m", "prompt": PROMPT, "max_tokens": tokens, "seed": SEED, "stream": true,
    });
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let response = trial.client.post(address).json(&body).send().await?;
    let mut stream = Stream::new(response);
    let mut seen = Seen {
        tokens: Vec::new(),
        killed_after: 0,
        resume: Duration::ZERO,
    };
    let mut killed: Option<Instant> = None;
    while let Some(event) = stream.next().await? {
        let Some(token) = event.token() else {
            continue;
        };
        if let Some(at) = killed.take() {
            seen.resume = at.elapsed();
        }
        print!("{token}");
        // Progress that can't be shown is no reason to stop.
        let _ = std::io::stdout().flush();
        seen.tokens.push(token);
        if seen.killed_after == 0 && seen.tokens.len() as u64 == tokens / 2 {
            seen.killed_after = seen.tokens.len();
            kill(trial);
            killed = Some(Instant::now());
            print!(" [engine killed]");
        }
    }
    Ok(seen)
}

/// Kills the engine that generates.
fn kill(trial: &Trial) {
    for engine in &trial.engines {
        if engine
            .runs()
            .iter()
            .any(|run| run.state == engine::State::Running)
        {
            engine.stop();
        }
    }
}

fn failed(error: trial::Error) -> Failure {
    Failure::Failed(error.to_string())
}
