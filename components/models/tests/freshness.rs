//! Knowledge of the store: nothing is called current that isn't; each broken twin is caught.

use models::{
    freshness::{
        Action,
        Left,
        Twin,
        broken,
        next,
        start, //
    },
    search::{
        Outcome,
        search, //
    },
};
use rstest::rstest;

const LEFT: Left = Left {
    ticks: 1,
    writes: 1,
    refusals: 0,
    restarts: 1,
    beacons: 2,
    questions: 1,
};

fn run(twin: Twin, hosts: usize, left: Left) -> Outcome<Action> {
    search(start(hosts, left), |state| next(state, twin), broken)
}

#[rstest]
#[case::a_host_starts_again(2, LEFT)]
#[case::a_host_is_turned_away(2, Left { refusals: 1, restarts: 0, questions: 2, ..LEFT })]
#[case::three_hosts(3, Left { refusals: 1, restarts: 0, beacons: 1, ..LEFT })]
fn what_is_confirmed_is_known(#[case] hosts: usize, #[case] left: Left) {
    let outcome = run(Twin::None, hosts, left);
    println!("{hosts} {outcome:?}");
    assert!(matches!(outcome, Outcome::Holds { .. }), "{outcome:?}");
}

#[rstest]
#[case("any_run", Twin::AnyRun, LEFT)]
#[case("as_read", Twin::AsRead, LEFT)]
#[case("raises", Twin::Raises, LEFT)]
#[case("as_answered", Twin::AsAnswered, LEFT)]
fn a_broken_twin_is_caught(#[case] name: &str, #[case] twin: Twin, #[case] left: Left) {
    match run(twin, 2, left) {
        Outcome::Broken { invariant, trace } => {
            let trace: Vec<_> = trace.iter().map(|step| format!("{step:?}")).collect();
            insta::assert_snapshot!(name, format!("{invariant}\n{}", trace.join("\n")));
        }
        Outcome::Holds { .. } => panic!("the search doesn't catch {name}"),
    }
}
