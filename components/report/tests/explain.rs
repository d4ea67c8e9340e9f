//! Explanations of requests from the log of a simulated day. The clocks of one host are shifted:
//! its wall clock by five seconds, its monotonic clock by an hour.

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

/// Each of these requests was affected by a known fault. The explanation must name it, with only
/// the id of the request given.
#[rstest]
#[case::engine_crashed(
    "b056681807cd194e",
    "Answered by i-7062a70f72 after 5602 ms; resumed on another server 1 times"
)]
#[case::entry_lost_power(
    "9cf1f24ce440afb3",
    "ended without logging an outcome while it was processing the request"
)]
#[case::store_cut_off(
    "2fad130b95987337",
    "document 10 was last confirmed to be current 4758 ms before, too long ago to accept an API \
     key, because the store did not respond"
)]
#[case::key_revoked("e7189b3b487e7054", "no team has its key in document 10")]
fn the_cause_is_explained(#[case] id: &str, #[case] cause: &str) {
    let lines = read(LOG);
    let explanation = explain(&lines, id).expect("lines name the request");
    assert!(explanation.cause.contains(cause), "{}", explanation.cause);
    // Lines of the request are in the order in which they were written.
    let own: Vec<_> = explanation.lines.iter().filter(|event| event.own).collect();
    assert!(own.is_sorted_by_key(|event| event.offset_ms));
    insta::assert_snapshot!(id, explanation.to_string());
}

/// The caller of a stream whose entry was killed retries through another host, whose monotonic
/// clock differs by an hour. Both attempts belong to one explanation, the second after the first;
/// without correction their lines would be an hour apart.
#[test]
fn clock_offsets_between_hosts_are_corrected() {
    let lines = read(LOG);
    let explanation = explain(&lines, "9cf1f24ce440afb3").expect("lines name the request");
    let hour = 3_600_000;
    assert!(
        explanation
            .lines
            .iter()
            .all(|event| event.offset_ms.abs() < hour)
    );
}

/// A log file can contain other output, and lines cut off when the process was killed.
#[test]
fn other_output_is_skipped() {
    let text = format!(
        "starting\n  1.25 host {}\n{{\"at\":1,\"up\n",
        LOG.lines().next().unwrap_or("")
    );
    assert_eq!(read(&text).len(), 1);
    assert!(explain(&read(&text), "nobody").is_none());
}

/// Guards against a summary that counts a request twice, or by another cause than its explanation
/// has.
#[test]
fn a_summary_counts_each_request_once() {
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
fn a_summary_of_no_lines_is_empty() {
    assert_eq!(summary(&[], Duration::from_secs(2)), Summary::default());
}

/// Guards against a refusal for a rate limit that reads like a fault.
#[test]
fn a_refusal_for_a_rate_limit_is_explained() {
    let lines = read(
        r#"{"at":1785904809421,"up":73508228,"process":"a","run":6627560,"level":"warn","message":"Request refused","event":1000,"id":"r1","reason":"rate_limited","status":503}"#,
    );
    let explanation = explain(&lines, "r1").expect("a line names the request");
    assert_eq!(
        explanation.cause,
        "Refused with 503, not run: all backend servers of its service limit their request rates, \
         and this process had used up its part."
    );
}

/// Guards against an explanation that doesn't name the fingerprint, by which the crashes are found.
#[test]
fn a_refusal_for_crashes_names_the_fingerprint() {
    let lines = read(
        r#"{"at":1785904809421,"up":73508228,"process":"a","run":6627560,"level":"warn","message":"Request refused","event":1000,"id":"r1","reason":"poisonous","status":503,"fingerprint":"00ab"}"#,
    );
    let explanation = explain(&lines, "r1").expect("a line names the request");
    assert_eq!(
        explanation.cause,
        "Refused with 503, not run: backend servers crashed under earlier attempts of it \
         (fingerprint 00ab)."
    );
}
