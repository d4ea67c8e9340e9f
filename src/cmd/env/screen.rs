//! What `medlarhatch env` prints.

use std::time::{
    Duration,
    SystemTime, //
};

use serde_json::{
    Value,
    json, //
};

use crate::cli::Format;

/// Lines of a list that are printed; a screen has no room for more.
const LINES: usize = 20;

/// Shows what an edit changes.
pub fn changes(environment: &str, changes: &[String], format: Format) {
    if format == Format::Json {
        println!(
            "{}",
            json!({"environment": environment, "changes": changes})
        );
        return;
    }
    if changes.is_empty() {
        println!("{environment}: nothing changes");
        return;
    }
    println!("{environment}: changes: {}", changes.len());
    lines(changes);
}

/// Says that an edit was accepted.
pub fn accepted(environment: &str, body: &Value, changes: &[String], format: Format) {
    if format == Format::Json {
        let accepted = json!({"environment": environment, "changes": changes, "accepted": body});
        println!("{accepted}");
        return;
    }
    match body["replaced_by"].as_object() {
        Some(by) => println!(
            "{environment}: accepted, and replaced since by edit {} of {}",
            word(by.get("id")),
            word(by.get("operator"))
        ),
        None => println!("{environment}: accepted at revision {}", body["revision"]),
    }
}

/// Shows what entries say of themselves.
pub fn entries(entries: &[Value]) {
    println!(
        "{:16} {:16} {:>8}  {:16}  ready",
        "host", "environment", "revision", "digest"
    );
    for one in entries {
        println!(
            "{:16} {:16} {:>8}  {:16}  {}",
            word(one.get("host")),
            word(one.get("environment")),
            one["revision"].to_string(),
            word(one.get("digest")),
            if one["ready"] == true { "yes" } else { "no" }
        );
    }
}

/// Shows what is in force where.
pub fn everywhere(body: &Value) {
    let newest = &body["revision"];
    println!(
        "\n{}: newest revision {newest}",
        word(body.get("environment"))
    );
    println!(
        "{:16} {:>8} {:>6}  hosts that are behind or silent",
        "data centre", "newest", "behind"
    );
    for data_centre in list(&body["data_centres"]) {
        let (mut holding, mut behind) = (0, Vec::new());
        for standing in list(&data_centre["standings"]) {
            let hosts = list(&standing["hosts"]);
            if standing["revision"] == *newest {
                holding += hosts.len();
                continue;
            }
            let revision = &standing["revision"];
            behind.extend(
                hosts
                    .iter()
                    .map(|host| format!("{} at {revision}", word(Some(host)))),
            );
        }
        let silent = list(&data_centre["silent"]);
        let late = behind.len();
        behind.extend(
            silent
                .iter()
                .map(|host| format!("{} silent", word(Some(host)))),
        );
        let name = word(data_centre.get("data_centre"));
        println!("{name:16} {holding:>8} {late:>6}  {}", behind.join(", "));
    }
}

/// Shows the edits of a document.
pub fn history(environment: &str, kept: &Value, format: Format) {
    let mut records = vec![kept["edit"].clone()];
    records.extend(list(&kept["history"]));
    let revision = &kept["revision"];
    if format == Format::Json {
        let history = json!({"environment": environment, "revision": revision, "edits": records});
        println!("{history}");
        return;
    }
    println!("{environment}: revision {revision}");
    println!(
        "{:20} {:16} {:16} {:>8}  trial",
        "when", "operator", "edit", "replaced"
    );
    let rows: Vec<_> = records.iter().map(record).collect();
    lines(&rows);
}

fn record(record: &Value) -> String {
    let at = Duration::from_secs(record["at"]["secs"].as_u64().unwrap_or_default());
    let at = humantime::format_rfc3339_seconds(SystemTime::UNIX_EPOCH + at);
    let trial = match record["trial"].as_object() {
        Some(trial) => format!(
            "{} at {}",
            word(trial.get("environment")),
            record["trial"]["revision"]
        ),
        None => String::new(),
    };
    format!(
        "{at} {:16} {:16} {:>8}  {trial}",
        word(record.get("operator")),
        word(record.get("id")),
        record["replaced"].to_string()
    )
}

fn lines(all: &[String]) {
    for line in all.iter().take(LINES) {
        println!("{line}");
    }
    if all.len() > LINES {
        println!("and {} more; --format json shows all", all.len() - LINES);
    }
}

fn list(value: &Value) -> Vec<Value> {
    value.as_array().cloned().unwrap_or_default()
}

fn word(value: Option<&Value>) -> &str {
    value
        .and_then(Value::as_str)
        .filter(|word| !word.is_empty())
        .unwrap_or("-")
}
