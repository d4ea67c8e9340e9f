//! The sidecar's state machine, event by event, with every fault of the store and the service.

use std::time::Duration;

use contract::{
    forwarder::{
        Action,
        Call,
        Event,
        Forwarder,
        Settings, //
    },
    record::{
        MAX_RECORDED_BODY_BYTES,
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

const OWN_NONCE: u64 = 7;

fn call(base_revision: u64) -> Call {
    Call {
        base_revision,
        digest: "d".into(),
        server: "ledger-1".into(),
        nonce: OWN_NONCE,
        status_path: "/v1/calls/k".into(),
    }
}

fn stored(state: State, revision: u64) -> Stored {
    let record = Record {
        state,
        digest: "d".into(),
        server: "ledger-1".into(),
    };
    Stored { record, revision }
}

fn forwarding(nonce: u64, revision: u64) -> Stored {
    stored(State::Forwarding { nonce }, revision)
}

fn answer(length: usize) -> Event {
    Event::Answered(Response {
        status: 201,
        content_type: "text/plain".into(),
        body: vec![b'x'; length],
    })
}

/// Formats an action as one line, without the fields that are equal in every case.
fn line(action: &Action) -> String {
    match action {
        Action::Create { expect, record } => format!("create at {expect}: {:?}", record.state),
        Action::Write { expect, record } => format!("write at {expect}: {:?}", record.state),
        other => format!("{other:?}"),
    }
}

/// If the service may have received the call, the caller must not receive `not_run`. If it
/// certainly has not, the record must end void; otherwise the caller's next request would receive
/// `unknown`.
#[rstest]
#[case::success("success", &[Event::Created(Write::Applied(1)), answer(2), Event::Written(Write::Applied(2))])]
#[case::store_unavailable("store_unavailable", &[Event::Created(Write::Refused)])]
#[case::create_answer_lost("create_answer_lost", &[Event::Created(Write::Unanswered), Event::Read(Read::Found(forwarding(OWN_NONCE, 4)))])]
#[case::create_lost("create_lost", &[
    Event::Created(Write::Unanswered),
    Event::Read(Read::Absent),
    Event::Written(Write::Applied(5)),
])]
#[case::create_delayed("create_delayed", &[
    Event::Created(Write::Unanswered),
    Event::Read(Read::Absent),
    Event::Written(Write::Conflict(Some(forwarding(OWN_NONCE, 4)))),
    Event::Written(Write::Applied(5)),
])]
#[case::store_unresponsive("store_unresponsive", &[
    Event::Created(Write::Unanswered),
    Event::Read(Read::Failed),
    Event::Written(Write::Unanswered),
    Event::TimerFired,
    Event::Written(Write::Refused),
    Event::TimerFired,
    Event::Written(Write::Refused),
])]
#[case::created_by_another("created_by_another", &[Event::Created(Write::Conflict(Some(forwarding(8, 4))))])]
#[case::created_by_another_unanswered("created_by_another_unanswered", &[
    Event::Created(Write::Unanswered),
    Event::Read(Read::Found(forwarding(8, 4))),
])]
#[case::entry_gone("entry_gone", &[Event::EntryGone, Event::Created(Write::Applied(1)), Event::Written(Write::Applied(2))])]
#[case::entry_gone_while_running("entry_gone_while_running", &[Event::Created(Write::Applied(1)), Event::EntryGone, answer(2)])]
#[case::unreachable("unreachable", &[Event::Created(Write::Applied(1)), Event::Unreachable])]
#[case::connection_lost("connection_lost", &[Event::Created(Write::Applied(1)), Event::ConnectionLost])]
#[case::response_after_timeout("response_after_timeout", &[
    Event::Created(Write::Applied(1)),
    Event::TimedOut,
    answer(2),
    Event::Written(Write::Unanswered),
    Event::TimerFired,
    Event::Written(Write::Conflict(None)),
])]
#[case::requested_twice("requested_twice", &[Event::Requested, Event::Created(Write::Applied(1)), Event::Created(Write::Applied(1))])]
fn forwarder_follows_the_recorded_trace(#[case] name: &str, #[case] events: &[Event]) {
    let settings = Settings {
        max_write_attempts: 2,
        ..Settings::default()
    };
    let mut machine = Forwarder::new(call(0), settings);
    let mut lines = vec!["Requested".to_string()];
    let requested = machine.handle(Event::Requested, Duration::ZERO);
    lines.extend(requested.iter().map(|action| format!("  {}", line(action))));
    for event in events {
        lines.push(format!("{event:?}"));
        let actions = machine.handle(event.clone(), Duration::from_secs(1));
        lines.extend(actions.iter().map(|action| format!("  {}", line(action))));
    }
    lines.push(format!("done: {}", machine.done()));
    insta::assert_snapshot!(name.to_string(), lines.join("\n"));
}

/// A sidecar is paused while its create is answered, and resumes after its entry has reported
/// `unknown` to the caller. The call must not start that late.
#[test]
fn create_answered_after_the_start_timeout_is_voided() {
    let mut machine = Forwarder::new(call(3), Settings::default());
    machine.handle(Event::Requested, Duration::from_secs(100));
    let actions = machine.handle(Event::Created(Write::Applied(4)), Duration::from_secs(106));
    let lines: Vec<String> = actions.iter().map(line).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// A service's response is larger than a value of the store may be. The caller receives all of it;
/// only the record omits the body.
#[test]
fn oversized_body_reaches_the_caller() {
    let mut machine = Forwarder::new(call(0), Settings::default());
    machine.handle(Event::Requested, Duration::ZERO);
    machine.handle(Event::Created(Write::Applied(1)), Duration::ZERO);
    let actions = machine.handle(answer(MAX_RECORDED_BODY_BYTES + 1), Duration::ZERO);
    let text = format!("{:?}", actions[0]);
    assert!(
        text.len() > MAX_RECORDED_BODY_BYTES,
        "the reply holds the whole body"
    );
    insta::assert_snapshot!(line(&actions[1]));
}
