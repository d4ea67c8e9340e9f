//! The catalogue in docs/EVENTS.md is in step with the code.

use std::{
    collections::BTreeSet,
    fs, //
};

/// The line that the catalogue must have for an event.
fn row(event: &events::Event) -> String {
    let level = event.level.as_str().to_lowercase();
    format!("| {event} | {level} | {} |", event.meaning)
}

#[test]
fn every_event_stands_in_the_catalogue_and_nothing_else() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let page = fs::read_to_string(path).expect("docs/EVENTS.md is there");
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
fn no_number_stands_for_two_events() {
    let numbers: Vec<u16> = events::all().iter().map(|event| event.number).collect();
    let distinct: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers.len(), distinct.len());
}
