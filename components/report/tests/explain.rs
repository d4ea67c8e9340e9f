//! Requests' stories, from lines that processes wrote on a played day. The lines of one host are
//! shifted: its time of day by five seconds, its steady clock by an hour.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use report::explain::{
    Line,
    explain,
    read,
    summary::{
        Summary,
        summary, //
    }, //
};
use rstest::rstest;

const LOG: &str = include_str!("logs/desk.log");

/// Each of these requests met a known fault. An operator who has its id only must be led to it.
#[rstest]
#[case::engine_crashed(
    "b056681807cd194e",
    "It was answered by i-7062a70f72 after 5602 ms; it went on elsewhere 1 times"
)]
#[case::entry_lost_power("9cf1f24ce440afb3", "ended without a word while it was at work on it")]
#[case::store_cut_off(
    "2fad130b95987337",
    "document 10 was last known to be current 4758 ms before, too long to accept a key, as the \
     store doesn't answer"
)]
#[case::key_taken_away("e7189b3b487e7054", "no team holds its key in document 10")]
fn the_cause_is_told(#[case] id: &str, #[case] cause: &str) {
    let lines = read(LOG);
    let story = explain(&lines, id).expect("lines name it");
    assert!(story.cause.contains(cause), "{}", story.cause);
    // Its own lines stand in the order in which they were written.
    let own: Vec<_> = story.lines.iter().filter(|told| told.own).collect();
    assert!(own.is_sorted_by_key(|told| told.ms));
    insta::assert_snapshot!(id, story.to_string());
}

/// The caller of a stream whose entry was killed comes back through another host, whose clocks are
/// an hour apart. Both attempts belong to one story, and the second comes after the first.
#[test]
fn attempts_through_hosts_with_other_clocks_come_in_order() {
    let lines = read(LOG);
    let story = explain(&lines, "9cf1f24ce440afb3").expect("lines name it");
    let hour = 3_600_000;
    assert!(story.lines.iter().all(|told| told.ms.abs() < hour));
}

/// A file holds other output, and lines that were cut by a kill. They are passed over.
#[test]
fn what_is_no_line_is_passed_over() {
    let mixed = format!(
        "starting\n  1.25 host {}\n{{\"at\":1,\"up\n",
        LOG.lines().next().unwrap_or("")
    );
    assert_eq!(read(&mixed).len(), 1);
    assert!(explain(&read(&mixed), "nobody").is_none());
}

/// Guards against a summary that counts a request twice, or tells another cause than its story does.
#[test]
fn a_summary_has_each_request_once_with_its_cause() {
    let lines = read(LOG);
    let ids: BTreeSet<_> = lines.iter().filter_map(Line::id).collect();
    let summary = summary(&lines, Duration::from_secs(2));
    let by_kind: u64 = summary
        .kinds
        .values()
        .flat_map(|kind| kind.outcomes.values())
        .sum();
    let by_time: u64 = summary
        .windows
        .iter()
        .flat_map(|window| window.outcomes.values())
        .sum();
    assert_eq!((by_kind, by_time), (ids.len() as u64, ids.len() as u64));
    insta::assert_snapshot!("summary", summary.to_string());
}

#[test]
fn a_summary_of_nothing_is_empty() {
    assert_eq!(summary(&[], Duration::from_secs(2)), Summary::default());
}
