//! Load patterns, replayed from fixed seeds: what each decision is there for.

use experiment::{
    Pattern,
    Policy,
    Seen,
    Setup,
    play, //
};

const SEEDS: [u64; 2] = [1, 2];

fn seen(pattern: Pattern, policy: Policy) -> Vec<Seen> {
    let setup = pattern.setup();
    let plays = SEEDS.iter();
    plays
        .map(|seed| play(&setup, pattern, policy, *seed))
        .collect()
}

fn mean(seen: &[Seen], figure: impl Fn(&Seen) -> f64) -> f64 {
    seen.iter().map(figure).sum::<f64>() / seen.len() as f64
}

/// Callers of an hour come in ten minutes. Sent on at once, all of them wait for one another and few
/// are served in time; three times the load must not cost what the engines can do.
#[test]
fn goodput_holds_at_three_times_the_capacity() {
    let capacity = mean(&seen(Pattern::Steady(1.0), Policy::All), Seen::goodput);
    let overload = seen(Pattern::Steady(3.0), Policy::All);
    let held = mean(&overload, Seen::goodput);
    assert!(held >= 0.95 * capacity, "{held} of {capacity}");
    for seen in &overload {
        assert!(
            seen.least() >= 0.25,
            "one kind is served {} as often",
            seen.least()
        );
    }
    let direct = mean(&seen(Pattern::Steady(3.0), Policy::NoQueue), Seen::goodput);
    assert!(direct < 0.5 * capacity, "{direct} of {capacity}");
}

/// A little more than the capacity: late requests fill the gaps at one entry while others wait in
/// time at the next one.
#[test]
fn late_requests_stand_behind_those_in_time_elsewhere() {
    let capacity = mean(&seen(Pattern::Steady(1.0), Policy::All), Seen::goodput);
    let held = mean(&seen(Pattern::Steady(1.5), Policy::All), Seen::goodput);
    assert!(held >= 0.95 * capacity, "{held} of {capacity}");
}

/// A rush of twenty seconds, of all teams, of one, or of callers that repeat at once.
#[test]
fn a_rush_is_served_better_with_a_queue() {
    for pattern in [Pattern::Burst(3.0), Pattern::OneTeam, Pattern::Impatient] {
        let queued = mean(&seen(pattern, Policy::All), Seen::goodput);
        let direct = mean(&seen(pattern, Policy::NoQueue), Seen::goodput);
        let name = pattern.name();
        assert!(queued > 1.5 * direct, "{name}: {queued} against {direct}");
    }
}

/// Nobody waits, and nobody is refused, while there is room for all.
#[test]
fn a_calm_day_needs_no_queue() {
    for seen in seen(Pattern::Steady(0.5), Policy::All) {
        assert_eq!((seen.refused, seen.failed), (0, 0));
        assert!(
            seen.good * 100 >= seen.asked * 99,
            "{} of {}",
            seen.good,
            seen.asked
        );
    }
}

/// A data centre's engines crash, three times. Their streams go on from the copies of their memory;
/// without them each prompt would be read again, and some callers would see a pause of seconds.
#[test]
fn copies_save_prompts_when_a_data_centre_is_lost() {
    let with = seen(Pattern::DataCentre, Policy::All);
    let without = seen(Pattern::DataCentre, Policy::NoCopies);
    let hit = |seen: &Seen| f64::from(seen.hit.1) / f64::from(seen.hit.0.max(1));
    assert!(
        mean(&with, Seen::waste) < 0.02,
        "{}",
        mean(&with, Seen::waste)
    );
    assert!(mean(&without, Seen::waste) > 3.0 * mean(&with, Seen::waste));
    assert!(mean(&with, hit) >= 0.95, "{}", mean(&with, hit));
    assert!(mean(&without, hit) < mean(&with, hit));
}

/// One play must be the same each time, or two policies couldn't be compared.
#[test]
fn a_seed_gives_the_same_play() {
    let setup = Setup::default();
    let one = play(&setup, Pattern::Burst(2.0), Policy::All, 7);
    let other = play(&setup, Pattern::Burst(2.0), Policy::All, 7);
    assert_eq!(
        (one.asked, one.good, one.late),
        (other.asked, other.good, other.late)
    );
    let different = play(&setup, Pattern::Burst(2.0), Policy::All, 8);
    assert_ne!((one.asked, one.good), (different.asked, different.good));
}

/// Guards against prompts that no engine counts as room for, as reading one takes longer than half of the time
/// for a first event: they were refused while most engines were idle.
#[test]
fn long_prompts_go_to_engines_that_read_nothing() {
    let setup = Pattern::LongPrompts(0.4).setup();
    let offered = setup.capacity() * 0.4;
    let served = mean(&seen(Pattern::LongPrompts(0.4), Policy::All), Seen::goodput);
    assert!(served >= 0.8 * offered, "{served} of {offered}");
}
