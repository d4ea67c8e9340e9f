//! Edits: what operators are told agrees with the store; each broken twin is caught.

use models::{
    edits::{
        Action,
        Twin,
        broken,
        next,
        start, //
    },
    search::{
        Outcome,
        search, //
    }, //
};
use rstest::rstest;

fn run(twin: Twin, faults: u8) -> Outcome<Action> {
    search(start(faults), |state| next(state, twin), broken)
}

#[test]
fn operators_are_told_the_truth() {
    let outcome = run(Twin::None, 3);
    println!("{outcome:?}");
    assert!(matches!(outcome, Outcome::Holds { .. }), "{outcome:?}");
}

#[rstest]
#[case("silence_is_no", Twin::SilenceIsNo, 5)]
#[case("blind_write", Twin::BlindWrite, 0)]
#[case("no_history", Twin::NoHistory, 1)]
#[case("no_pin", Twin::NoPin, 0)]
fn a_broken_twin_is_caught(#[case] name: &str, #[case] twin: Twin, #[case] faults: u8) {
    match run(twin, faults) {
        Outcome::Broken { invariant, trace } => {
            let trace: Vec<_> = trace.iter().map(|step| format!("{step:?}")).collect();
            insta::assert_snapshot!(name, format!("{invariant}\n{}", trace.join("\n")));
        }
        Outcome::Holds { .. } => panic!("the search doesn't catch {name}"),
    }
}
