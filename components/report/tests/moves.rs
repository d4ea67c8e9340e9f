//! Text of the report on moves.

use std::time::{
    Duration,
    SystemTime, //
};

use report::moves::{
    Evidence,
    Progress,
    VersionCounts,
    text, //
};

#[test]
fn a_reverted_move_shows_its_reason() {
    let count = |requests, failed| VersionCounts {
        requests,
        failed,
        slow_first: 1,
        slow_between: 0,
    };
    let progress = Progress {
        name: "drafting-2".into(),
        from: "v1".into(),
        to: "v2".into(),
        permille: 0,
        by: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
        against: 812.0,
        state: "reverted".into(),
        reason: "requests failed on route letters: 9 of 120, before 2 of 4100".into(),
        routes: vec![Evidence {
            route: "letters".into(),
            old: count(4100, 2),
            new: count(120, 9),
        }],
    };
    insta::assert_snapshot!(text(&[progress]));
    assert_eq!(text(&[]), "No moves.\n");
}
