//! Tests of the resume decisions: the actions that result from each fault, as snapshots.
//!
//! The bounds of the threshold are equal, so an engine is suspected 1 s after a token and 4 s after
//! its placement.

use std::time::Duration;

use answer::{
    Breakage,
    Finish,
    position::Position,
    resume::{
        Action,
        Event,
        Resume,
        Settings, //
    },
    threshold, //
};
use assert_matches::assert_matches;
use names::{
    Epoch,
    Index, //
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn settings() -> Settings {
    Settings {
        suspicion: threshold::Settings {
            lowest: SECOND,
            highest: SECOND,
            ..threshold::Settings::default()
        },
        deadline: SECOND * 60,
        max_epochs: 4,
        ..Settings::default()
    }
}

fn begin() -> Event {
    Event::Begin { from: 0 }
}

fn placed(epoch: Epoch) -> Event {
    let server = format!("s{epoch}");
    Event::Placed { epoch, server }
}

fn no_place(epoch: Epoch) -> Event {
    let retry_after = SECOND * 3;
    Event::NoPlace { epoch, retry_after }
}

fn refused(epoch: Epoch) -> Event {
    let retry_after = SECOND * 3;
    Event::Refused { epoch, retry_after }
}

fn tokens(epoch: Epoch, index: Index, words: &str) -> Event {
    let tokens = words.split(' ').map(str::to_string).collect();
    Event::Tokens {
        epoch,
        index,
        tokens,
    }
}

fn end(epoch: Epoch, total: Index) -> Event {
    let finish = Finish::Stop;
    Event::End {
        epoch,
        total,
        finish,
    }
}

fn broken(epoch: Epoch, total: Index, breakage: Breakage) -> Event {
    let finish = Finish::Broken(breakage);
    Event::End {
        epoch,
        total,
        finish,
    }
}

fn lost(epoch: Epoch) -> Event {
    Event::LinkLost { epoch }
}

fn position(words: &str) -> Position {
    let mut position = Position::default();
    for word in words.split(' ') {
        position.push(word);
    }
    position
}

fn found(epoch: Epoch, position: Position) -> Event {
    let server = format!("s{epoch}");
    Event::Found {
        epoch,
        server,
        position,
    }
}

/// Runs a script of (milliseconds, event) and returns a line per event and per resulting action.
fn run(settings: Settings, script: Vec<(u64, Event)>) -> Vec<String> {
    let mut resume = Resume::new(settings, Duration::ZERO);
    let mut lines = Vec::new();
    for (at, event) in script {
        let mut actions = Vec::new();
        let mut line = format!("{at} ms {event:?}");
        resume.handle(Duration::from_millis(at), event, &mut actions);
        for action in &actions {
            line += &format!("\n    {action:?}");
        }
        lines.push(line);
    }
    let wake = resume.next_wake().map(|wake| wake.as_millis());
    lines.push(format!("next {}, wake {wake:?}", resume.next()));
    lines
}

/// Guards against an answer that stops midway, lacks a word or repeats one, when engines, hosts and
/// links fail in each phase of an answer.
#[rstest]
#[case::nothing_fails("nothing_fails", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a b")), (90, tokens(1, 2, "c")), (91, end(1, 3)),
])]
#[case::engine_dies_before_its_first_token("engine_dies_first", vec![
    (0, begin()), (1, placed(1)), (20, broken(1, 0, Breakage::EngineDied)), (21, placed(2)),
    (80, tokens(2, 0, "a")), (81, end(2, 1)),
])]
#[case::engine_dies_midway("engine_dies_midway", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a b")), (60, broken(1, 2, Breakage::EngineDied)),
    (61, placed(2)), (90, tokens(2, 2, "c")), (91, end(2, 3)),
])]
#[case::engine_dies_between_last_token_and_end("engine_dies_before_end", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a b")), (60, broken(1, 2, Breakage::EngineDied)),
    (61, placed(2)), (90, end(2, 2)),
])]
#[case::engine_stalls_and_resumes_after_the_answer_moved("engine_wakes_late", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (550, Event::Tick), (1049, Event::Tick), (1050, Event::Tick),
    (1051, placed(2)), (1100, tokens(2, 1, "b")), (1101, tokens(1, 1, "B C")), (1102, end(1, 3)),
    (1103, end(2, 2)),
])]
#[case::engine_is_slow_and_goes_on("engine_slow", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (1050, Event::Tick), (1051, placed(2)),
    (1060, tokens(1, 1, "b")), (1070, tokens(2, 1, "B")), (1080, end(1, 2)),
])]
#[case::second_epoch_is_placed_after_it_was_fenced("placed_late", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (1050, Event::Tick),
    (1060, tokens(1, 1, "b")), (1070, placed(2)),
])]
#[case::link_is_lost_and_reattached("link_lost", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a b")), (60, lost(1)),
    (70, Event::Attached { epoch: 1 }), (71, tokens(1, 1, "b c")), (72, end(1, 3)),
])]
#[case::host_is_gone_and_dials_fail("dials_fail", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (60, lost(1)), (61, lost(1)),
    (161, Event::Tick), (162, lost(1)), (362, Event::Tick), (363, lost(1)), (763, Event::Tick),
    (764, lost(1)), (765, placed(2)), (800, tokens(2, 1, "b")), (801, end(2, 2)),
])]
#[case::sidecar_restarted_without_the_generation("attach_missed", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (60, lost(1)),
    (70, Event::AttachMissed { epoch: 1 }), (71, placed(2)), (100, tokens(2, 1, "b")), (101, end(2, 2)),
])]
#[case::link_is_silent_and_a_new_one_delivers_the_tokens("link_silent", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (549, Event::Tick), (550, Event::Tick),
    (553, Event::Attached { epoch: 1 }), (553, tokens(1, 1, "b c")), (554, end(1, 3)),
])]
#[case::sidecar_restarted_during_silence("probe_missed", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (550, Event::Tick),
    (553, Event::AttachMissed { epoch: 1 }), (554, placed(2)), (600, tokens(2, 1, "b")), (601, end(2, 2)),
])]
#[case::tokens_are_missing_in_the_stream("hole", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (60, tokens(1, 2, "c")),
    (70, Event::Attached { epoch: 1 }), (71, tokens(1, 1, "b c")), (72, end(1, 3)),
])]
#[case::the_end_comes_before_the_last_token("end_early", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (60, end(1, 2)),
    (70, Event::Attached { epoch: 1 }), (71, tokens(1, 1, "b")), (72, end(1, 2)),
])]
#[case::both_engines_are_silent("two_faults", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (1050, Event::Tick), (1051, placed(2)),
    (5051, Event::Tick), (5052, placed(3)), (5100, tokens(3, 1, "b")), (5101, end(3, 2)),
])]
#[case::a_suspicion_is_denied_by_the_retry_budget("denied", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (1050, Event::Tick),
    (1050, Event::Denied { epoch: 2 }), (2049, Event::Tick), (2050, Event::Tick),
])]
#[case::the_suspected_epoch_is_lost_before_the_denial("denied_alone", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (1050, Event::Tick),
    (1051, broken(1, 1, Breakage::EngineDied)), (1052, Event::Denied { epoch: 2 }), (1053, placed(3)),
])]
#[case::suspicion_finds_no_replica("suspicion_no_place", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (1050, Event::Tick), (1051, no_place(2)),
    (1100, tokens(1, 1, "b")), (1101, end(1, 2)),
])]
#[case::no_replica_is_left("no_replica", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")),
    (60, broken(1, 1, Breakage::EngineDied)), (60, no_place(2)),
])]
#[case::every_replica_refuses("refused", vec![
    (0, begin()), (1, placed(1)), (2, refused(1)), (3, placed(2)), (4, refused(2)), (5, placed(3)),
    (6, refused(3)), (7, placed(4)), (8, refused(4)),
])]
#[case::epochs_are_exhausted("too_many", vec![
    (0, begin()), (1, placed(1)), (2, broken(1, 0, Breakage::Repeat)), (3, placed(2)),
    (4, broken(2, 0, Breakage::Hole)), (5, placed(3)), (6, broken(3, 0, Breakage::LogFull)),
    (7, placed(4)), (8, broken(4, 0, Breakage::EngineStalled)),
])]
#[case::host_is_reported_as_gone("host_gone", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")),
    (60, Event::HostGone { server: "s1".into() }), (61, placed(2)), (90, tokens(1, 1, "b")),
])]
#[case::refused_everywhere_after_a_death("refused_after_death", vec![
    (0, begin()), (1, placed(1)), (20, broken(1, 0, Breakage::EngineDied)),
    (21, placed(2)), (22, refused(2)), (23, placed(3)), (24, refused(3)), (25, placed(4)),
    (26, refused(4)), (27, placed(5)), (28, refused(5)),
    (400, Event::Tick), (528, Event::Tick), (529, placed(6)), (600, tokens(6, 0, "a")), (601, end(6, 1)),
])]
#[case::refused_for_too_long_after_a_death("refused_for_long", vec![
    (0, begin()), (1, placed(1)), (20, broken(1, 0, Breakage::EngineDied)),
    (21, placed(2)), (22, refused(2)), (20_023, placed(3)), (20_024, refused(3)), (20_025, placed(4)),
    (20_026, refused(4)), (20_027, placed(5)), (20_028, refused(5)),
])]
#[case::engine_stalls_and_the_next_one_dies("stopped_then_dead", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (1050, Event::Tick), (1051, placed(2)),
    (1100, tokens(2, 1, "b")), (1110, broken(2, 2, Breakage::EngineDied)),
])]
#[case::the_deadline_passes("deadline", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (60_000, Event::Tick),
])]
#[case::caller_disconnects_and_may_reconnect("caller_gone", vec![
    (0, begin()), (1, placed(1)), (50, tokens(1, 0, "a")), (1050, Event::Tick), (1051, placed(2)),
    (1060, Event::CallerGone), (1070, tokens(1, 1, "b")),
])]
#[case::a_retry_finds_its_text("found", vec![
    (0, found(3, position("a b"))), (5, Event::Attached { epoch: 3 }), (6, tokens(3, 0, "a b c")),
    (7, end(3, 3)),
])]
#[case::a_retry_finds_another_text("found_other", vec![
    (0, found(3, position("a x"))), (5, Event::Attached { epoch: 3 }), (6, tokens(3, 0, "a b c")),
    (7, end(3, 3)),
])]
#[case::a_retry_finds_a_shorter_text("found_shorter", vec![
    (0, found(3, position("a b c"))), (5, Event::Attached { epoch: 3 }), (6, tokens(3, 0, "a b")),
    (7, end(3, 2)),
])]
#[case::the_found_run_is_gone("found_gone", vec![
    (0, found(3, position("a b"))), (5, Event::AttachMissed { epoch: 3 }), (6, placed(4)),
    (50, tokens(4, 0, "a b c")), (51, end(4, 3)),
])]
#[case::a_retry_finds_no_pointer("return", vec![
    (0, Event::Return { position: position("a b") }), (1, placed(1)), (50, tokens(1, 0, "a")),
    (60, tokens(1, 1, "y")), (70, tokens(1, 2, "z")), (71, end(1, 3)),
])]
#[case::retry_with_an_index_only("index_only", vec![
    (0, Event::Begin { from: 2 }), (1, placed(1)), (50, tokens(1, 0, "a b c")), (51, end(1, 3)),
])]
fn engines_with_continuation(#[case] name: &str, #[case] script: Vec<(u64, Event)>) {
    insta::assert_snapshot!(name, run(settings(), script).join("\n"));
}

