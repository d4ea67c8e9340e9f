//! Tests when a silent run is checked, and when it counts as lost.

use std::time::Duration;

use answer::{
    silence::{
        Advice,
        Detector, //
    },
    threshold::Gaps, //
};
use assert_matches::assert_matches;

const OBJECTIVE: Duration = Duration::from_secs(4);

fn detector() -> Detector {
    let max_gap = Some(Duration::from_millis(700));
    let expected = Some(Default::default());
    Detector::new(OBJECTIVE, max_gap, Gaps::default(), expected)
}

/// A data centre stops responding while a run there has no event yet. Other streams there detect it
/// within a fraction of a second, so this run is checked at once instead of after a fraction of its
/// objective.
#[test]
fn a_suspicion_is_checked_at_once_and_only_once() {
    let mut detector = detector();
    let early = Duration::from_millis(300);
    assert_matches!(detector.advise(early), Advice::Wait(_));
    detector.suspect();
    assert_eq!(detector.advise(early), Advice::Connect);
    detector.record_alive(early);
    assert_matches!(detector.advise(early), Advice::Wait(_));
}

/// The suspected server sends an event before it is checked.
#[test]
fn an_event_clears_a_suspicion() {
    let mut detector = detector();
    detector.suspect();
    detector.record_event(Duration::from_millis(300));
    assert_matches!(detector.advise(Duration::from_millis(10)), Advice::Wait(_));
}

/// A suspicion must not extend a run that counts as lost already.
#[test]
fn a_suspicion_does_not_extend_a_lost_run() {
    let mut detector = detector();
    detector.suspect();
    assert_eq!(detector.advise(OBJECTIVE * 2), Advice::Lost);
}

/// Guards against a slow run that moves to a server where it is late as well, after its prompt was
/// processed twice.
#[test]
fn a_first_event_is_in_time_up_to_the_objective() {
    let detector = detector();
    let waited = OBJECTIVE / 4;
    assert!(detector.is_in_time(waited, OBJECTIVE - waited));
    let late = OBJECTIVE - waited + Duration::from_millis(1);
    assert!(!detector.is_in_time(waited, late));
}

/// Guards against a kept run whose replacement is asked for without end, and against one for which it
/// is never asked again.
#[test]
fn a_kept_run_is_given_up_again_later() {
    let mut detector = detector();
    detector.record_event(Duration::ZERO);
    let mut silence = detector.limit();
    for kept_ms in [250, 500, 1000, 2000, 2000] {
        assert_eq!(detector.advise(silence), Advice::Lost);
        detector.keep(silence);
        detector.suspect();
        let until = silence + Duration::from_millis(kept_ms);
        assert_eq!(detector.advise(silence), Advice::Wait(until));
        silence = until;
    }
    detector.record_event(Duration::ZERO);
    assert_ne!(detector.advise(Duration::ZERO), Advice::Lost);
}
