//! Answers: exhaustive search of the protocol, and the mutations that violate its invariants.

use models::{
    answer::{
        Model,
        Mutation,
        Step,
        invariants::{
            COMPLETE,
            Cache,
            NO_HOLE,
            NO_REPEAT,
            SINGLE_GENERATION,
            TERMINATES, //
        }, //
    },
    search::{
        Outcome,
        search, //
    }, //
};
use rstest::rstest;

const BASE_MODEL: Model = Model {
    mutation: Mutation::None,
    answer_tokens: 2,
    max_losses: 2,
    max_epochs: 2,
};

fn run(model: Model) -> Outcome<Step> {
    let known = Cache::default();
    search(
        model.initial(),
        |state| model.successors(state),
        |state| model.violated_invariant(state, &known),
    )
}

/// Two entries, three sidecars, two losses, and unbounded loss, duplication and reordering of
/// messages.
#[test]
fn every_reachable_state_satisfies_the_invariants() {
    match run(BASE_MODEL) {
        Outcome::Holds {
            states,
            steps,
            took,
        } => {
            println!("answer: {states} states, {steps} steps, {took:?}");
            // A smaller state space would mean that the specification lost some of its steps.
            assert!(states > 50_000, "only {states} states");
        }
        Outcome::Broken { invariant, trace } => panic!("{invariant}: {trace:#?}"),
    }
}

/// Each invariant depends on one part of the protocol. Without that part a caller would receive a
/// mixed text, a hole, a repeat, an incomplete answer, or none at all. The trace shows the failure.
#[rstest]
#[case::unfenced(Mutation::Unfenced, 0, SINGLE_GENERATION)]
#[case::index_only(Mutation::IndexOnly, 0, SINGLE_GENERATION)]
#[case::wrong_prefix(Mutation::WrongPrefix, 0, SINGLE_GENERATION)]
#[case::blind_log_skips(Mutation::BlindLog, 1, NO_HOLE)]
#[case::blind_log_repeats(Mutation::BlindLog, 1, NO_REPEAT)]
#[case::early_end(Mutation::EarlyEnd, 0, COMPLETE)]
#[case::no_clock(Mutation::NoClock, 1, TERMINATES)]
fn every_mutation_is_found(
    #[case] mutation: Mutation,
    #[case] max_losses: u32,
    #[case] expected: &str,
) {
    let model = Model {
        mutation,
        max_losses,
        ..BASE_MODEL
    };
    let known = Cache::default();
    let outcome = search(
        model.initial(),
        |state| model.successors(state),
        |state| {
            let violated = model.violated_invariant(state, &known);
            violated.filter(|invariant| *invariant == expected)
        },
    );
    let Outcome::Broken { invariant, trace } = outcome else {
        panic!("the search found no violation for {mutation:?}");
    };
    assert_eq!(invariant, expected);
    insta::assert_debug_snapshot!(
        format!("{mutation:?}-{}", expected.replace(' ', "-")),
        trace
    );
}
