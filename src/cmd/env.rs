//! `medlarhatch env`.

use std::{
    env,
    fs,
    path::Path, //
};

use environment::{
    Document,
    diff, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    cli::{
        EnvCheck,
        EnvCommand,
        EnvHistory,
        EnvPromote,
        EnvPut,
        EnvStatus,
        Format, //
    },
    messages::Failure, //
};

mod screen;

/// Works with documents.
pub async fn run(command: EnvCommand) -> Result<(), Failure> {
    match command {
        EnvCommand::Check(args) => check(&args),
        EnvCommand::Put(args) => put(&args).await,
        EnvCommand::Promote(args) => promote(&args).await,
        EnvCommand::Status(args) => status(&args).await,
        EnvCommand::History(args) => history(&args).await,
    }
}

fn check(args: &EnvCheck) -> Result<(), Failure> {
    let read = load(&args.document);
    if args.format == Format::Json {
        let problems = read.as_ref().err().map(ToString::to_string);
        let problems = problems.unwrap_or_default();
        let problems: Vec<_> = problems.lines().collect();
        println!(
            "{}",
            json!({"accepted": read.is_ok(), "problems": problems})
        );
        return read.map(|_| ());
    }
    let (text, document) = read?;
    let name = args.document.display();
    let digest = environment::digest(&text);
    println!(
        "{name}: fine, for `{}`, digest {digest:016x}",
        document.environment
    );
    Ok(())
}

/// Reads and checks a document.
fn load(path: &Path) -> Result<(String, Document), Failure> {
    let name = path.display();
    let text =
        fs::read_to_string(path).map_err(|error| Failure::Failed(format!("{name}: {error}")))?;
    let document = environment::parse_checked(&text).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| format!("{name}: {problem}"))
            .collect();
        Failure::Failed(lines.join("\n"))
    })?;
    Ok((text, document))
}

async fn put(args: &EnvPut) -> Result<(), Failure> {
    let (text, document) = load(&args.document)?;
    let environment = document.environment.clone();
    let stands = stands(&args.entry, &environment).await?;
    let base = args.base.unwrap_or(revision(&stands));
    let changes = changes(&stands, &document);
    if args.dry_run {
        screen::changes(&environment, &changes, args.format);
        return Ok(());
    }
    if args.format == Format::Text {
        screen::changes(&environment, &changes, args.format);
    }
    let mut query = author(&args.operator, &args.edit);
    query.push(("base", base.to_string()));
    let client = reqwest::Client::new();
    let address = format!("{}/environments/{environment}", args.entry);
    let answer = client.put(url(&address, &query)?).body(text).send().await;
    let body = read(&args.entry, answer).await?;
    screen::accepted(&environment, &body, &changes, args.format);
    Ok(())
}

async fn promote(args: &EnvPromote) -> Result<(), Failure> {
    let Some(trial) = stands(&args.entry, &args.from).await? else {
        let message = format!("there is no environment `{}`", args.from);
        return Err(Failure::Failed(message));
    };
    let newest = trial["revision"].as_u64().unwrap_or_default();
    let tried = args.revision.unwrap_or(newest);
    let text = trial["text"].as_str().unwrap_or_default();
    let document = environment::replace_environment(text, &args.to)
        .and_then(|text| environment::parse(&text).ok())
        .ok_or_else(|| Failure::Failed(format!("`{}` can't be read", args.from)))?;
    let stands = stands(&args.entry, &args.to).await?;
    let changes = changes(&stands, &document);
    if args.dry_run || args.format == Format::Text {
        screen::changes(&args.to, &changes, args.format);
    }
    if args.dry_run {
        return Ok(());
    }
    let digest = trial["edit"]["digest"].as_u64().unwrap_or_default();
    let mut query = author(&args.operator, &args.edit);
    query.extend([
        ("from", args.from.clone()),
        ("revision", tried.to_string()),
        ("digest", format!("{digest:x}")),
        ("base", revision(&stands).to_string()),
    ]);
    let client = reqwest::Client::new();
    let address = format!("{}/environments/{}/promote", args.entry, args.to);
    let answer = client.post(url(&address, &query)?).send().await;
    let body = read(&args.entry, answer).await?;
    screen::accepted(&args.to, &body, &changes, args.format);
    Ok(())
}

async fn status(args: &EnvStatus) -> Result<(), Failure> {
    let client = reqwest::Client::new();
    let mut entries = Vec::new();
    for entry in &args.entry {
        let answer = client.get(format!("{entry}/status")).send().await;
        entries.push(read(entry, answer).await?);
    }
    let Some(first) = args.entry.first() else {
        return Err(Failure::Failed("an --entry is needed".into()));
    };
    let of_first = entries[0]["environment"].as_str().unwrap_or_default();
    let environment = args.environment.as_deref().unwrap_or(of_first);
    let address = format!("{first}/environments/{environment}/status");
    let everywhere = read(first, client.get(address).send().await).await?;
    if args.format == Format::Json {
        println!("{}", json!({"entries": entries, "everywhere": everywhere}));
        return Ok(());
    }
    screen::entries(&entries);
    screen::everywhere(&everywhere);
    Ok(())
}

async fn history(args: &EnvHistory) -> Result<(), Failure> {
    let Some(kept) = stands(&args.entry, &args.environment).await? else {
        let message = format!("there is no environment `{}`", args.environment);
        return Err(Failure::Failed(message));
    };
    screen::history(&args.environment, &kept, args.format);
    Ok(())
}

/// Who makes an edit, and its id.
fn author(operator: &Option<String>, edit: &Option<String>) -> Vec<(&'static str, String)> {
    let login = || env::var("USER").unwrap_or_else(|_| "unnamed".into());
    let mut query = vec![("operator", operator.clone().unwrap_or_else(login))];
    query.extend(edit.clone().map(|id| ("edit", id)));
    query
}

fn url(address: &str, query: &[(&str, String)]) -> Result<reqwest::Url, Failure> {
    reqwest::Url::parse_with_params(address, query)
        .map_err(|error| Failure::Failed(format!("{address}: {error}")))
}

/// What stands in the store; none when there is no such environment.
async fn stands(entry: &str, environment: &str) -> Result<Option<Value>, Failure> {
    let address = format!("{entry}/environments/{environment}");
    let answer = reqwest::Client::new().get(address).send().await;
    if let Ok(answer) = &answer
        && answer.status() == reqwest::StatusCode::NOT_FOUND
    {
        return Ok(None);
    }
    read(entry, answer).await.map(Some)
}

fn revision(stands: &Option<Value>) -> u64 {
    let revision = stands.as_ref().and_then(|kept| kept["revision"].as_u64());
    revision.unwrap_or_default()
}

/// What a document changes in what stands in the store.
fn changes(stands: &Option<Value>, document: &Document) -> Vec<String> {
    let text = stands.as_ref().and_then(|kept| kept["text"].as_str());
    let Some(text) = text else {
        return vec!["+ the environment is new".into()];
    };
    match environment::parse(text) {
        Ok(before) => diff(&before, document)
            .iter()
            .map(ToString::to_string)
            .collect(),
        Err(error) => vec![format!(
            "~ all of it: what stands there can't be read: {error}"
        )],
    }
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
