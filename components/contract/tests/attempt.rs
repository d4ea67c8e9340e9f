//! The entry's machine: what a caller is told in each case.

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
    handover::Reply,
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

fn standing(state: State, digest: &str) -> Option<Stored> {
    let record = Record {
        state,
        digest: digest.into(),
        server: "ledger-1".into(),
    };
    let revision = 9;
    Some(Stored { record, revision })
}

fn handed() -> Option<Stored> {
    standing(State::Handed { nonce: 5 }, "d")
}

fn void() -> Option<Stored> {
    standing(State::Void { nonce: 5 }, "d")
}

fn answered(digest: &str) -> Option<Stored> {
    let answer = Answer {
        status: 201,
        content_type: "application/json".into(),
        body: Body::Text("{}".into()),
    };
    standing(State::Answered { nonce: 5, answer }, digest)
}

fn lost(standing: Option<Stored>) -> Event {
    Event::Replied(Reply::Conflict(standing))
}

fn refused(reason: Reason) -> Event {
    Event::Replied(Reply::Outcome(Outcome::not_run(reason, Duration::ZERO)))
}

/// The text is the last action: what the caller is told, or what the entry does next.
#[rstest]
#[case::replayed(Class::Recorded, &[lost(answered("d"))], "Ran 201 again")]
#[case::key_reused(Class::Recorded, &[lost(answered("other"))], "NotRun KeyReused")]
#[case::key_reused_while_running(
    Class::Recorded,
    &[lost(standing(State::Handed { nonce: 5 }, "other"))],
    "NotRun KeyReused"
)]
#[case::other_entry_was_first(Class::Recorded, &[lost(handed())], "Unknown /v1/calls/k")]
#[case::voided_before(Class::Recorded, &[lost(void())], "Send at 9")]
#[case::record_lapsed(Class::Recorded, &[lost(None)], "Send at 0")]
#[case::leaving(Class::Recorded, &[refused(Reason::Leaving)], "Send at 0")]
#[case::refused(Class::Recorded, &[refused(Reason::StoreOut)], "NotRun StoreOut")]
#[case::silent(Class::Recorded, &[TIMED_OUT], "Void at 0")]
#[case::silent_later(Class::Recorded, &[lost(void()), TIMED_OUT], "Void at 9")]
#[case::proven(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Applied(3))], "NotRun Silent")]
#[case::may_run(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Conflict(handed()))], "Unknown /v1/calls/k")]
#[case::ran(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Conflict(answered("d")))], "Ran 201 again")]
#[case::given_up(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Conflict(void()))], "NotRun Silent")]
#[case::store_out(Class::Recorded, &[TIMED_OUT, Event::Voided(Write::Refused)], "Unknown /v1/calls/k")]
#[case::answer_lost(
    Class::Recorded,
    &[TIMED_OUT, Event::Voided(Write::Unanswered), Event::Read(Read::Found(void().unwrap()))],
    "NotRun Silent"
)]
#[case::write_lost(
    Class::Recorded,
    &[TIMED_OUT, Event::Voided(Write::Unanswered), Event::Read(Read::Absent)],
    "Void at 0"
)]
#[case::write_lost_twice(
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
#[case::no_key_silent(Class::Once, &[TIMED_OUT], "Unknown -")]
#[case::no_key_unsent(Class::Once, &[Event::Unsent], "Send at 0")]
#[case::nobody_there(Class::Once, &[Event::Unsent, Event::Unsent, Event::Unsent], "NotRun NoServer")]
#[case::repeatable_silent(Class::Repeatable, &[TIMED_OUT], "Send at 0")]
#[case::repeatable_no_budget(Class::Repeatable, &[Event::TimedOut { retry_allowed: false }], "Unknown -")]
#[case::repeatable_silent_thrice(Class::Repeatable, &[TIMED_OUT, TIMED_OUT, TIMED_OUT], "Unknown -")]
fn an_attempt(#[case] class: Class, #[case] events: &[Event], #[case] last: &str) {
    let (mut attempt, mut actions) = start(class, true);
    assert_eq!(actions, [Action::Send { base: 0 }]);
    for event in events {
        actions = attempt.handle(event.clone());
    }
    assert_eq!(actions.iter().map(text).collect::<Vec<_>>(), [last]);
}

/// The store is out. A caller of a kept call that was held until its deadline could not even come
/// back in time; calls that need no record go on.
#[rstest]
#[case::kept(Class::Recorded, "NotRun StoreOut")]
#[case::once(Class::Once, "Send at 0")]
#[case::repeatable(Class::Repeatable, "Send at 0")]
fn while_the_store_is_out(#[case] class: Class, #[case] first: &str) {
    let (_, actions) = start(class, false);
    assert_eq!(actions.iter().map(text).collect::<Vec<_>>(), [first]);
}

#[rstest]
#[case::idempotent(true, false, false, Class::Repeatable)]
#[case::drops_repeats_with_key(false, true, true, Class::Repeatable)]
#[case::drops_repeats_without_key(false, true, false, Class::Once)]
#[case::keyed(false, false, true, Class::Recorded)]
#[case::bare(false, false, false, Class::Once)]
fn a_class(#[case] free: bool, #[case] drops: bool, #[case] keyed: bool, #[case] class: Class) {
    assert_eq!(Class::of(free, drops, keyed), class);
}

/// A void record doesn't tell a poll that the call was not run: another request with the key may
/// still be on its way, and a caller that took a new key would pay twice.
#[test]
fn a_poll_never_says_not_run() {
    for standing in [void(), handed()].into_iter().flatten() {
        assert_matches!(
            standing.record.status("/v1/calls/k"),
            Outcome::Unknown { .. }
        );
    }
    let standing = answered("d").unwrap();
    assert_matches!(
        standing.record.status("/v1/calls/k"),
        Outcome::Ran { replayed: true, .. }
    );
}

fn text(action: &Action) -> String {
    match action {
        Action::Send { base } => format!("Send at {base}"),
        Action::Void { expect, .. } => format!("Void at {expect}"),
        Action::ReadBack => "ReadBack".into(),
        Action::Reply(Outcome::NotRun { reason, .. }) => format!("NotRun {reason:?}"),
        Action::Reply(Outcome::Ran {
            status, replayed, ..
        }) => format!("Ran {status}{}", if *replayed { " again" } else { "" }),
        Action::Reply(Outcome::Unknown { status_path }) => {
            format!("Unknown {}", status_path.as_deref().unwrap_or("-"))
        }
    }
}
