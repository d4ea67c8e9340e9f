//! Output of `medlarhatch env`.

use std::time::{
    Duration,
    SystemTime, //
};

use serde_json::{
    Value,
    json, //
};

use crate::cli::Format;

/// Largest number of printed lines of a list, so that it fits on a screen.
const MAX_LINES: usize = 20;

/// Prints the changes of an edit.
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
    print_lines(changes);
}

/// Prints the acceptance of an edit.
pub fn accepted(environment: &str, body: &Value, changes: &[String], format: Format) {
    if format == Format::Json {
        let accepted = json!({"environment": environment, "changes": changes, "accepted": body});
        println!("{accepted}");
        return;
    }
    match body["replaced_by"].as_object() {
        Some(by) => println!(
            "{environment}: accepted, and replaced since by edit {} of {}",
            text_or_dash(by.get("id")),
            text_or_dash(by.get("operator"))
        ),
        None => println!("{environment}: accepted at revision {}", body["revision"]),
    }
}

/// Prints the state that entries report.
pub fn entries(entries: &[Value]) {
    println!(
        "{:16} {:16} {:>8}  {:16}  ready",
        "host", "environment", "revision", "digest"
    );
    for entry in entries {
        println!(
            "{:16} {:16} {:>8}  {:16}  {}",
            text_or_dash(entry.get("host")),
            text_or_dash(entry.get("environment")),
            entry["revision"].to_string(),
            text_or_dash(entry.get("digest")),
            if entry["ready"] == true { "yes" } else { "no" }
        );
    }
}

/// Prints the revisions in force by data centre, and the hosts that are behind or silent.
pub fn revisions(body: &Value) {
    let newest = &body["revision"];
    println!(
        "\n{}: newest revision {newest}",
        text_or_dash(body.get("environment"))
    );
    println!(
        "{:16} {:>8} {:>6}  hosts that are behind or silent",
        "data centre", "newest", "behind"
    );
    for data_centre in items(&body["data_centres"]) {
        let (mut current_hosts, mut behind) = (0, Vec::new());
        for state in items(&data_centre["standings"]) {
            let hosts = items(&state["hosts"]);
            if state["revision"] == *newest {
                current_hosts += hosts.len();
                continue;
            }
            let revision = &state["revision"];
            behind.extend(
                hosts
                    .iter()
                    .map(|host| format!("{} at {revision}", text_or_dash(Some(host)))),
            );
        }
        let silent = items(&data_centre["silent"]);
        let behind_count = behind.len();
        behind.extend(
            silent
                .iter()
                .map(|host| format!("{} silent", text_or_dash(Some(host)))),
        );
        let name = text_or_dash(data_centre.get("data_centre"));
        println!(
            "{name:16} {current_hosts:>8} {behind_count:>6}  {}",
            behind.join(", ")
        );
    }
}

/// Prints the edit history of a document.
pub fn history(environment: &str, stored: &Value, format: Format) {
    let mut edits = vec![stored["edit"].clone()];
    edits.extend(items(&stored["history"]));
    let revision = &stored["revision"];
    if format == Format::Json {
        let history = json!({"environment": environment, "revision": revision, "edits": edits});
        println!("{history}");
        return;
    }
    println!("{environment}: revision {revision}");
    println!(
        "{:20} {:16} {:16} {:>8}  trial",
        "when", "operator", "edit", "replaced"
    );
    let rows: Vec<_> = edits.iter().map(edit_line).collect();
    print_lines(&rows);
}

/// Returns the line of one edit.
fn edit_line(edit: &Value) -> String {
    let at = Duration::from_secs(edit["at"]["secs"].as_u64().unwrap_or_default());
    let at = humantime::format_rfc3339_seconds(SystemTime::UNIX_EPOCH + at);
    let trial = match edit["trial"].as_object() {
        Some(trial) => format!(
            "{} at {}",
            text_or_dash(trial.get("environment")),
            edit["trial"]["revision"]
        ),
        None => String::new(),
    };
    format!(
        "{at} {:16} {:16} {:>8}  {trial}",
        text_or_dash(edit.get("operator")),
        text_or_dash(edit.get("id")),
        edit["replaced"].to_string()
    )
}

/// Prints up to [`MAX_LINES`] lines, and the number of further ones.
fn print_lines(lines: &[String]) {
    for line in lines.iter().take(MAX_LINES) {
        println!("{line}");
    }
    if lines.len() > MAX_LINES {
        println!(
            "and {} more; --format json shows all",
            lines.len() - MAX_LINES
        );
    }
}

/// Returns the items of a JSON array; none for any other value.
fn items(value: &Value) -> Vec<Value> {
    value.as_array().cloned().unwrap_or_default()
}

/// Returns a non-empty JSON string, or a dash.
fn text_or_dash(value: Option<&Value>) -> &str {
    value
        .and_then(Value::as_str)
        .filter(|text| !text.is_empty())
        .unwrap_or("-")
}
