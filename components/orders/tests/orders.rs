//! Orders never take effect out of order, and loads stop when their slot's lease ends.

use std::time::Duration;

use orders::{
    Order,
    order::Fenced,
    sequencer::{
        self,
        Answer,
        Sequencer, //
    },
    slot::{
        self,
        Slot, //
    },
};
use rstest::rstest;

fn order(fence: u64) -> sequencer::Event {
    let order = Order::Load {
        model: "m".into(),
        version: format!("v{fence}"),
    };
    sequencer::Event::Order(Fenced { fence, order })
}

/// Formats an action as one line.
fn line(action: &sequencer::Action) -> String {
    match action {
        sequencer::Action::ReadStore => "read".into(),
        sequencer::Action::Send(order) => format!("send {}", order.fence),
        sequencer::Action::Wait(_) => "wait".into(),
        sequencer::Action::Answer { fence, answer } => match answer {
            Answer::Old { highest } => format!("{fence}: old, {highest}"),
            other => format!(
                "{fence}: {}",
                format!("{other:?}").split(' ').next().unwrap()
            ),
        },
    }
}

/// An older order that took effect after a newer one would undo it. Events are a minute apart, so
/// every timer has expired by the next event. `last` lists the actions that follow the last event.
#[rstest]
#[case::first_order(false, &[sequencer::Event::NewestRead(0), sequencer::Event::TimerFired, order(3)], "send 3")]
#[case::store_unavailable(false, &[sequencer::Event::StoreUnavailable, order(3)], "3: StoreOut, read")]
#[case::store_not_answered_yet(false, &[order(3)], "3: StoreOut")]
#[case::store_available_again(
    false,
    &[sequencer::Event::StoreUnavailable, order(3), sequencer::Event::NewestRead(3), sequencer::Event::TimerFired, order(3)],
    "send 3"
)]
#[case::old_after_restart(false, &[sequencer::Event::NewestRead(9), order(3)], "3: old, 9")]
#[case::held_until_settled(false, &[sequencer::Event::NewestRead(0), order(3)], "")]
#[case::sent_when_settled(
    false,
    &[sequencer::Event::NewestRead(0), order(3), sequencer::Event::TimerFired],
    "send 3"
)]
#[case::newer_replaces_held(
    false,
    &[sequencer::Event::NewestRead(0), order(3), order(4)],
    "3: old, 4"
)]
#[case::newer_waits_for_timed_out(
    false,
    &[
        sequencer::Event::NewestRead(0),
        sequencer::Event::TimerFired,
        order(3),
        sequencer::Event::TimedOut(3),
        order(4),
    ],
    ""
)]
#[case::newer_sent_after_answer(
    false,
    &[
        sequencer::Event::NewestRead(0),
        sequencer::Event::TimerFired,
        order(3),
        order(4),
        sequencer::Event::Applied(3),
    ],
    "3: Applied, send 4"
)]
#[case::closed_settles(
    false,
    &[
        sequencer::Event::NewestRead(0),
        sequencer::Event::TimerFired,
        order(3),
        order(4),
        sequencer::Event::Closed(3),
    ],
    "3: Unknown, wait"
)]
#[case::server_restarted(
    false,
    &[sequencer::Event::NewestRead(0), order(3), sequencer::Event::Restarted],
    "send 3"
)]
#[case::checks_needs_no_wait(true, &[sequencer::Event::NewestRead(0), order(3)], "send 3")]
#[case::checks_refuses(
    true,
    &[
        sequencer::Event::NewestRead(0),
        order(3),
        sequencer::Event::Refused { fence: 3, highest: 5 },
    ],
    "3: old, 5"
)]
#[case::sent_again(
    true,
    &[sequencer::Event::NewestRead(0), order(3), sequencer::Event::Applied(3), order(3)],
    "3: Applied"
)]
fn sequencer_emits_the_expected_actions(
    #[case] checks_fence: bool,
    #[case] events: &[sequencer::Event],
    #[case] last: &str,
) {
    let settings = sequencer::Settings {
        checks_fence,
        ..sequencer::Settings::default()
    };
    let mut sequencer = Sequencer::new(settings);
    let mut actions = sequencer.handle(sequencer::Event::Started, Duration::ZERO);
    for (minute, event) in (1..).zip(events) {
        actions = sequencer.handle(event.clone(), Duration::from_secs(60 * minute));
    }
    let lines: Vec<String> = actions.iter().map(line).collect();
    assert_eq!(lines.join(", "), last);
}

/// Each event has the second at which it arrives; `last` lists the actions after the last one. The
/// lease lasts ten seconds. A holder that continued past its lease would load in parallel with the
/// next holder, and the weight store would refuse both.
#[rstest]
#[case::loads(&[(0, slot::Event::Acquired)], 1, true, "[Load, Wait(3.333333333s)]")]
#[case::next_slot(&[(0, slot::Event::Occupied)], 1, false, "[Acquire { slot: 0 }]")]
#[case::all_occupied(
    &[(0, slot::Event::Occupied), (0, slot::Event::Occupied)],
    1,
    false,
    "[Release, Wait(2s)]"
)]
#[case::store_unavailable(&[(0, slot::Event::Failed)], 1, false, "[Release, Wait(2s)]")]
#[case::acquired_after_a_pause(&[(11, slot::Event::Acquired)], 11, false, "[Release, Abort]")]
#[case::paused_past_lease(
    &[(0, slot::Event::Acquired), (11, slot::Event::Tick)],
    11,
    false,
    "[Abort, Release]"
)]
#[case::paused_then_finished(
    &[(0, slot::Event::Acquired), (11, slot::Event::Finished)],
    11,
    false,
    "[Abort, Release]"
)]
#[case::no_event_after_pause(&[(0, slot::Event::Acquired)], 10, false, "[Load, Wait(3.333333333s)]")]
#[case::renewed(
    &[(0, slot::Event::Acquired), (4, slot::Event::Tick), (6, slot::Event::Renewed)],
    13,
    true,
    "[]"
)]
#[case::renewal_counts_from_its_request(
    &[(0, slot::Event::Acquired), (4, slot::Event::Tick), (6, slot::Event::Renewed)],
    14,
    false,
    "[]"
)]
#[case::renewal_failed(
    &[(0, slot::Event::Acquired), (4, slot::Event::Tick), (6, slot::Event::Failed)],
    10,
    false,
    "[]"
)]
#[case::expired(
    &[(0, slot::Event::Acquired), (4, slot::Event::Tick), (6, slot::Event::Expired)],
    6,
    false,
    "[Abort, Release]"
)]
#[case::finished(&[(0, slot::Event::Acquired), (5, slot::Event::Finished)], 5, false, "[Release]")]
fn slot_emits_the_expected_actions(
    #[case] events: &[(u64, slot::Event)],
    #[case] checked_at: u64,
    #[case] holds: bool,
    #[case] last: &str,
) {
    let settings = slot::Settings {
        slots: 2,
        ..slot::Settings::default()
    };
    let mut slot = Slot::new(settings);
    let mut actions = slot.handle(slot::Event::Requested { first: 1 }, Duration::ZERO);
    assert_eq!(actions, [slot::Action::Acquire { slot: 1 }]);
    for (second, event) in events {
        actions = slot.handle(*event, Duration::from_secs(*second));
    }
    assert_eq!(format!("{actions:?}"), last);
    assert_eq!(slot.holds(Duration::from_secs(checked_at)), holds);
}
