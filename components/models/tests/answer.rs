//! The answer's specification, searched whole, and its broken twins.

use models::{
    answer::{
        Model,
        Step,
        Variant,
        invariants::{
            ENDS,
            Known,
            NO_HOLE,
            NO_REPEAT,
            ONE_GENERATION,
            WHOLE, //
        }, //
    },
    search::{
        Outcome,
        search, //
    }, //
};
use rstest::rstest;

const WHOLE_MODEL: Model = Model {
    variant: Variant::Sound,
    length: 2,
    losses: 2,
    epochs: 2,
};

fn run(model: Model) -> Outcome<Step> {
    let known = Known::default();
    search(
        model.start(),
        |world| model.next(world),
        |world| model.broken(world, &known),
    )
}

/// Two entries, three sidecars, two losses; messages lost, repeated and reordered without bound.
#[test]
fn every_reachable_state_keeps_the_promises() {
    match run(WHOLE_MODEL) {
        Outcome::Holds {
            states,
            steps,
            took,
        } => {
            println!("answer: {states} states, {steps} steps, {took:?}");
            // A smaller space would say that the specification lost some of its steps.
            assert!(states > 50_000, "only {states} states");
        }
        Outcome::Broken { invariant, trace } => panic!("{invariant}: {trace:#?}"),
    }
}

/// Each promise is kept by one part of the protocol. Without the part, callers would get a mixed
/// text, a hole, a repeat, half an answer or none; the trace shows how.
#[rstest]
#[case::unfenced(Variant::Unfenced, 0, ONE_GENERATION)]
#[case::index_only(Variant::IndexOnly, 0, ONE_GENERATION)]
#[case::wrong_prefix(Variant::WrongPrefix, 0, ONE_GENERATION)]
#[case::blind_log_skips(Variant::BlindLog, 1, NO_HOLE)]
#[case::blind_log_repeats(Variant::BlindLog, 1, NO_REPEAT)]
#[case::early_end(Variant::EarlyEnd, 0, WHOLE)]
#[case::no_clock(Variant::NoClock, 1, ENDS)]
fn a_missing_part_is_noticed(
    #[case] variant: Variant,
    #[case] losses: u32,
    #[case] expected: &str,
) {
    let model = Model {
        variant,
        losses,
        ..WHOLE_MODEL
    };
    let known = Known::default();
    let outcome = search(
        model.start(),
        |world| model.next(world),
        |world| {
            let broken = model.broken(world, &known);
            broken.filter(|invariant| *invariant == expected)
        },
    );
    let Outcome::Broken { invariant, trace } = outcome else {
        panic!("{variant:?} keeps every promise");
    };
    assert_eq!(invariant, expected);
    insta::assert_debug_snapshot!(format!("{variant:?}-{}", expected.replace(' ', "-")), trace);
}
