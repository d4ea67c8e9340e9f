//! When a silent run is looked into, and when it is taken for lost.

use std::time::Duration;

use answer::{
    silence::{
        Advice,
        Silence, //
    },
    threshold::Gaps, //
};
use assert_matches::assert_matches;

const OBJECTIVE: Duration = Duration::from_secs(4);

fn run() -> Silence {
    let gap = Some(Duration::from_millis(700));
    let expected = Some(Default::default());
    Silence::new(OBJECTIVE, gap, Gaps::default(), expected)
}

/// A data centre goes dark while a run there has given no event. Streams beside it notice within a
/// fraction of a second, and this one is looked into at once instead of after a part of its objective.
#[test]
fn a_doubt_is_looked_into_at_once_and_once() {
    let mut silence = run();
    let early = Duration::from_millis(300);
    assert_matches!(silence.advise(early), Advice::Wait(_));
    silence.doubt();
    assert_eq!(silence.advise(early), Advice::Check);
    silence.alive(early);
    assert_matches!(silence.advise(early), Advice::Wait(_));
}

/// The doubted server gives an event before anybody has looked.
#[test]
fn an_event_ends_a_doubt() {
    let mut silence = run();
    silence.doubt();
    silence.heard(Duration::from_millis(300));
    assert_matches!(silence.advise(Duration::from_millis(10)), Advice::Wait(_));
}

/// A doubt must not keep a run alive that is to be given up anyway.
#[test]
fn a_run_that_is_lost_stays_lost() {
    let mut silence = run();
    silence.doubt();
    assert_eq!(silence.advise(OBJECTIVE * 2), Advice::Lost);
}
