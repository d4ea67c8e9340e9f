//! Fenced orders, searched whole, and each way to get them wrong.

use assert_matches::assert_matches;
use models::{
    orders::{
        Twin,
        check, //
    },
    search::Outcome, //
};
use rstest::rstest;

/// Orders race, sidecar and server are replaced, connections close, the store goes out. An operator
/// would notice a break as a server that serves an old version after a newer one was ordered.
#[rstest]
#[case::checks(true)]
#[case::does_not_check(false)]
fn an_old_order_never_follows_a_newer_one(#[case] checks: bool) {
    assert_matches!(check(Twin::None, checks, 3), Outcome::Holds { states, steps, took } => {
        println!("orders, checks {checks}, 3 faults: {states} states, {steps} steps, {took:?}");
    });
}

#[rstest]
#[case::no_read(Twin::NoRead, false)]
#[case::no_settle(Twin::NoSettle, false)]
#[case::slow_is_over(Twin::SlowIsOver, false)]
#[case::stale_counts(Twin::StaleCounts, false)]
#[case::ignores_fence(Twin::IgnoresFence, true)]
fn a_broken_twin_is_caught(#[case] twin: Twin, #[case] checks: bool) {
    assert_matches!(check(twin, checks, 3), Outcome::Broken { invariant, trace } => {
        insta::assert_debug_snapshot!(format!("orders_{twin:?}"), (invariant, trace));
    });
}