/// Guards against splicing two texts when an engine without continuation dies.
#[rstest]
#[case::streamed_before_a_token("plain_streamed_early", true, vec![
    (0, begin()), (1, placed(1)), (20, broken(1, 0, Breakage::EngineDied)), (21, placed(2)),
    (80, tokens(2, 0, "a")), (81, end(2, 1)),
])]
#[case::streamed_midway("plain_streamed_midway", true, vec![
    (0, begin()), (1, placed(1)), (20, tokens(1, 0, "a")), (1020, Event::Tick),
    (1021, broken(1, 1, Breakage::EngineDied)),
])]
#[case::whole_midway("plain_whole_midway", false, vec![
    (0, begin()), (1, placed(1)), (20, tokens(1, 0, "a")), (21, broken(1, 1, Breakage::EngineDied)),
    (22, placed(2)), (80, tokens(2, 0, "b c")), (81, end(2, 2)),
])]
#[case::retry_before_its_position_is_reached("plain_found", true, vec![
    (0, found(1, position("a b"))), (1, Event::Attached { epoch: 1 }), (2, tokens(1, 0, "a")),
    (3, broken(1, 1, Breakage::EngineDied)), (4, placed(2)), (80, tokens(2, 0, "x y z")), (81, end(2, 3)),
])]
fn engines_without_continuation(
    #[case] name: &str,
    #[case] streamed: bool,
    #[case] script: Vec<(u64, Event)>,
) {
    let settings = Settings {
        continues: false,
        streamed,
        ..settings()
    };
    insta::assert_snapshot!(name, run(settings, script).join("\n"));
}

