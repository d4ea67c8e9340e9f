//! Validation of settings files: the examples are valid, and each mistake is reported.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use assert_matches::assert_matches;
use rstest::rstest;
use settings::{
    Entry,
    Error,
    Keys,
    Sidecar, //
};

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/walk")
}

#[rstest]
#[case("entry-a")]
#[case("entry-b")]
fn entry_examples_are_valid(#[case] name: &str) {
    let path = examples().join(format!("{name}.yaml"));
    let entry: Entry = settings::read(&path, &Entry::sample()).expect("valid settings");
    assert_eq!(entry.name, name);
}

#[rstest]
#[case("draft-a")]
#[case("draft-b")]
#[case("ledger-a")]
fn sidecar_examples_are_valid(#[case] name: &str) {
    let path = examples().join(format!("{name}.yaml"));
    let sidecar: Sidecar = settings::read(&path, &Sidecar::sample()).expect("valid settings");
    assert_eq!(sidecar.name, name);
}

/// Parses the example of an entry with one text replaced, and returns the error.
fn parse_with_mistake(from: &str, to: &str) -> String {
    let text =
        fs::read_to_string(examples().join("entry-a.yaml")).expect("the example is readable");
    assert!(text.contains(from), "{from}");
    let changed = text.replace(from, to);
    match settings::parse("entry.yaml", &changed, &Entry::sample()) {
        Ok(_) => "valid".to_string(),
        Err(error) => error.to_string(),
    }
}

#[rstest]
#[case::unknown_field("unknown_field", "name:", "nam:")]
#[case::unknown_time("unknown_time", "heartbeat:", "hartbeat:")]
#[case::no_unit("no_unit", "heartbeat: 500ms", "heartbeat: 500")]
#[case::zero("zero", "heartbeat: 500ms", "heartbeat: 0ms")]
#[case::too_long("too_long", "heartbeat: 500ms", "heartbeat: 48h")]
#[case::short_silence("short_silence", "1500ms", "900ms")]
#[case::no_address("no_address", "127.0.0.1:7101", "localhost")]
#[case::no_scheme("no_scheme", "http://127.0.0.1:7000", "127.0.0.1:7000")]
#[case::empty_name("empty_name", "name: entry-a", "name: \"\"")]
#[case::no_size("no_size", "times:", "limits: {body: 4 megs}\ntimes:")]
#[case::size_too_small("size_too_small", "times:", "limits: {body: 1KB}\ntimes:")]
#[case::size_of_nothing("size_of_nothing", "times:", "limits: {body: 0}\ntimes:")]
fn each_mistake_is_reported(#[case] case: &str, #[case] from: &str, #[case] to: &str) {
    insta::assert_snapshot!(format!("mistake_{case}"), parse_with_mistake(from, to));
}

/// A file with many faults: each is reported with its line, including one after an unknown or
/// missing field and one that is out of range.
#[test]
fn all_mistakes_are_reported_at_once() {
    const TEXT: &str = "\
nam: entry-a
data_centre: dc1
environment: ''
callers: localhost
links: [127.0.0.1]
platform: 127.0.0.1:7000
limits:
  body: 1KB
  epochs: 100
  tokens: many
times:
  heartbeat: 500
  silence: 100ms
  hartbeat: 1s
";
    let read = settings::parse("entry.yaml", TEXT, &Entry::sample());
    insta::assert_snapshot!(read.expect_err("the file has faults"));
}

#[rstest]
#[case::no_yaml("name: [a")]
#[case::no_map("- a")]
#[case::nothing("")]
fn files_without_settings_are_refused(#[case] text: &str) {
    let error =
        settings::parse("entry.yaml", text, &Entry::sample()).expect_err("the file has faults");
    assert_matches!(error, Error::Faulty { faults, .. } => assert!(!faults.is_empty()));
}

/// Messages about faults must not contain the values of a keys file.
#[test]
fn messages_do_not_contain_keys() {
    let text = "authority: secret-1\ncertificate: secret-2\nkey: [secret-3]\n";
    let read = settings::parse("keys.yaml", text, &Keys::sample());
    let message = read.map(drop).expect_err("the file has faults").to_string();
    assert!(!message.contains("secret"), "{message}");
    assert_eq!(message.lines().count(), 3, "{message}");
}

#[rstest]
#[case("65536", 65536)]
#[case("64KiB", 64 << 10)]
#[case("4 MiB", 4 << 20)]
#[case("1GiB", 1 << 30)]
fn sizes_accept_units(#[case] text: &str, #[case] bytes: u64) {
    let example =
        fs::read_to_string(examples().join("entry-a.yaml")).expect("the example is readable");
    let text = format!("{example}limits: {{body: {text}}}\n");
    let entry: Entry =
        settings::parse("entry.yaml", &text, &Entry::sample()).expect("valid settings");
    assert_eq!(entry.limits.body, bytes);
}
