//! The search visits every state and returns a shortest trace.

use assert_matches::assert_matches;
use models::search::{
    Outcome,
    search, //
};

fn successors(state: &u32) -> Vec<(&'static str, u32)> {
    if *state >= 10 {
        return Vec::new();
    }
    vec![("one", state + 1), ("two", state + 2)]
}

#[test]
fn counts_states_when_the_invariant_holds() {
    assert_matches!(
        search(0, successors, |_| None),
        Outcome::Holds { states: 12, .. }
    );
}

#[test]
fn returns_a_shortest_trace_to_a_violation() {
    let outcome = search(0, successors, |state| (*state == 4).then_some("not four"));
    assert_matches!(outcome, Outcome::Broken { invariant: "not four", trace } => {
        assert_eq!(trace, ["two", "two"]);
    });
}
