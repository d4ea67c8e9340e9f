//! `medlarhatch demo`: streams an answer from fake engines in one process and kills the engine
//! halfway.

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

/// Document with one model, and one version on two engines.
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

/// Time between two tokens of an engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);

/// Streams an answer, kills its engine halfway, and checks that the answer is complete.
pub async fn run(args: cli::Demo) -> Result<(), Failure> {
    let trial = start().await.map_err(failure)?;
    println!("Two engines, each with a sidecar, and one entry. The answer streams:\n");
    let outcome = stream_answer(&trial, args.tokens).await.map_err(failure)?;
    let length = engine::answer_length(PROMPT, SEED, args.tokens);
    let expected: Vec<String> = (0..length)
        .map(|index| engine::token(PROMPT, SEED, "v1", index))
        .collect();
    if outcome.tokens != expected {
        return Err(Failure::Failed("the answer is incomplete or wrong".into()));
    }
    let generated: u64 = trial
        .engines
        .iter()
        .flat_map(engine::Engine::runs)
        .map(|run| run.sent)
        .sum();
    println!(
        "\n\nwhole: {} tokens, none missing, none repeated",
        outcome.tokens.len()
    );
    println!("killed after token {}", outcome.killed_after);
    println!("resume latency: {} ms", outcome.resume_latency.as_millis());
    println!(
        "extra tokens generated: {}",
        generated.saturating_sub(length)
    );
    Ok(())
}

/// Observations of the caller.
struct Outcome {
    tokens: Vec<String>,
    /// Number of tokens received before the kill.
    killed_after: usize,
    /// Time from the kill to the next token.
    resume_latency: Duration,
}

/// Starts the platform, two engines with sidecars and an entry, and puts the document in force.
async fn start() -> Result<Trial, trial::Error> {
    let mut trial = Trial::start().await?;
    for name in ["draft-a", "draft-b"] {
        let settings = Settings {
            token_interval: TOKEN_INTERVAL,
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

/// Streams an answer of up to `tokens` tokens, prints it, and kills the engine halfway.
async fn stream_answer(trial: &Trial, tokens: u64) -> Result<Outcome, trial::Error> {
    let body = json!({
        "model": "m", "prompt": PROMPT, "max_tokens": tokens, "seed": SEED, "stream": true,
    });
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let response = trial.client.post(address).json(&body).send().await?;
    let mut stream = Stream::new(response);
    let mut outcome = Outcome {
        tokens: Vec::new(),
        killed_after: 0,
        resume_latency: Duration::ZERO,
    };
    let mut killed_at: Option<Instant> = None;
    while let Some(event) = stream.next().await? {
        let Some(token) = event.token() else {
            continue;
        };
        if let Some(at) = killed_at.take() {
            outcome.resume_latency = at.elapsed();
        }
        print!("{token}");
        // A failed flush only delays the output.
        let _ = std::io::stdout().flush();
        outcome.tokens.push(token);
        if outcome.killed_after == 0 && outcome.tokens.len() as u64 == tokens / 2 {
            outcome.killed_after = outcome.tokens.len();
            kill_running_engine(trial);
            killed_at = Some(Instant::now());
            print!(" [engine killed]");
        }
    }
    Ok(outcome)
}

/// Stops the engine that generates the answer.
fn kill_running_engine(trial: &Trial) {
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

fn failure(error: trial::Error) -> Failure {
    Failure::Failed(error.to_string())
}
