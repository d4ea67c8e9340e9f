//! Output of `medlarhatch env`.

use std::{
    fs,
    path::Path,
    process::Command, //
};

use tempfile::TempDir;
use trial::Trial;

const EXAMPLE: &str = include_str!("../examples/payout-desk.yaml");

/// Runs a subcommand of `env`, and returns its output and exit code. Times, which differ between
/// runs, are replaced.
async fn run_env(directory: &Path, entry: &str, line: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarhatch"));
    command
        .arg("env")
        .args(line.split_whitespace())
        .current_dir(directory);
    if !entry.is_empty() {
        command.args(["--entry", entry]);
    }
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output
        .await
        .expect("the task ends")
        .expect("the program runs");
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8_lossy(&printed);
    let lines: Vec<_> = printed.lines().map(without_times).collect();
    format!(
        "$ env {line}\n{}\nexit code {:?}\n",
        lines.join("\n"),
        output.status.code()
    )
}

/// Returns a line with times replaced.
fn without_times(line: &str) -> String {
    let word = |word: &str| match word.len() == 20 && word.ends_with('Z') {
        true => "(time)".to_string(),
        false => word.to_string(),
    };
    let words: Vec<_> = line.split(' ').map(word).collect();
    words.join(" ").trim_end().to_string()
}

/// Creates a directory with documents: valid ones, one for a trial, and one with errors.
fn directory() -> TempDir {
    let directory = tempfile::tempdir().expect("a directory");
    let write = |name: &str, text: String| {
        fs::write(directory.path().join(name), text).expect("a file is written");
    };
    write("one.yaml", EXAMPLE.into());
    let two = EXAMPLE.replace("in_flight: 100", "in_flight: 150");
    write("two.yaml", two.clone());
    let trial = two.replace("environment: production", "environment: trial");
    write("trial.yaml", trial.replace("weight: 4", "weight: 5"));
    write(
        "wrong.yaml",
        EXAMPLE
            .replace("weight: 4", "weight: 0")
            .replace("to: \"2026.11\"", "to: \"2026.12\""),
    );
    directory
}

#[tokio::test]
async fn a_file_is_checked_offline() {
    let directory = directory();
    let mut transcript = String::new();
    for line in [
        "check one.yaml",
        "check wrong.yaml",
        "check none.yaml",
        "check one.yaml --format json",
    ] {
        transcript += &run_env(directory.path(), "", line).await;
    }
    insta::assert_snapshot!("check", transcript);
}

// Two operators edit the same document, one promotes a trial, and then the store fails.
#[tokio::test]
async fn documents_can_be_put_promoted_and_shown() {
    let directory = directory();
    let mut trial = Trial::start().await.expect("a platform");
    trial.start_entry("entry-a", "dc1").await.expect("an entry");
    let entry = trial.operators_url(0);
    let mut transcript = String::new();
    for line in [
        "put one.yaml --operator ana --edit e1",
        "put two.yaml --operator ana --edit e2 --dry-run",
        "put two.yaml --operator ana --edit e2",
        "put one.yaml --operator bojan --edit e3 --base 1",
        "put trial.yaml --operator bojan --edit e4",
        "promote --from trial --to production --operator bojan --edit e5 --revision 2",
        "promote --from trial --to production --operator bojan --edit e5",
        "promote --from none --to production",
        "history production",
    ] {
        transcript += &run_env(directory.path(), &entry, line).await;
    }
    trial
        .wait_ready(4)
        .await
        .expect("the promoted document is in force");
    transcript += &run_env(directory.path(), &entry, "status").await;
    transcript += &run_env(directory.path(), &entry, "status --format json").await;
    trial.platform.inject_fault(fakes::platform::Fault {
        outage: true,
        ..Default::default()
    });
    transcript += &run_env(directory.path(), &entry, "put one.yaml --operator ana").await;
    insta::assert_snapshot!("operators", transcript);
}
