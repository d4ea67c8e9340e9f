//! Kept calls, searched whole, and each way to get them wrong.

use assert_matches::assert_matches;
use models::{
    contract::{
        Twin,
        check, //
    },
    search::Outcome, //
};
use rstest::rstest;

/// Every order of events with two faults. A caller would notice a break as money taken twice, or
/// taken although it was told `not_run`.
#[test]
fn calls_run_at_most_once_and_not_run_holds() {
    assert_matches!(check(Twin::None, 2), Outcome::Holds { states, steps, took } => {
        println!("kept calls, 2 faults: {states} states, {steps} steps, {took:?}");
    });
}

#[rstest]
#[case::copy_begins(Twin::CopyBegins)]
#[case::nonce_from_frame(Twin::NonceFromFrame)]
#[case::unanswered_is_won(Twin::UnansweredIsWon)]
#[case::no_compare(Twin::NoCompare)]
#[case::sidecar_goes_on(Twin::SidecarGoesOn)]
#[case::no_proof(Twin::NoProof)]
#[case::broken_is_refused(Twin::BrokenIsRefused)]
#[case::sends_again(Twin::SendsAgain)]
fn a_broken_twin_is_caught(#[case] twin: Twin) {
    assert_matches!(check(twin, 2), Outcome::Broken { invariant, trace } => {
        insta::assert_debug_snapshot!(format!("contract_{twin:?}"), (invariant, trace));
    });
}
