//! The sidecar's machine, event by event, with every fault of the store and the service.

use std::time::Duration;

use contract::{
    handover::{
        Action,
        Call,
        Event,
        Handover,
        Settings, //
    },
    record::{
        MAX_BODY_BYTES,
        Record,
        Response,
        State, //
    },
    store::{
        Read,
        Stored,
        Write, //
    },
};
use rstest::rstest;

const OWN: u64 = 7;

fn call(base: u64) -> Call {
    Call {
        base,
        digest: "d".into(),
        server: "ledger-1".into(),
        nonce: OWN,
        status_path: "/v1/calls/k".into(),
    }
}

fn standing(state: State, revision: u64) -> Stored {
    let record = Record {
        state,
        digest: "d".into(),
        server: "ledger-1".into(),
    };
    Stored { record, revision }
}

fn handed(nonce: u64, revision: u64) -> Stored {
    standing(State::Handed { nonce }, revision)
}

fn answer(length: usize) -> Event {
    Event::Answered(Response {
        status: 201,
        content_type: "text/plain".into(),
        body: vec![b'x'; length],
    })
}

/// A line an action, without what never changes.
fn line(action: &Action) -> String {
    match action {
        Action::Create { expect, record } => format!("create at {expect}: {:?}", record.state),
        Action::Write { expect, record } => format!("write at {expect}: {:?}", record.state),
        other => format!("{other:?}"),
    }
}

/// Each case is a way in which a hand-over can go. Wherever the service isn't surely untouched, the
/// caller must not be told `not_run`; wherever it surely is, the record must end void, so that the
/// caller's next request isn't told `unknown`.
#[rstest]
#[case::plain("plain", &[Event::Created(Write::Applied(1)), answer(2), Event::Written(Write::Applied(2))])]
#[case::store_out("store_out", &[Event::Created(Write::Refused)])]
#[case::answer_lost("answer_lost", &[Event::Created(Write::Unanswered), Event::Read(Read::Found(handed(OWN, 4)))])]
#[case::write_lost("write_lost", &[
    Event::Created(Write::Unanswered),
    Event::Read(Read::Absent),
    Event::Written(Write::Applied(5)),
])]
#[case::write_late("write_late", &[
    Event::Created(Write::Unanswered),
    Event::Read(Read::Absent),
    Event::Written(Write::Conflict(Some(handed(OWN, 4)))),
    Event::Written(Write::Applied(5)),
])]
#[case::store_silent("store_silent", &[
    Event::Created(Write::Unanswered),
    Event::Read(Read::Failed),
    Event::Written(Write::Unanswered),
    Event::TimerFired,
    Event::Written(Write::Refused),
    Event::TimerFired,
    Event::Written(Write::Refused),
])]
#[case::other_was_first("other_was_first", &[Event::Created(Write::Conflict(Some(handed(8, 4))))])]
#[case::other_was_first_unanswered("other_was_first_unanswered", &[
    Event::Created(Write::Unanswered),
    Event::Read(Read::Found(handed(8, 4))),
])]
#[case::entry_gone("entry_gone", &[Event::EntryGone, Event::Created(Write::Applied(1)), Event::Written(Write::Applied(2))])]
#[case::entry_gone_while_running("entry_gone_while_running", &[Event::Created(Write::Applied(1)), Event::EntryGone, answer(2)])]
#[case::unreachable("unreachable", &[Event::Created(Write::Applied(1)), Event::Unreachable])]
#[case::died("died", &[Event::Created(Write::Applied(1)), Event::ConnectionLost])]
#[case::silent_then_answered("silent_then_answered", &[
    Event::Created(Write::Applied(1)),
    Event::TimedOut,
    answer(2),
    Event::Written(Write::Unanswered),
    Event::TimerFired,
    Event::Written(Write::Conflict(None)),
])]
#[case::asked_twice("asked_twice", &[Event::Requested, Event::Created(Write::Applied(1)), Event::Created(Write::Applied(1))])]
fn a_hand_over(#[case] name: &str, #[case] events: &[Event]) {
    let settings = Settings {
        max_write_attempts: 2,
        ..Settings::default()
    };
    let mut machine = Handover::new(call(0), settings);
    let mut lines = vec!["Requested".to_string()];
    let asked = machine.handle(Event::Requested, Duration::ZERO);
    lines.extend(asked.iter().map(|action| format!("  {}", line(action))));
    for event in events {
        lines.push(format!("{event:?}"));
        let actions = machine.handle(event.clone(), Duration::from_secs(1));
        lines.extend(actions.iter().map(|action| format!("  {}", line(action))));
    }
    lines.push(format!("done: {}", machine.done()));
    insta::assert_snapshot!(name.to_string(), lines.join("\n"));
}

/// A sidecar is stopped while its create is answered and goes on after its entry has told the
/// caller `unknown`. A call that started only then would surprise everybody.
#[test]
fn a_create_answered_after_the_limit_is_voided() {
    let mut machine = Handover::new(call(3), Settings::default());
    machine.handle(Event::Requested, Duration::from_secs(100));
    let actions = machine.handle(Event::Created(Write::Applied(4)), Duration::from_secs(106));
    let lines: Vec<String> = actions.iter().map(line).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// A service answers with more than a value of the store may hold. Its caller gets all of it, and
/// only the record goes without.
#[test]
fn a_long_body_reaches_its_caller() {
    let mut machine = Handover::new(call(0), Settings::default());
    machine.handle(Event::Requested, Duration::ZERO);
    machine.handle(Event::Created(Write::Applied(1)), Duration::ZERO);
    let actions = machine.handle(answer(MAX_BODY_BYTES + 1), Duration::ZERO);
    let text = format!("{:?}", actions[0]);
    assert!(
        text.len() > MAX_BODY_BYTES,
        "the reply holds the whole body"
    );
    insta::assert_snapshot!(line(&actions[1]));
}
