//! Fenced orders: exhaustive search of the protocol, and the mutations that violate its invariants.

use assert_matches::assert_matches;
use models::{
    orders::{
        Mutation,
        check, //
    },
    search::Outcome, //
};
use rstest::rstest;

/// Orders race, sidecar and server are replaced, connections close, and the store becomes
/// unavailable. A violation would mean that a server serves an old version after a newer one was
/// ordered.
#[rstest]
#[case::checks(true)]
#[case::does_not_check(false)]
fn no_order_takes_effect_after_a_newer_one(#[case] checks: bool) {
    assert_matches!(check(Mutation::None, checks, 3), Outcome::Holds { states, steps, took } => {
        println!("orders, checks {checks}, 3 faults: {states} states, {steps} steps, {took:?}");
    });
}

#[rstest]
#[case::no_read(Mutation::NoRead, false)]
#[case::no_settle(Mutation::NoSettle, false)]
#[case::slow_is_over(Mutation::SlowIsOver, false)]
#[case::stale_counts(Mutation::StaleCounts, false)]
#[case::ignores_fence(Mutation::IgnoresFence, true)]
fn every_mutation_is_found(#[case] mutation: Mutation, #[case] checks: bool) {
    assert_matches!(check(mutation, checks, 3), Outcome::Broken { invariant, trace } => {
        insta::assert_debug_snapshot!(format!("orders_{mutation:?}"), (invariant, trace));
    });
}
