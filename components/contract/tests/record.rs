//! Encoding of records, keys and outcomes.

use std::time::Duration;

use contract::{
    Outcome,
    Record,
    outcome::Reason,
    record::{
        Answer,
        Body,
        State,
        digest,
        key, //
    },
    seen::Seen, //
};
use rstest::rstest;

/// Teams choose their names and keys freely. Without escaping, one team could read and replay the
/// payouts of another.
#[rstest]
#[case::slash_in_team_or_key(("a/b", "c"), ("a", "b/c"))]
#[case::percent(("a%2F", "c"), ("a/", "c"))]
#[case::empty_team(("", "a/c"), ("a", "c"))]
fn keys_of_different_teams_differ(#[case] one: (&str, &str), #[case] other: (&str, &str)) {
    assert_ne!(key("s", one.0, one.1), key("s", other.0, other.1));
}

#[test]
fn digest_distinguishes_method_path_and_body() {
    assert_ne!(digest("POST", "/a", b"b"), digest("POST", "/ab", b""));
    assert_ne!(digest("POST", "/a", b"b"), digest("PUT", "/a", b"b"));
    assert_eq!(digest("POST", "/a", b"b"), digest("POST", "/a", b"b"));
}

#[test]
fn record_encoding() {
    let states = [
        State::Forwarding { nonce: 1 },
        State::Void { nonce: 2 },
        State::Answered {
            nonce: 1,
            answer: Answer {
                status: 201,
                content_type: "application/json".into(),
                body: Body::from_bytes(b"{\"deposit\":1}"),
            },
        },
        State::Answered {
            nonce: 1,
            answer: Answer {
                status: 200,
                content_type: String::new(),
                body: Body::from_bytes(&[0xff, 0x00]),
            },
        },
    ];
    let mut lines = vec![key("ledger", "circle 7", "pay/2026")];
    for state in states {
        let record = Record {
            state,
            digest: digest("POST", "/deposits", b"{}"),
            server: "ledger-1".into(),
        };
        assert_eq!(Record::decode(&record.encode()), Some(record.clone()));
        lines.push(record.encode());
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn outcome_encoding() {
    let outcomes = [
        Outcome::not_run(Reason::StoreUnavailable, Duration::from_millis(1500)),
        Outcome::NotRun {
            reason: Reason::KeyReused,
            retry_after: None,
        },
        Outcome::Ran {
            status: 201,
            content_type: "text/plain".into(),
            body: b"done".to_vec(),
            replayed: true,
        },
        Outcome::Unknown {
            status_path: Some("/v1/calls/k".into()),
        },
    ];
    let encoded =
        outcomes.map(|outcome| (outcome.status(), outcome.retry_after(), outcome.message()));
    insta::assert_json_snapshot!(encoded);
}

/// A frame that is delivered twice must not start a second attempt, which could report `not_run`
/// for a call that runs.
#[test]
fn nonces_are_new_once_and_memory_is_bounded() {
    let mut seen = Seen::new(2);
    let new = [1, 1, 2, 1, 3, 1].map(|nonce| seen.insert(nonce));
    assert_eq!(new, [true, false, true, false, true, true]);
}