/// A caller without a request key can't reconnect, so its generation must not keep running.
#[test]
fn without_a_key_the_generation_is_cancelled() {
    let settings = Settings {
        resumable: false,
        ..settings()
    };
    let mut resume = Resume::new(settings, Duration::ZERO);
    let mut actions = Vec::new();
    resume.handle(Duration::ZERO, begin(), &mut actions);
    resume.handle(SECOND, placed(1), &mut actions);
    actions.clear();
    resume.handle(SECOND, Event::CallerGone, &mut actions);
    assert_eq!(actions, [Action::Cancel { epoch: 1 }]);
    assert!(resume.done());
}

/// Returns when the engine is suspected, after the probing dial.
fn suspected_at(resume: &mut Resume) -> Option<Duration> {
    let mut actions = Vec::new();
    let probe = resume.next_wake()?;
    resume.handle(probe, Event::Tick, &mut actions);
    assert_matches!(actions[..], [Action::Attach { epoch: 1, .. }]);
    resume.handle(probe, Event::Attached { epoch: 1 }, &mut actions);
    resume.next_wake()
}

/// Guards against wrong suspicions that exhaust an answer's epochs: a long answer of an engine with
/// repeated pauses would be interrupted when the engine dies near the end.
#[test]
fn wrong_suspicions_do_not_count_as_epochs() {
    let mut resume = Resume::new(settings(), Duration::ZERO);
    let mut actions = Vec::new();
    let mut now = Duration::ZERO;
    resume.handle(now, begin(), &mut actions);
    resume.handle(now, placed(1), &mut actions);
    resume.handle(now, tokens(1, 0, "a"), &mut actions);
    for index in 1..10 {
        now += SECOND;
        resume.handle(now, Event::Tick, &mut actions);
        resume.handle(now, tokens(1, index, "a"), &mut actions);
    }
    actions.clear();
    resume.handle(now, broken(1, 10, Breakage::EngineDied), &mut actions);
    assert_matches!(
        actions[..],
        [Action::Start {
            continue_from: 10,
            ..
        }]
    );
}

