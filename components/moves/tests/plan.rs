//! The ramp, the ladder and the pick.

mod bench;

use std::time::Duration;

use bench::{
    plan,
    wall, //
};
use moves::{
    Level,
    Side,
    pick,
    plan::Ramp, //
};
use rstest::rstest;

#[test]
fn the_ramp_ends_before_the_time_and_never_crosses_itself() {
    let ramp = Ramp::new(&plan(), wall(0));
    let mut lines = Vec::new();
    for second in (0..=3600).step_by(300) {
        let upper_bound = ramp.upper_bound(wall(second));
        let lower_bound = ramp.lower_bound(wall(second));
        assert!(lower_bound <= upper_bound);
        let (upper_bound, lower_bound) = (upper_bound.permille(), lower_bound.permille());
        lines.push(format!(
            "{second} s: {lower_bound} to {upper_bound} per mille"
        ));
    }
    assert!(ramp.full() < wall(3600));
    insta::assert_snapshot!(lines.join("\n"));
}

/// An operator asks for a time that has passed, or for nearly no time. All traffic would switch
/// before a fault can show.
#[rstest]
#[case::passed(0)]
#[case::soon(10)]
fn a_ramp_takes_its_shortest_time(#[case] by: u64) {
    let mut plan = plan();
    plan.by = wall(by);
    let ramp = Ramp::new(&plan, wall(5));
    assert_eq!(ramp.span(), Duration::from_secs(60));
    assert!(ramp.lower_bound(wall(30)) < Level::FULL);
}

#[test]
fn before_its_start_a_ramp_gives_nothing() {
    let mut plan = plan();
    plan.start = Some(wall(100));
    let ramp = Ramp::new(&plan, wall(0));
    assert_eq!(ramp.upper_bound(wall(99)), Level::ZERO);
    assert!(ramp.upper_bound(wall(100)) > Level::ZERO);
}

#[test]
fn slots_grow_with_time_and_end() {
    let ramp = Ramp::new(&plan(), wall(0));
    assert_eq!(ramp.slot(wall(0)), 0);
    assert!(ramp.slot(wall(1800)) > ramp.slot(wall(900)));
    assert_eq!(ramp.slot(wall(1_000_000)), 39);
}

/// A caller sends its request again while the share grows. It must not come from the new version
/// back to the old one.
#[test]
fn a_request_stays_on_the_new_version_as_the_share_grows() {
    for hash in (0..1000).map(|n: u64| n.wrapping_mul(0x9E37_79B9_7F4A_7C15)) {
        let mut moved = false;
        for level in Level::all() {
            let new = pick(hash, level) == Side::New;
            assert!(new || !moved);
            moved = new;
        }
        assert!(moved);
    }
}

#[test]
fn a_level_picks_its_share() {
    for level in Level::all() {
        let hashes = (0..100_000).map(|n: u64| n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let new = hashes
            .filter(|hash| pick(*hash, level) == Side::New)
            .count();
        assert!((new as f64 / 100_000.0 - level.share()).abs() < 0.001);
    }
}
