//! Edits: reported outcomes agree with the store, and the search finds every mutation.

use models::{
    edits::{
        Action,
        Mutation,
        initial,
        successors,
        violated_invariant, //
    },
    search::{
        Outcome,
        search, //
    }, //
};
use rstest::rstest;

fn run(mutation: Mutation, faults: u8) -> Outcome<Action> {
    search(
        initial(faults),
        |state| successors(state, mutation),
        violated_invariant,
    )
}

#[test]
fn reported_outcomes_agree_with_the_store() {
    let outcome = run(Mutation::None, 3);
    println!("{outcome:?}");
    assert!(matches!(outcome, Outcome::Holds { .. }), "{outcome:?}");
}

#[rstest]
#[case("unanswered_is_refused", Mutation::UnansweredIsRefused, 5)]
#[case("no_compare", Mutation::NoCompare, 0)]
#[case("no_history", Mutation::NoHistory, 1)]
#[case("no_pin", Mutation::NoPin, 0)]
fn every_mutation_is_found(#[case] name: &str, #[case] mutation: Mutation, #[case] faults: u8) {
    match run(mutation, faults) {
        Outcome::Broken { invariant, trace } => {
            let trace: Vec<_> = trace.iter().map(|step| format!("{step:?}")).collect();
            insta::assert_snapshot!(name, format!("{invariant}\n{}", trace.join("\n")));
        }
        Outcome::Holds { .. } => panic!("the search found no violation for {name}"),
    }
}
