//! `medlarhatch env` as a person sees it.

use std::{
    fs,
    path::Path,
    process::Command, //
};

use tempfile::TempDir;
use trial::Trial;

const EXAMPLE: &str = include_str!("../examples/payout-desk.yaml");

/// Runs a command; gives its exit code and all that it printed. Names that differ from run to run
/// are replaced.
async fn env(folder: &Path, entry: &str, line: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarhatch"));
    command
        .arg("env")
        .args(line.split_whitespace())
        .current_dir(folder);
    if !entry.is_empty() {
        command.args(["--entry", entry]);
    }
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("it ends").expect("it runs");
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8_lossy(&printed);
    let lines: Vec<_> = printed.lines().map(plain).collect();
    format!(
        "$ env {line}\n{}\nexit code {:?}\n",
        lines.join("\n"),
        output.status.code()
    )
}

/// A line without times.
fn plain(line: &str) -> String {
    let word = |word: &str| match word.len() == 20 && word.ends_with('Z') {
        true => "(time)".to_string(),
        false => word.to_string(),
    };
    let words: Vec<_> = line.split(' ').map(word).collect();
    words.join(" ").trim_end().to_string()
}

fn folder() -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: String| {
        fs::write(folder.path().join(name), text).expect("a file is written");
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
    folder
}

#[tokio::test]
async fn a_file_is_checked_offline() {
    let folder = folder();
    let mut seen = String::new();
    for line in [
        "check one.yaml",
        "check wrong.yaml",
        "check none.yaml",
        "check one.yaml --format json",
    ] {
        seen += &env(folder.path(), "", line).await;
    }
    insta::assert_snapshot!("check", seen);
}

// Two operators work from the same document, a trial is promoted, and the store goes out.
#[tokio::test]
async fn documents_are_put_promoted_and_shown() {
    let folder = folder();
    let mut trial = Trial::start().await.expect("a platform");
    trial.start_entry("entry-a", "dc1").await.expect("an entry");
    let entry = trial.operators_url(0);
    let mut seen = String::new();
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
        seen += &env(folder.path(), &entry, line).await;
    }
    trial
        .wait_ready(4)
        .await
        .expect("the promoted document is in force");
    seen += &env(folder.path(), &entry, "status").await;
    seen += &env(folder.path(), &entry, "status --format json").await;
    trial.platform.inject_fault(fakes::platform::Fault {
        outage: true,
        ..Default::default()
    });
    seen += &env(folder.path(), &entry, "put one.yaml --operator ana").await;
    insta::assert_snapshot!("operators", seen);
}
