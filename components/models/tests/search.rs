//! The search itself: it sees every state, and gives the shortest trace.

use assert_matches::assert_matches;
use models::search::{
    Outcome,
    search, //
};

fn next(state: &u32) -> Vec<(&'static str, u32)> {
    if *state >= 10 {
        return Vec::new();
    }
    vec![("one", state + 1), ("two", state + 2)]
}

#[test]
fn a_space_that_keeps_its_invariant_is_counted() {
    assert_matches!(search(0, next, |_| None), Outcome::Holds { states: 12, .. });
}

#[test]
fn a_broken_invariant_comes_with_the_shortest_trace() {
    let outcome = search(0, next, |state| (*state == 4).then_some("not four"));
    assert_matches!(outcome, Outcome::Broken { invariant: "not four", trace } => {
        assert_eq!(trace, ["two", "two"]);
    });
}
