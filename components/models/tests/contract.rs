//! Recorded calls: exhaustive search of the protocol, and the mutations that violate its
//! invariants.

use assert_matches::assert_matches;
use models::{
    contract::{
        Mutation,
        check, //
    },
    search::Outcome, //
};
use rstest::rstest;

/// All interleavings with two faults. A violation would mean that a call ran twice, such as a
/// payment taken twice, or that it ran although the caller received `not_run`.
#[test]
fn calls_run_at_most_once_and_not_run_is_never_wrong() {
    assert_matches!(check(Mutation::None, 2), Outcome::Holds { states, steps, took } => {
        println!("recorded calls, 2 faults: {states} states, {steps} steps, {took:?}");
    });
}

#[rstest]
#[case::copy_begins(Mutation::CopyBegins)]
#[case::nonce_from_frame(Mutation::NonceFromFrame)]
#[case::unanswered_is_won(Mutation::UnansweredIsWon)]
#[case::no_compare(Mutation::NoCompare)]
#[case::sidecar_goes_on(Mutation::SidecarGoesOn)]
#[case::no_proof(Mutation::NoProof)]
#[case::broken_is_refused(Mutation::BrokenIsRefused)]
#[case::sends_again(Mutation::SendsAgain)]
fn every_mutation_is_found(#[case] mutation: Mutation) {
    assert_matches!(check(mutation, 2), Outcome::Broken { invariant, trace } => {
        insta::assert_debug_snapshot!(format!("contract_{mutation:?}"), (invariant, trace));
    });
}
