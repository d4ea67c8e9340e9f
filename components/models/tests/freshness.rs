//! Freshness: no process confirms a state that is not current, and the search finds every mutation.

use models::{
    freshness::{
        Action,
        Budget,
        Mutation,
        initial,
        successors,
        violated_invariant, //
    },
    search::{
        Outcome,
        search, //
    },
};
use rstest::rstest;

const BUDGET: Budget = Budget {
    ticks: 1,
    writes: 1,
    refusals: 0,
    restarts: 1,
    beacons: 2,
    queries: 1,
};

fn run(mutation: Mutation, hosts: usize, budget: Budget) -> Outcome<Action> {
    search(
        initial(hosts, budget),
        |state| successors(state, mutation),
        violated_invariant,
    )
}

#[rstest]
#[case::host_restarts(2, BUDGET)]
#[case::host_is_refused_by_the_store(2, Budget { refusals: 1, restarts: 0, queries: 2, ..BUDGET })]
#[case::three_hosts(3, Budget { refusals: 1, restarts: 0, beacons: 1, ..BUDGET })]
fn confirmed_processes_have_all_earlier_changes(#[case] hosts: usize, #[case] budget: Budget) {
    let outcome = run(Mutation::None, hosts, budget);
    println!("{hosts} {outcome:?}");
    assert!(matches!(outcome, Outcome::Holds { .. }), "{outcome:?}");
}

#[rstest]
#[case("ignore_incarnation", Mutation::IgnoreIncarnation, BUDGET)]
#[case("date_claim_on_arrival", Mutation::DateClaimOnArrival, BUDGET)]
#[case("claim_raises_revision", Mutation::ClaimRaisesRevision, BUDGET)]
#[case("date_response_on_arrival", Mutation::DateResponseOnArrival, BUDGET)]
fn every_mutation_is_found(#[case] name: &str, #[case] mutation: Mutation, #[case] budget: Budget) {
    match run(mutation, 2, budget) {
        Outcome::Broken { invariant, trace } => {
            let trace: Vec<_> = trace.iter().map(|step| format!("{step:?}")).collect();
            insta::assert_snapshot!(name, format!("{invariant}\n{}", trace.join("\n")));
        }
        Outcome::Holds { .. } => panic!("the search found no violation for {name}"),
    }
}
