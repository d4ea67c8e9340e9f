//! Text and JSON of the report on resumes, and its bounds.

use std::time::Duration;

use report::resumes::{
    Cause,
    Counters,
    MAX_VERSIONS,
    text, //
};

fn counters() -> Counters {
    let mut counters = Counters::default();
    let now = Duration::from_secs(1);
    counters.record_resume("draft", "v1", Cause::Loss, true, 120, now);
    counters.record_resume("draft", "v1", Cause::Suspicion, false, 150, now);
    counters.record_resume("draft", "v2", Cause::Suspicion, true, 0, now);
    for ms in 1..=100 {
        counters.record_latency("draft", "v1", Duration::from_millis(ms), now);
    }
    counters.record_dropped("draft", "v1", 7, now);
    counters
}

#[test]
fn text_report() {
    insta::assert_snapshot!(text(&counters().rows()));
    assert_eq!(text(&[]), "No resumes.\n");
}

#[test]
fn json_report() {
    let json = serde_json::to_string_pretty(&counters().rows()).expect("JSON");
    insta::assert_snapshot!(json);
}

/// Over months a process meets any number of versions. Without eviction, the counts of removed ones
/// would accumulate in memory.
#[test]
fn the_version_with_the_oldest_resume_is_evicted() {
    let mut counters = Counters::default();
    for number in 0..=MAX_VERSIONS {
        let now = Duration::from_secs(number as u64);
        counters.record_resume("draft", &number.to_string(), Cause::Loss, true, 1, now);
    }
    let rows = counters.rows();
    assert_eq!(rows.len(), MAX_VERSIONS);
    assert!(rows.iter().all(|row| row.version != "0"));
}

/// A resume that takes longer than the largest latency of the histogram still counts.
#[test]
fn a_latency_above_the_histogram_bound_counts() {
    let mut counters = Counters::default();
    let day = Duration::from_secs(24 * 3600);
    counters.record_latency("draft", "v1", day, day);
    let median = counters.rows()[0].median_ms.expect("a latency");
    assert!(median >= 3_600_000);
}
