//! Ranks of requests, and which services have streams that differ in rank or objective.

use std::time::Duration;

use environment::{
    Document,
    Index,
    document::{
        Condition,
        Limit,
        Passthrough,
        Repeats,
        Rule, //
    }, //
};
use rstest::rstest;

fn rule(name: &str, stream: bool, rank: u8, seconds: u64) -> Rule {
    Rule {
        name: name.into(),
        matches: Condition {
            path: format!("/{name}/"),
            ..Condition::default()
        },
        service: "draft".into(),
        version: String::new(),
        pass: Some(Passthrough {
            repeats: Repeats::Resumes,
            stream,
            timeout: None,
            objective: Duration::from_secs(seconds),
            gap: None,
            attempts: 1,
            rank,
            public: false,
            sticky: false,
            split: Vec::new(),
        }),
    }
}

fn index(rules: Vec<Rule>, ranks: &[Option<u8>]) -> Index {
    let teams = ranks.iter().enumerate().map(|(number, rank)| {
        let limit = Limit {
            rank: *rank,
            ..Limit::default()
        };
        (format!("t{number}"), limit)
    });
    Index::new(Document {
        environment: "production".into(),
        services: Vec::new(),
        routes: rules,
        moves: Vec::new(),
        refuses_unknown_keys: false,
        teams: teams.collect(),
        levels: Vec::new(),
        callers: None,
    })
}

#[rstest]
#[case::one_kind(vec![rule("a", true, 2, 4)], &[], false)]
#[case::same_rank_and_objective(vec![rule("a", true, 2, 4), rule("b", true, 2, 4)], &[], false)]
#[case::ranks(vec![rule("a", true, 0, 4), rule("b", true, 2, 4)], &[], true)]
#[case::objectives(vec![rule("a", true, 2, 4), rule("b", true, 2, 10)], &[], true)]
#[case::plain_requests(vec![rule("a", true, 2, 4), rule("b", false, 0, 1)], &[], false)]
#[case::teams_without_rank(vec![rule("a", true, 2, 4)], &[None, None], false)]
#[case::some_teams_with_rank(vec![rule("a", true, 2, 4)], &[None, Some(0)], true)]
#[case::teams_of_one_rank(vec![rule("a", true, 2, 4), rule("b", true, 2, 4)], &[Some(1)], false)]
#[case::routes_of_one_team_rank(vec![rule("a", true, 2, 4), rule("b", true, 0, 4)], &[Some(1)], true)]
fn streams_differ(#[case] rules: Vec<Rule>, #[case] ranks: &[Option<u8>], #[case] differ: bool) {
    let index = index(rules, ranks);
    let urgencies = index.urgencies(&"draft".into()).expect("streams");
    assert_eq!(urgencies.differ(), differ);
}

/// Guards against a team without a rank being taken for the first or the last of all.
#[test]
fn rank_of_a_team_goes_before_that_of_the_route() {
    let index = index(vec![rule("a", true, 2, 4)], &[None, Some(0), Some(9)]);
    let found = index.route("", "/a/x").expect("a route");
    let rank = |team: &str| index.rank(Some(&team.into()), found.pass);
    assert!(rank("t1") < rank("t2"));
    assert!(rank("t2") < rank("t0"));
}

/// Guards against an urgent route that loses its rank among the requests of one team, or gets ahead
/// of a team that goes first.
#[test]
fn ranks_of_routes_order_the_requests_of_equal_teams() {
    let rules = vec![rule("urgent", true, 0, 4), rule("common", true, 2, 10)];
    let index = index(rules, &[Some(0), Some(1)]);
    let rank = |team: &str, path: &str| {
        let found = index.route("", path).expect("a route");
        index.rank(Some(&team.into()), found.pass)
    };
    let order = [
        rank("t0", "/urgent/x"),
        rank("t0", "/common/x"),
        rank("t1", "/urgent/x"),
        rank("t1", "/common/x"),
    ];
    assert!(order.is_sorted_by(|one, other| one < other), "{order:?}");
    let urgencies = index.urgencies(&"draft".into()).expect("streams");
    let places: Vec<usize> = order.iter().map(|rank| urgencies.place(*rank)).collect();
    assert_eq!(places, [0, 1, 2, 3]);
    assert!(urgencies.has_after(order[2]) && !urgencies.has_after(order[3]));
}