/// Guards against repeated wrong suspicions: an engine pauses for half a second at times, and each
/// pause would cost another replica a prefill.
#[test]
fn a_wrong_suspicion_raises_the_threshold() {
    let settings = Settings {
        suspicion: threshold::Settings {
            lowest: SECOND / 4,
            highest: SECOND * 2,
            ..threshold::Settings::default()
        },
        ..Settings::default()
    };
    let mut resume = Resume::new(settings, Duration::ZERO);
    let mut actions = Vec::new();
    let mut now = Duration::ZERO;
    resume.handle(now, begin(), &mut actions);
    resume.handle(now, placed(1), &mut actions);
    for index in 0..100 {
        now += Duration::from_millis(10);
        resume.handle(now, tokens(1, index, "a"), &mut actions);
    }
    resume.handle(now + SECOND / 4, Event::Tick, &mut actions);
    now += SECOND / 2;
    resume.handle(now, tokens(1, 100, "a"), &mut actions);
    for index in 101..200 {
        now += Duration::from_millis(10);
        resume.handle(now, tokens(1, index, "a"), &mut actions);
    }
    assert_eq!(suspected_at(&mut resume), Some(now + SECOND));
}

/// Guards against a fixed limit: an engine that sends a token every 10 ms stops, and with a limit
/// of 2 s the caller would wait that long.
#[rstest]
#[case::fast_engine(10, 250)]
#[case::medium_engine(100, 400)]
#[case::slow_engine(1000, 2000)]
fn the_threshold_adapts_to_the_gaps(#[case] gap: u64, #[case] limit: u64) {
    let settings = Settings {
        suspicion: threshold::Settings {
            lowest: Duration::from_millis(250),
            highest: SECOND * 2,
            means: 4,
            deviations: 8,
            floor_factor: 2,
        },
        ..Settings::default()
    };
    let mut resume = Resume::new(settings, Duration::ZERO);
    let mut actions = Vec::new();
    resume.handle(Duration::ZERO, begin(), &mut actions);
    resume.handle(Duration::ZERO, placed(1), &mut actions);
    let mut now = Duration::ZERO;
    for index in 0..100 {
        now += Duration::from_millis(gap);
        resume.handle(now, tokens(1, index, "a"), &mut actions);
    }
    let wake = suspected_at(&mut resume).expect("the answer goes on");
    assert_eq!((wake - now).as_millis() as u64, limit);
}

