//! The report on resumes, as operators read it.

use std::time::Duration;

use report::resumes::{
    Cause,
    Ledger,
    VERSIONS,
    text, //
};

fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    let now = Duration::from_secs(1);
    ledger.resumed("draft", "v1", Cause::Loss, true, 120, now);
    ledger.resumed("draft", "v1", Cause::Suspicion, false, 150, now);
    ledger.resumed("draft", "v2", Cause::Suspicion, true, 0, now);
    for ms in 1..=100 {
        ledger.continued("draft", "v1", Duration::from_millis(ms), now);
    }
    ledger.dropped("draft", "v1", 7, now);
    ledger
}

#[test]
fn a_screen_of_text() {
    insta::assert_snapshot!(text(&ledger().rows()));
    assert_eq!(text(&[]), "No resumes.\n");
}

#[test]
fn json() {
    let json = serde_json::to_string_pretty(&ledger().rows()).expect("JSON");
    insta::assert_snapshot!(json);
}

/// Versions come and go for months. The counts of those long gone would fill the memory.
#[test]
fn the_version_longest_without_a_resume_makes_way() {
    let mut ledger = Ledger::default();
    for number in 0..=VERSIONS {
        let now = Duration::from_secs(number as u64);
        ledger.resumed("draft", &number.to_string(), Cause::Loss, true, 1, now);
    }
    let rows = ledger.rows();
    assert_eq!(rows.len(), VERSIONS);
    assert!(rows.iter().all(|row| row.version != "0"));
}

/// A resume that takes longer than is told apart still counts.
#[test]
fn a_latency_beyond_the_bound_is_kept() {
    let mut ledger = Ledger::default();
    let day = Duration::from_secs(24 * 3600);
    ledger.continued("draft", "v1", day, day);
    let median = ledger.rows()[0].median_ms.expect("a latency");
    assert!(median >= 3_600_000);
}
