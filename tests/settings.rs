//! `medlarhatch settings check`, as a process.

use std::{
    path::Path,
    process::{
        Command,
        Output, //
    },
};

fn check(files: &[&Path]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarhatch"));
    command.args(["settings", "check"]).args(files);
    command.output().expect("it runs")
}

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("examples/walk/{name}.yaml"))
}

#[test]
fn the_examples_are_fine() {
    let (entry, sidecar) = (example("entry-a"), example("draft-a"));
    let output = check(&[&entry, &sidecar]);
    assert!(output.status.success(), "{output:?}");
    let told = String::from_utf8(output.stdout).expect("text");
    assert_eq!(
        told.lines().filter(|line| line.ends_with(": fine")).count(),
        2
    );
}

/// Every fault of every file is told in one go, with its line, and the file's kind is found out.
#[test]
fn each_file_s_faults_are_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let entry = folder.path().join("entry.yaml");
    let sidecar = folder.path().join("sidecar.yaml");
    let text = std::fs::read_to_string(example("entry-a")).expect("it is there");
    let text = text.replace(": 500ms", ": 500").replace("http:", "ftp:");
    std::fs::write(&entry, text).expect("written");
    let text = std::fs::read_to_string(example("draft-a")).expect("it is there");
    std::fs::write(&sidecar, text.replace("kind: engine", "kind: motor")).expect("written");
    let output = check(&[&entry, &sidecar, &folder.path().join("none.yaml")]);
    assert_eq!(output.status.code(), Some(1));
    let told = String::from_utf8(output.stderr).expect("text");
    for wanted in [
        "entry.yaml:7: platform: ",
        "entry.yaml:9: times.heartbeat: ",
        "sidecar.yaml:9: server.kind: unknown variant `motor`",
        "none.yaml: can't be read",
    ] {
        assert!(told.contains(wanted), "{wanted} in {told}");
    }
    assert_eq!(told.lines().count(), 4, "{told}");
}
