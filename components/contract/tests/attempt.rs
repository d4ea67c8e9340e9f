//! Outcomes of the entry's state machine, case by case.

use std::time::Duration;

use assert_matches::assert_matches;
use contract::{
    Outcome,
    attempt::{
        Action,
        Attempt,
        Call,
        Class,
        Event,
        Settings, //
    },
    forwarder::Reply,
    outcome::Reason,
    record::{
        Answer,
        Body,
        Record,
        State, //
    },
    store::{
        Read,
        Stored,
        Write, //
    },
};
use rstest::rstest;

const TIMED_OUT: Event = Event::TimedOut {
    retry_allowed: true,
};

fn start(class: Class, store_available: bool) -> (Attempt, Vec<Action>) {
    let call = Call {
        class,
        digest: "d".into(),
        status_path: "/v1/calls/k".into(),
        nonce: 1,
    };
    let mut attempt = Attempt::new(call, Settings::default());
    let actions = attempt.handle(Event::Start { store_available });
    (attempt, actions)
}

fn stored(state: State, digest: &str) -> Option<Stored> {
    let record = Record {
        state,
        digest: digest.into(),
        server: "ledger-1".into(),
    };
    let revision = 9;
    Some(Stored { record, revision })
}

fn forwarding() -> Option<Stored> {
    stored(State::Forwarding { nonce: 5 }, "d")
}

fn void() -> Option<Stored> {
    stored(State::Void { nonce: 5 }, "d")
}

fn answered(digest: &str) -> Option<Stored> {
    let answer = Answer {
        status: 201,
        content_type: "application/json".into(),
        body: Body::Text("{}".into()),
    };
    stored(State::Answered { nonce: 5, answer }, digest)
}

fn conflict(stored: Option<Stored>) -> Event {
    Event::Replied(Reply::Conflict(stored))
}

fn refused(reason: Reason) -> Event {
    Event::Replied(Reply::Outcome(Outcome::not_run(reason, Duration::ZERO)))
}

/// A call that may have run must never be reported as not run, nor sent again unless it may be
/// repeated. `last` is the action that follows the last event: the reply to the caller or the
/// entry's next step.
#[rstest]
#[case::replayed(Class::Recorded, &[conflict(answered("d"))], "Ran 201 replayed")]
#[case::key_reused(Class::Recorded, &[conflict(answered("other"))], "NotRun KeyReused")]
#[case::key_reused_while_running(
    Class::Recorded,
    &[conflict(stored(State::Forwarding { nonce: 5 }, "other"))],
    "NotRun KeyReused"
)]
#[case::forwarded_by_another_entry(Class::Recorded, &[conflict(forwarding())], "Unknown /v1/calls/k")]
#[case::voided_earlier(Class::Recorded, &[conflict(void())], "Send at 9")]
#[case::record_expired(Class::Recorded, &[conflict(None)], "Send at 0")]
#[case::leaving(Class::Recorded, &[refused(Reason::Leaving)], "Send at 0")]
#[case::refused(Class::Recorded, &[refused(Reason::StoreUnavailable)], "NotRun StoreUnavailable")]
#[case::timed_out(Class::Recorded, &[TIMED_OUT], "Void at 0")]
#[case::timed_out_on_second_send(Class::Recorded, &[conflict(void()), TIMED_OUT], "Void at 9")]
#[case::void_applied(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Applied(3))], "NotRun Unresponsive")]
#[case::void_conflicts_with_forwarding(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Conflict(forwarding()))], "Unknown /v1/calls/k")]
#[case::void_conflicts_with_answer(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Conflict(answered("d")))], "Ran 201 replayed")]
#[case::void_conflicts_with_void(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Conflict(void()))], "NotRun Unresponsive")]
#[case::store_unavailable(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Refused)], "Unknown /v1/calls/k")]
#[case::void_answer_lost(
    Class::Recorded,
    &[TIMED_OUT, Event::Voided(Write::Unanswered), Event::Read(Read::Found(void().unwrap()))],
    "NotRun Unresponsive"
)]
#[case::void_write_lost(
    Class::Recorded,
    &[TIMED_OUT, Event::Voided(Write::Unanswered), Event::Read(Read::Absent)],
    "Void at 0"
)]
#[case::void_write_lost_twice(
    Class::Recorded,
    &[
        TIMED_OUT,
        Event::Voided(Write::Unanswered),
        Event::Read(Read::Absent),
        Event::Voided(Write::Unanswered),
        Event::Read(Read::Absent),
    ],
    "Unknown /v1/calls/k"
)]
#[case::no_key_timed_out(Class::Once, &[TIMED_OUT], "Unknown -")]
#[case::no_key_unsent(Class::Once, &[Event::Unsent], "Send at 0")]
#[case::no_server_reachable(Class::Once, &[Event::Unsent, Event::Unsent, Event::Unsent], "NotRun NoServer")]
#[case::repeatable_timed_out(Class::Repeatable, &[TIMED_OUT], "Send at 0")]
#[case::repeatable_without_retry_budget(Class::Repeatable, &[Event::TimedOut { retry_allowed: false }], "Unknown -")]
#[case::repeatable_timed_out_thrice(Class::Repeatable, &[TIMED_OUT, TIMED_OUT, TIMED_OUT], "Unknown -")]
fn attempt_ends_with_the_expected_action(
    #[case] class: Class,
    #[case] events: &[Event],
    #[case] last: &str,
) {
    let (mut attempt, mut actions) = start(class, true);
    assert_eq!(actions, [Action::Send { base_revision: 0 }]);
    for event in events {
        actions = attempt.handle(event.clone());
    }
    assert_eq!(actions.iter().map(text).collect::<Vec<_>>(), [last]);
}

