//! What a process knows of its own stalls.

use std::time::Duration;

use daemon::lateness::Lateness;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Ticks on time until a time, in milliseconds; gives the time of the last one.
fn even(lateness: &Lateness, from: u64, until: u64) -> u64 {
    let times = (from..=until).step_by(5);
    times.clone().for_each(|at| lateness.record_tick(ms(at)));
    times.last().expect("a tick")
}

#[test]
fn ticks_on_time_are_not_late() {
    let lateness = Lateness::default();
    let last = even(&lateness, 0, 1_000);
    assert_eq!(lateness.fraction(ms(100), ms(last)), 0.0);
    assert_eq!(lateness.fraction(ms(last), ms(last + 6)), 0.0);
}

/// The process stands still for 100 ms of a second; a tick may be 1.5 ms late.
#[test]
fn a_stall_counts_by_its_part_of_the_time() {
    let lateness = Lateness::default();
    even(&lateness, 0, 500);
    even(&lateness, 605, 1_000);
    let part = lateness.fraction(ms(0), ms(1_000));
    assert!((part - 0.1).abs() < 0.002, "{part}");
    let part = lateness.fraction(ms(990), ms(1_000));
    assert_eq!(
        part, 0.0,
        "the stall is over for longer than the time told of"
    );
}

/// Who asks just after a stall may wake up before the timer does.
#[test]
fn a_stall_is_known_before_the_timer_ticks() {
    let lateness = Lateness::default();
    let last = even(&lateness, 0, 500);
    let part = lateness.fraction(ms(last - 45), ms(last + 55));
    assert!((part - 0.5).abs() < 0.02, "{part}");
}

#[test]
fn before_the_first_tick_nothing_is_late() {
    let lateness = Lateness::default();
    assert_eq!(lateness.fraction(ms(0), ms(10_000)), 0.0);
}

/// Guards against a busy process that takes its own slowness for a version's: its timers come on time, and
/// each task waits a millisecond for its turn.
#[test]
fn waits_for_a_turn_count() {
    let lateness = Lateness::default();
    for at in (0..=1_000).step_by(5) {
        lateness.record_tick(ms(at));
        lateness.record_wait(ms(at) + ms(1), ms(1));
    }
    let part = lateness.fraction(ms(0), ms(1_000));
    assert!((part - 0.15).abs() < 0.01, "{part}");
    let calm = Lateness::default();
    calm.record_tick(ms(0));
    calm.record_wait(ms(0), Duration::from_micros(200));
    assert_eq!(calm.fraction(ms(0), ms(1)), 0.0);
}