/// Guards against a caller that waits twice for a silent server: the retry budget denies its
/// suspicion just before another answer shows that the server is silent.
#[test]
fn a_denied_suspicion_is_retried_soon() {
    let settings = Settings {
        suspicion: threshold::Settings {
            lowest: SECOND / 4,
            highest: SECOND * 2,
            ..threshold::Settings::default()
        },
        ..settings()
    };
    let mut resume = Resume::new(settings, Duration::ZERO);
    let mut actions = Vec::new();
    resume.handle(Duration::ZERO, begin(), &mut actions);
    resume.handle(Duration::ZERO, placed(1), &mut actions);
    let suspected = resume.next_wake().expect("it is silent");
    actions.clear();
    resume.handle(suspected, Event::Tick, &mut actions);
    assert_matches!(actions[..], [Action::Start { epoch: 2, .. }]);
    resume.handle(suspected, Event::Denied { epoch: 2 }, &mut actions);
    let again = resume.next_wake().expect("it is silent still");
    assert_eq!(again, suspected + SECOND / 4);
}

/// Guards against a second run of an answer whose engine sent tokens all the time: the entry was
/// paused, and its timer fires before the tokens are read.
#[rstest]
#[case::before_the_first_token(false, 2500)]
#[case::in_the_answer(true, 250)]
fn a_pause_of_the_entry_is_no_silence(#[case] has_token: bool, #[case] limit: u64) {
    let settings = Settings {
        suspicion: threshold::Settings {
            lowest: SECOND / 4,
            highest: SECOND / 4,
            ..threshold::Settings::default()
        },
        ..settings()
    };
    let limit = Duration::from_millis(limit);
    let mut resume = Resume::new(settings, Duration::ZERO);
    let mut actions = Vec::new();
    resume.handle(Duration::ZERO, begin(), &mut actions);
    resume.handle(Duration::ZERO, placed(1), &mut actions);
    if has_token {
        resume.handle(Duration::ZERO, tokens(1, 0, "a"), &mut actions);
    }
    actions.clear();
    // The pause begins just before the engine would be suspected.
    let mut now = limit - Duration::from_millis(1);
    for duration in [SECOND, SECOND * 7] {
        now += duration;
        resume.handle(now, Event::Paused { duration }, &mut actions);
        let wake = resume.next_wake().expect("the answer goes on");
        assert!(wake >= now + SECOND / 8, "{wake:?} after {now:?}");
        now = wake - Duration::from_millis(1);
        resume.handle(now, Event::Tick, &mut actions);
    }
    actions.retain(|action| !matches!(action, Action::Attach { .. }));
    assert_eq!(actions, []);
    // A server that is silent after the pause too is suspected still.
    while actions.is_empty() && now < SECOND * 20 {
        now = resume.next_wake().expect("the answer goes on");
        resume.handle(now, Event::Tick, &mut actions);
        actions.retain(|action| !matches!(action, Action::Attach { .. }));
    }
    assert_matches!(actions[..], [Action::Start { epoch: 2, .. }]);
}

