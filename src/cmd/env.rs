//! `medlarhatch env`.

use std::{
    fs,
    path::Path, //
};

use serde_json::Value;

use crate::{
    cli::{
        EnvCommand,
        EnvPut,
        EnvStatus,
        Format, //
    },
    messages::Failure, //
};

/// Works with documents.
pub async fn run(command: EnvCommand) -> Result<(), Failure> {
    match command {
        EnvCommand::Check(args) => {
            check(&args.document)?;
            println!("{}: fine", args.document.display());
            Ok(())
        }
        EnvCommand::Put(args) => put(&args).await,
        EnvCommand::Status(args) => status(&args).await,
    }
}

/// Reads and checks a document; gives its text and its environment.
fn check(path: &Path) -> Result<(String, String), Failure> {
    let name = path.display();
    let text =
        fs::read_to_string(path).map_err(|error| Failure::Failed(format!("{name}: {error}")))?;
    let document = environment::read(&text).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| format!("{name}: {problem}"))
            .collect();
        Failure::Failed(lines.join("\n"))
    })?;
    Ok((text, document.environment))
}

async fn put(args: &EnvPut) -> Result<(), Failure> {
    let (text, environment) = check(&args.document)?;
    let address = format!("{}/environments/{environment}", args.entry);
    let answer = reqwest::Client::new().put(address).body(text).send().await;
    let body = read(&args.entry, answer).await?;
    println!("{environment}: in force at revision {}", body["revision"]);
    Ok(())
}

async fn status(args: &EnvStatus) -> Result<(), Failure> {
    let mut all = Vec::new();
    for entry in &args.entry {
        let answer = reqwest::Client::new()
            .get(format!("{entry}/status"))
            .send()
            .await;
        all.push(read(entry, answer).await?);
    }
    if args.format == Format::Json {
        println!("{}", Value::Array(all));
        return Ok(());
    }
    println!(
        "{:16} {:16} {:>8}  digest",
        "host", "environment", "revision"
    );
    for one in all {
        println!(
            "{:16} {:16} {:>8}  {}",
            one["host"].as_str().unwrap_or("-"),
            one["environment"].as_str().unwrap_or("-"),
            one["revision"],
            one["digest"].as_str().unwrap_or("-")
        );
    }
    Ok(())
}

async fn read(
    entry: &str,
    answer: Result<reqwest::Response, reqwest::Error>,
) -> Result<Value, Failure> {
    let unreachable = |error| Failure::Unreachable(format!("{entry} can't be reached: {error}"));
    let answer = answer.map_err(unreachable)?;
    let good = answer.status().is_success();
    let body: Value = answer.json().await.map_err(unreachable)?;
    if !good {
        let message = body["error"]["message"].as_str().unwrap_or("refused");
        return Err(Failure::Failed(message.to_string()));
    }
    Ok(body)
}
