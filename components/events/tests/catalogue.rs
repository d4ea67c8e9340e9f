//! The catalogue in docs/EVENTS.md lists the declared events.

use std::{
    collections::BTreeSet,
    fs, //
};

/// Returns the line that the catalogue must have for an event.
fn row(event: &events::Event) -> String {
    let level = event.level.as_str().to_lowercase();
    format!("| {event} | {level} | {} |", event.meaning)
}

#[test]
fn catalogue_lists_every_event_and_nothing_else() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let page = fs::read_to_string(path).expect("docs/EVENTS.md is readable");
    let listed: BTreeSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| MH"))
        .map(|line| line.split(" | ").take(3).collect::<Vec<_>>().join(" | "))
        .map(|line| format!("{} |", line.trim_end_matches(" |")))
        .collect();
    let declared: BTreeSet<String> = events::all().iter().map(row).collect();
    assert_eq!(listed, declared);
}

#[test]
fn event_numbers_are_unique() {
    let numbers: Vec<u16> = events::all().iter().map(|event| event.number).collect();
    let distinct: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers.len(), distinct.len());
}
