//! When a silent run is looked into, and when it is taken for lost.

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

fn run() -> Detector {
    let gap = Some(Duration::from_millis(700));
    let expected = Some(Default::default());
    Detector::new(OBJECTIVE, gap, Gaps::default(), expected)
}

/// A data centre goes dark while a run there has given no event. Streams beside it notice within a
/// fraction of a second, and this one is looked into at once instead of after a part of its objective.
#[test]
fn a_doubt_is_looked_into_at_once_and_once() {
    let mut detector = run();
    let early = Duration::from_millis(300);
    assert_matches!(detector.advise(early), Advice::Wait(_));
    detector.suspect();
    assert_eq!(detector.advise(early), Advice::Connect);
    detector.record_alive(early);
    assert_matches!(detector.advise(early), Advice::Wait(_));
}

/// The doubted server gives an event before anybody has looked.
#[test]
fn an_event_ends_a_doubt() {
    let mut detector = run();
    detector.suspect();
    detector.record_event(Duration::from_millis(300));
    assert_matches!(detector.advise(Duration::from_millis(10)), Advice::Wait(_));
}

/// A doubt must not keep a run alive that is to be given up anyway.
#[test]
fn a_run_that_is_lost_stays_lost() {
    let mut detector = run();
    detector.suspect();
    assert_eq!(detector.advise(OBJECTIVE * 2), Advice::Lost);
}
