//! `medlarhatch env`: checks, puts, promotes and shows documents of environments.

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

/// Runs a subcommand on documents.
pub async fn run(command: EnvCommand) -> Result<(), Failure> {
    match command {
        EnvCommand::Check(args) => check(&args),
        EnvCommand::Put(args) => put(&args).await,
        EnvCommand::Promote(args) => promote(&args).await,
        EnvCommand::Status(args) => status(&args).await,
        EnvCommand::History(args) => history(&args).await,
    }
}

/// Checks a document offline.
fn check(args: &EnvCheck) -> Result<(), Failure> {
    let read = read_document(&args.document);
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

/// Reads and checks a document file. Returns its text and the parsed document.
fn read_document(path: &Path) -> Result<(String, Document), Failure> {
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

/// Puts a document in force.
async fn put(args: &EnvPut) -> Result<(), Failure> {
    let (text, document) = read_document(&args.document)?;
    let environment = document.environment.clone();
    let stored = fetch_stored(&args.entry, &environment).await?;
    let base = args.base.unwrap_or(revision(&stored));
    let changes = changes(&stored, &document);
    if args.dry_run {
        screen::changes(&environment, &changes, args.format);
        return Ok(());
    }
    if args.format == Format::Text {
        screen::changes(&environment, &changes, args.format);
    }
    let mut query = edit_query(&args.operator, &args.edit);
    query.push(("base", base.to_string()));
    let client = reqwest::Client::new();
    let address = format!("{}/environments/{environment}", args.entry);
    let response = client.put(url(&address, &query)?).body(text).send().await;
    let body = read_response(&args.entry, response).await?;
    screen::accepted(&environment, &body, &changes, args.format);
    Ok(())
}

/// Promotes the document of a trial to another environment.
async fn promote(args: &EnvPromote) -> Result<(), Failure> {
    let Some(trial) = fetch_stored(&args.entry, &args.from).await? else {
        let message = format!("there is no environment `{}`", args.from);
        return Err(Failure::Failed(message));
    };
    let newest = trial["revision"].as_u64().unwrap_or_default();
    let tried = args.revision.unwrap_or(newest);
    let text = trial["text"].as_str().unwrap_or_default();
    let document = environment::replace_environment(text, &args.to)
        .and_then(|text| environment::parse(&text).ok())
        .ok_or_else(|| Failure::Failed(format!("the document of `{}` can't be read", args.from)))?;
    let stored = fetch_stored(&args.entry, &args.to).await?;
    let changes = changes(&stored, &document);
    if args.dry_run || args.format == Format::Text {
        screen::changes(&args.to, &changes, args.format);
    }
    if args.dry_run {
        return Ok(());
    }
    let digest = trial["edit"]["digest"].as_u64().unwrap_or_default();
    let mut query = edit_query(&args.operator, &args.edit);
    query.extend([
        ("from", args.from.clone()),
        ("revision", tried.to_string()),
        ("digest", format!("{digest:x}")),
        ("base", revision(&stored).to_string()),
    ]);
    let client = reqwest::Client::new();
    let address = format!("{}/environments/{}/promote", args.entry, args.to);
    let response = client.post(url(&address, &query)?).send().await;
    let body = read_response(&args.entry, response).await?;
    screen::accepted(&args.to, &body, &changes, args.format);
    Ok(())
}

/// Shows the state of the given entries, and the revisions in force on all hosts.
async fn status(args: &EnvStatus) -> Result<(), Failure> {
    let client = reqwest::Client::new();
    let mut entries = Vec::new();
    for entry in &args.entry {
        let response = client.get(format!("{entry}/status")).send().await;
        entries.push(read_response(entry, response).await?);
    }
    let Some(first) = args.entry.first() else {
        return Err(Failure::Failed("--entry is missing".into()));
    };
    let first_environment = entries[0]["environment"].as_str().unwrap_or_default();
    let environment = args.environment.as_deref().unwrap_or(first_environment);
    let address = format!("{first}/environments/{environment}/status");
    let everywhere = read_response(first, client.get(address).send().await).await?;
    if args.format == Format::Json {
        println!("{}", json!({"entries": entries, "everywhere": everywhere}));
        return Ok(());
    }
    screen::entries(&entries);
    screen::revisions(&everywhere);
    Ok(())
}

/// Shows the edit history of a document.
async fn history(args: &EnvHistory) -> Result<(), Failure> {
    let Some(stored) = fetch_stored(&args.entry, &args.environment).await? else {
        let message = format!("there is no environment `{}`", args.environment);
        return Err(Failure::Failed(message));
    };
    screen::history(&args.environment, &stored, args.format);
    Ok(())
}

/// Returns the query parameters that name the operator and the id of an edit.
fn edit_query(operator: &Option<String>, edit: &Option<String>) -> Vec<(&'static str, String)> {
    let login = || env::var("USER").unwrap_or_else(|_| "unnamed".into());
    let mut query = vec![("operator", operator.clone().unwrap_or_else(login))];
    query.extend(edit.clone().map(|id| ("edit", id)));
    query
}

/// Returns an address with query parameters.
fn url(address: &str, query: &[(&str, String)]) -> Result<reqwest::Url, Failure> {
    reqwest::Url::parse_with_params(address, query)
        .map_err(|error| Failure::Failed(format!("{address}: {error}")))
}

/// Fetches the stored document of an environment; returns `None` if the environment doesn't exist.
async fn fetch_stored(entry: &str, environment: &str) -> Result<Option<Value>, Failure> {
    let address = format!("{entry}/environments/{environment}");
    let response = reqwest::Client::new().get(address).send().await;
    if let Ok(response) = &response
        && response.status() == reqwest::StatusCode::NOT_FOUND
    {
        return Ok(None);
    }
    read_response(entry, response).await.map(Some)
}

/// Returns the revision of a stored document; 0 if there is none.
fn revision(stored: &Option<Value>) -> u64 {
    let revision = stored
        .as_ref()
        .and_then(|document| document["revision"].as_u64());
    revision.unwrap_or_default()
}

/// Returns the differences between the stored document and a new one, one line each.
fn changes(stored: &Option<Value>, document: &Document) -> Vec<String> {
    let text = stored
        .as_ref()
        .and_then(|document| document["text"].as_str());
    let Some(text) = text else {
        return vec!["+ the environment is new".into()];
    };
    match environment::parse(text) {
        Ok(before) => diff(&before, document)
            .iter()
            .map(ToString::to_string)
            .collect(),
        Err(error) => vec![format!(
            "~ everything: the stored document can't be read: {error}"
        )],
    }
}

/// Reads the JSON body of a response; a status other than 2xx is a failure with the message of the
/// body.
async fn read_response(
    entry: &str,
    response: Result<reqwest::Response, reqwest::Error>,
) -> Result<Value, Failure> {
    let unreachable = |error| Failure::Unreachable(format!("{entry} can't be reached: {error}"));
    let response = response.map_err(unreachable)?;
    let success = response.status().is_success();
    let body: Value = response.json().await.map_err(unreachable)?;
    if !success {
        let message = body["error"]["message"].as_str().unwrap_or("refused");
        return Err(Failure::Failed(message.to_string()));
    }
    Ok(body)
}
