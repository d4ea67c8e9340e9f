//! Tests of the ramp, the levels and the pick.

mod cluster;

use std::time::Duration;

use cluster::{
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
fn the_ramp_ends_before_the_deadline_and_its_bounds_never_cross() {
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

/// Guards against a deadline in the past or nearly so, which would switch all traffic before a
/// fault can show.
#[rstest]
#[case::passed(0)]
#[case::soon(10)]
fn a_ramp_has_a_minimum_length(#[case] by: u64) {
    let mut plan = plan();
    plan.by = wall(by);
    let ramp = Ramp::new(&plan, wall(5));
    assert_eq!(ramp.span(), Duration::from_secs(60));
    assert!(ramp.lower_bound(wall(30)) < Level::FULL);
}

#[test]
fn a_ramp_allows_nothing_before_its_start() {
    let mut plan = plan();
    plan.start = Some(wall(100));
    let ramp = Ramp::new(&plan, wall(0));
    assert_eq!(ramp.upper_bound(wall(99)), Level::ZERO);
    assert!(ramp.upper_bound(wall(100)) > Level::ZERO);
}

#[test]
fn slots_increase_up_to_the_last() {
    let ramp = Ramp::new(&plan(), wall(0));
    assert_eq!(ramp.slot(wall(0)), 0);
    assert!(ramp.slot(wall(1800)) > ramp.slot(wall(900)));
    assert_eq!(ramp.slot(wall(1_000_000)), 39);
}

/// A caller retries its request while the share grows. The request must not move from the new
/// version back to the old one.
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
fn a_level_picks_its_share_of_requests() {
    for level in Level::all() {
        let hashes = (0..100_000).map(|n: u64| n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let new = hashes
            .filter(|hash| pick(*hash, level) == Side::New)
            .count();
        assert!((new as f64 / 100_000.0 - level.share()).abs() < 0.001);
    }
}
