//! `medlarhatch settings check`, run as a process.

use std::{
    path::Path,
    process::{
        Command,
        Output, //
    },
};

/// Runs the check on files.
fn check(files: &[&Path]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarhatch"));
    command.args(["settings", "check"]).args(files);
    command.output().expect("the program runs")
}

/// Returns the path of an example.
fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("examples/walk/{name}.yaml"))
}

#[test]
fn the_examples_are_valid() {
    let (entry, sidecar) = (example("entry-a"), example("draft-a"));
    let output = check(&[&entry, &sidecar]);
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).expect("text");
    assert_eq!(
        printed
            .lines()
            .filter(|line| line.ends_with(": fine"))
            .count(),
        2
    );
}

/// One run reports all errors of all files with their lines, and detects the kind of each file.
#[test]
fn all_errors_of_all_files_are_reported() {
    let directory = tempfile::tempdir().expect("a directory");
    let entry = directory.path().join("entry.yaml");
    let sidecar = directory.path().join("sidecar.yaml");
    let text = std::fs::read_to_string(example("entry-a")).expect("the example exists");
    let text = text.replace(": 500ms", ": 500").replace("http:", "ftp:");
    std::fs::write(&entry, text).expect("the file is written");
    let text = std::fs::read_to_string(example("draft-a")).expect("the example exists");
    std::fs::write(&sidecar, text.replace("kind: engine", "kind: motor"))
        .expect("the file is written");
    let output = check(&[&entry, &sidecar, &directory.path().join("none.yaml")]);
    assert_eq!(output.status.code(), Some(1));
    let printed = String::from_utf8(output.stderr).expect("text");
    for wanted in [
        "entry.yaml:7: platform: ",
        "entry.yaml:9: times.heartbeat: ",
        "sidecar.yaml:9: server.kind: unknown variant `motor`",
        "none.yaml: can't be read",
    ] {
        assert!(printed.contains(wanted), "{wanted} in {printed}");
    }
    assert_eq!(printed.lines().count(), 4, "{printed}");
}