/// What becomes of an epoch that is started beside two silent ones.
#[derive(Clone, Copy, Debug)]
enum Third {
    NoPlace,
    Refused,
    Denied,
    Unanswered,
}

/// Guards against an answer that ends although its first engine goes on: its epoch was cancelled for one
/// that finds no engine.
#[rstest]
fn a_silent_epoch_is_kept_until_another_one_is_placed(
    #[values(Third::NoPlace, Third::Refused, Third::Denied, Third::Unanswered)] third: Third,
) {
    let mut resume = Resume::new(settings(), Duration::ZERO);
    let mut actions = Vec::new();
    let mut now = Duration::ZERO;
    for event in [begin(), placed(1), tokens(1, 0, "a b")] {
        resume.handle(now, event, &mut actions);
    }
    now += SECOND * 2;
    resume.handle(now, Event::Tick, &mut actions);
    resume.handle(now, placed(2), &mut actions);
    now += SECOND * 5;
    actions.clear();
    resume.handle(now, Event::Tick, &mut actions);
    assert_matches!(actions.as_slice(), [Action::Start { epoch: 3, .. }]);
    match third {
        Third::NoPlace => resume.handle(now, no_place(3), &mut actions),
        Third::Refused => resume.handle(now, refused(3), &mut actions),
        Third::Denied => resume.handle(now, Event::Denied { epoch: 3 }, &mut actions),
        Third::Unanswered => {}
    }
    for event in [tokens(1, 2, "c"), end(1, 3)] {
        resume.handle(now, event, &mut actions);
    }
    assert!(resume.done());
    let is_end = |action: &Action| matches!(action, Action::Finish(_));
    assert!(actions.iter().any(is_end), "{actions:?}");
}

/// Guards against a third epoch beside two for longer than it takes to place it.
#[test]
fn a_placed_epoch_replaces_the_oldest_of_two_silent_ones() {
    let mut resume = Resume::new(settings(), Duration::ZERO);
    let mut actions = Vec::new();
    let mut now = Duration::ZERO;
    for event in [begin(), placed(1), tokens(1, 0, "a b")] {
        resume.handle(now, event, &mut actions);
    }
    now += SECOND * 2;
    for event in [Event::Tick, placed(2)] {
        resume.handle(now, event, &mut actions);
    }
    now += SECOND * 5;
    actions.clear();
    for event in [Event::Tick, placed(3)] {
        resume.handle(now, event, &mut actions);
    }
    assert_matches!(
        actions.as_slice(),
        [
            Action::Start { epoch: 3, .. },
            Action::Cancel { epoch: 1 }, //
        ]
    );
}