/// While the store is unavailable, a recorded call is refused at once, so that its caller can still
/// retry before its deadline. Calls that need no record proceed.
#[rstest]
#[case::recorded(Class::Recorded, "NotRun StoreUnavailable")]
#[case::once(Class::Once, "Send at 0")]
#[case::repeatable(Class::Repeatable, "Send at 0")]
fn store_outage_refuses_only_recorded_calls(#[case] class: Class, #[case] first: &str) {
    let (_, actions) = start(class, false);
    assert_eq!(actions.iter().map(text).collect::<Vec<_>>(), [first]);
}

#[rstest]
#[case::idempotent(true, false, false, Class::Repeatable)]
#[case::deduplicates_with_key(false, true, true, Class::Repeatable)]
#[case::deduplicates_without_key(false, true, false, Class::Once)]
#[case::keyed(false, false, true, Class::Recorded)]
#[case::without_key(false, false, false, Class::Once)]
fn class_follows_from_contract_and_key(
    #[case] repeatable: bool,
    #[case] drops_repeats: bool,
    #[case] keyed: bool,
    #[case] class: Class,
) {
    assert_eq!(Class::of(repeatable, drops_repeats, keyed), class);
}

/// A status query never reports a void record as `not_run`: another request with the same key may
/// still be in transit, and a caller that then chose a new key would pay twice.
#[test]
fn status_query_never_reports_not_run() {
    for stored in [void(), forwarding()].into_iter().flatten() {
        assert_matches!(stored.record.status("/v1/calls/k"), Outcome::Unknown { .. });
    }
    let stored = answered("d").unwrap();
    assert_matches!(
        stored.record.status("/v1/calls/k"),
        Outcome::Ran { replayed: true, .. }
    );
}

fn text(action: &Action) -> String {
    match action {
        Action::Send { base_revision } => format!("Send at {base_revision}"),
        Action::Void { expect, .. } => format!("Void at {expect}"),
        Action::ReadBack => "ReadBack".into(),
        Action::Reply(Outcome::NotRun { reason, .. }) => format!("NotRun {reason:?}"),
        Action::Reply(Outcome::Ran {
            status, replayed, ..
        }) => format!("Ran {status}{}", if *replayed { " replayed" } else { "" }),
        Action::Reply(Outcome::Unknown { status_path }) => {
            format!("Unknown {}", status_path.as_deref().unwrap_or("-"))
        }
    }
}
