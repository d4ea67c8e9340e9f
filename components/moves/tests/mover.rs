//! Moves at a few entries: what takes a version back, what doesn't, and what the store adds.

mod bench;

use std::time::Duration;

use assert_matches::assert_matches;
use bench::{
    Bench,
    Fate,
    Store,
    plan,
    routes,
    wall, //
};
use moves::{
    Level,
    Side,
    evidence::Cause,
    judge::Metric,
    outcome::{
        End,
        Reason, //
    },
    step::{
        Event,
        Notice,
        Pick, //
    }, //
};
use rstest::rstest;

fn fine(_: &Pick, _: u64, _: u64) -> Fate {
    Fate::Fine
}

fn every(number: u64, nth: u64, fate: Fate) -> Fate {
    if number.is_multiple_of(nth) {
        fate
    } else {
        Fate::Fine
    }
}

fn new_only(pick: &Pick, number: u64, nth: u64, fate: Fate) -> Fate {
    match pick.side {
        Side::New => every(number, nth, fate),
        Side::Old => Fate::Fine,
    }
}

/// The new version does worse than the old one, in one way or another. Its callers get errors or
/// wait too long; after a short while no new request may reach it.
#[rstest]
#[case::fails_always(Metric::Failed, |p: &Pick, n, _| new_only(p, n, 1, Fate::Failed))]
#[case::fails_often(Metric::Failed, |p: &Pick, n, _| new_only(p, n, 5, Fate::Failed))]
#[case::fails_later(Metric::Failed, |p: &Pick, n, t| match t > 900 {
    true => new_only(p, n, 3, Fate::Failed),
    false => Fate::Fine,
})]
#[case::fails_on_one_route(Metric::Failed, |p: &Pick, n, _| match p.route.as_str() {
    "letters" => new_only(p, n, 4, Fate::Failed),
    _ => Fate::Fine,
})]
#[case::late_first_token(Metric::SlowFirst, |p: &Pick, n, _| new_only(p, n, 2, Fate::LateFirst))]
#[case::slow_between(Metric::SlowBetween, |p: &Pick, n, _| new_only(p, n, 2, Fate::LateBetween))]
#[case::fails_after_the_end(Metric::Failed, |p: &Pick, n, _| match p.level == Level::FULL {
    true => new_only(p, n, 10, Fate::Failed),
    false => Fate::Fine,
})]
#[case::slow_after_the_end(Metric::SlowBetween, |p: &Pick, n, _| match p.level == Level::FULL {
    true => every(n, 2, Fate::LateBetween),
    false => Fate::Fine,
})]
fn a_bad_version_is_taken_back(
    #[case] metric: Metric,
    #[case] fate: impl Fn(&Pick, u64, u64) -> Fate,
) {
    let mut bench = Bench::new(3);
    bench.run(4800, 6, fate);
    assert_eq!(bench.end(), Some(End::Reverted));
    for mover in &bench.movers {
        assert_eq!(mover.level(), Level::ZERO);
        assert_matches!(mover.veto(), Some(veto) => assert_eq!(veto.finding.metric, metric));
    }
    assert_eq!(bench.reports(), 1);
    assert_eq!(bench.writes, 2);
}

/// Something else goes wrong while a good version moves. Operators would lose trust in moves that
/// are taken back for that, and the old version would stay for no reason.
#[rstest]
#[case::nothing(fine)]
#[case::overload(|_: &Pick, n, t| match (900..1500).contains(&t) {
    true => every(n, 2, Fate::LateFirst),
    false => Fate::Fine,
})]
#[case::failures_on_both(|_: &Pick, n, _| every(n, 11, Fate::Failed))]
#[case::noisy_old(|p: &Pick, n, t| match p.side == Side::Old && t % 600 < 200 {
    true => every(n, 10, Fate::Failed),
    false => Fate::Fine,
})]
fn a_good_version_moves_in_time(#[case] fate: impl Fn(&Pick, u64, u64) -> Fate) {
    let mut bench = Bench::new(3);
    bench.run(3600, 6, &fate);
    assert_eq!(bench.level(), Level::FULL);
    bench.run(1000, 6, &fate);
    assert_eq!(bench.end(), Some(End::Done));
    assert_eq!(bench.reports(), 1);
    assert_eq!(bench.writes, 2);
}

/// No request comes at all. Nothing speaks against the new version, so the operator's time holds.
#[test]
fn without_traffic_the_time_is_met() {
    let mut bench = Bench::new(2);
    bench.run(3600, 0, fine);
    assert_eq!(bench.level(), Level::FULL);
    bench.run(1000, 0, fine);
    assert_eq!(bench.end(), Some(End::Done));
}

/// A good move from begin to end; the share as operators see it.
#[test]
fn a_good_move_by_the_minute() {
    let mut bench = Bench::new(2);
    let mut lines = Vec::new();
    for minute in (0..80).step_by(5) {
        let replicas = bench.movers[0].concentration();
        lines.push(format!(
            "{minute} min: {} per mille on {replicas:?}",
            bench.level().permille()
        ));
        bench.run(300, 4, fine);
    }
    insta::assert_snapshot!(lines.join("\n"));
    insta::assert_json_snapshot!(bench.record);
}

/// One request fails on every server, and its caller sends it again and again, through every
/// entry. It always falls to the new version, whose failures seem to pile up.
#[test]
fn a_request_sent_again_and_again_counts_once() {
    let mut bench = Bench::new(10);
    bench.run(900, 10, fine);
    for round in 0..60 {
        let entry = round % 10;
        let pick = bench.movers[entry].pick(&"chat".into(), 1, wall(bench.now));
        assert_eq!(pick.side, Side::New);
        bench.request(entry, &pick, Fate::Failed);
        bench.run(10, 10, fine);
    }
    for mover in &bench.movers {
        assert!(mover.veto().is_none());
        let cells = mover.total().values();
        let counted: u32 = cells.map(|pair| pair.new.distinct_failures()).sum();
        assert_eq!(counted, 1);
    }
}

/// Servers of the new version die. Where a lost host, an overload or a poisonous request explains
/// it, the version isn't to blame; where nothing does, it is.
#[rstest]
#[case::nothing_explains_it(Cause::Unexplained, Some(End::Reverted))]
#[case::host_loss(Cause::HostLoss, Some(End::Done))]
#[case::overload(Cause::Overload, Some(End::Done))]
#[case::poison(Cause::Poison, Some(End::Done))]
fn deaths_count_by_their_cause(#[case] cause: Cause, #[case] end: Option<End>) {
    let mut bench = Bench::new(2);
    bench.run(300, 6, fine);
    for run in 0..6 {
        bench.death(0, run, Side::New, Cause::Unexplained);
        bench.death(1, run, Side::New, cause);
        bench.run(60, 6, fine);
    }
    bench.run(4500, 6, fine);
    assert_eq!(bench.end(), end);
}

/// A route gets hardly any requests. Its callers must not be the first to try a version that only
/// fails there, so the last step waits for them, but no longer than the operator's time.
#[test]
fn the_last_step_waits_for_each_route() {
    let one_route = |bench: &mut Bench, seconds| {
        for _ in 0..seconds {
            for _ in 0..8 {
                let mut pick = bench.pick(0);
                pick.route = "chat".into();
                bench.request(0, &pick, Fate::Fine);
            }
            bench.second();
        }
    };
    let mut bench = Bench::new(1);
    one_route(&mut bench, 3300);
    assert!(bench.level() < Level::FULL);
    one_route(&mut bench, 300);
    assert_eq!(bench.level(), Level::FULL);
}

/// The store is out from before the move's begin, or loses its answers after writing. The traffic
/// moves or comes back all the same, and the report follows once the store is back.
#[rstest]
#[case::good_while_out(Store::Out, 1_000_000, End::Done)]
#[case::bad_while_out(Store::Out, 2, End::Reverted)]
#[case::good_and_answers_lost(Store::LosesAnswers, 1_000_000, End::Done)]
#[case::bad_and_answers_lost(Store::LosesAnswers, 2, End::Reverted)]
fn the_store_fails(#[case] store: Store, #[case] nth: u64, #[case] end: End) {
    let mut bench = Bench::new(3);
    bench.store = store;
    bench.run(4800, 6, |pick, number, _| {
        new_only(pick, number, nth, Fate::Failed)
    });
    let level = match end {
        End::Done => Level::FULL,
        End::Reverted => Level::ZERO,
    };
    assert_eq!(bench.level(), level);
    bench.store = Store::Up;
    bench.run(120, 6, fine);
    assert_eq!(bench.end(), Some(end));
    assert_eq!(bench.level(), level);
    assert_eq!(bench.reports(), 1);
}

/// A process is restarted during an outage of the store, after the version was taken back. It
/// remembers nothing; without its peers' facts it would begin the move afresh.
#[test]
fn a_restarted_entry_sends_nothing_before_it_knows() {
    let mut bench = Bench::new(2);
    bench.run(600, 6, |pick, number, _| {
        new_only(pick, number, 2, Fate::Failed)
    });
    assert_eq!(bench.level(), Level::ZERO);
    bench.store = Store::Out;
    bench.cut_off = vec![1];
    bench.start(1);
    bench.run(1200, 6, fine);
    assert_eq!(bench.movers[1].level(), Level::ZERO);
    bench.sync(0, 1);
    bench.run(2400, 6, fine);
    assert_eq!(bench.movers[1].level(), Level::ZERO);
    assert!(bench.movers[1].veto().is_some());
}

/// An entry is restarted and reads the store's record after another entry's veto, but before the
/// veto is written there. It must not take the record for all there is to know.
#[test]
fn a_record_without_an_outcome_does_not_start_a_restarted_entry() {
    let mut bench = Bench::new(2);
    bench.run(600, 6, fine);
    bench.cut_off = vec![1];
    bench.start(1);
    bench.run(1200, 6, fine);
    assert!(bench.record.is_some() && bench.end().is_none());
    assert_eq!(bench.movers[1].level(), Level::ZERO);
    bench.cut_off.clear();
    bench.sync(0, 1);
    bench.run(60, 6, fine);
    assert_eq!(bench.movers[1].level(), bench.level());
}

/// The only entry that found the version bad writes so and dies before anybody hears of it. The
/// others' callers would go on meeting the bad version until each entry has seen enough itself.
#[test]
fn an_outcome_that_was_written_but_never_told_is_read() {
    let mut bench = Bench::new(3);
    bench.run(600, 6, fine);
    bench.cut_off = vec![2];
    for number in 0..200 {
        let pick = bench.movers[2].pick(&"chat".into(), number, wall(bench.now));
        bench.request(2, &pick, Fate::Failed);
    }
    bench.on(2, Event::Rank(0));
    bench.second();
    assert_eq!(bench.end(), Some(End::Reverted));
    bench.run(15, 6, fine);
    assert_eq!(bench.movers[1].level(), Level::ZERO);
}

/// An entry stands still for half an hour while the others move. When it goes on it is far behind,
/// and may have missed a veto.
#[test]
fn an_entry_that_was_paused_catches_up_step_by_step() {
    let mut bench = Bench::new(1);
    bench.run(60, 6, fine);
    let before = bench.level();
    bench.now += 3000;
    let pick = bench.pick(0);
    bench.request(0, &pick, Fate::Fine);
    bench.second();
    assert!(bench.level() <= before.next());
    bench.run(30, 6, fine);
    assert!(bench.level() > before.next());
}

/// An entry is cut off while the others finish the move, and finds the version bad after that. The
/// record says done, and it was written once: traffic follows it, and the operators are warned.
#[test]
fn a_veto_that_comes_after_the_record_is_overruled_with_a_warning() {
    let mut bench = Bench::new(2);
    bench.run(3600, 6, fine);
    bench.cut_off = vec![1];
    bench.store = Store::Out;
    for _ in 0..60 {
        let pick = bench.pick(1);
        bench.request(1, &pick, Fate::Failed);
    }
    assert_eq!(bench.movers[1].level(), Level::ZERO);
    bench.on(1, Event::Rank(1000));
    bench.store = Store::Up;
    bench.run(1000, 6, fine);
    assert_eq!(bench.end(), Some(End::Done));
    bench.cut_off.clear();
    bench.sync(0, 1);
    bench.sync(1, 0);
    for entry in 0..2 {
        assert_eq!(bench.movers[entry].level(), Level::FULL);
        let warned =
            |(by, notice): &(usize, Notice)| *by == entry && matches!(notice, Notice::Overruled(_));
        assert!(bench.notices.iter().any(warned));
    }
    assert_eq!(bench.reports(), 1);
}

/// The operator edits the document while the move runs: sooner, later, no longer, or with a third
/// version under the same name.
#[test]
fn a_sooner_time_is_met() {
    let mut bench = Bench::new(2);
    bench.run(600, 6, fine);
    let mut plan = plan();
    plan.by = wall(1200);
    for entry in 0..2 {
        let (plan, routes) = (plan.clone(), routes());
        bench.on(entry, Event::Planned { plan, routes });
    }
    bench.run(600, 6, fine);
    assert_eq!(bench.level(), Level::FULL);
}

#[test]
fn a_later_time_takes_no_traffic_back() {
    let mut bench = Bench::new(2);
    bench.run(1800, 6, fine);
    let before = bench.level();
    let mut plan = plan();
    plan.by = wall(36_000);
    for entry in 0..2 {
        let (plan, routes) = (plan.clone(), routes());
        bench.on(entry, Event::Planned { plan, routes });
    }
    bench.run(600, 6, fine);
    assert_eq!(bench.level(), before);
}

#[rstest]
#[case::back(Side::Old, Level::ZERO, End::Reverted)]
#[case::through(Side::New, Level::FULL, End::Done)]
fn a_dropped_move_ends_where_the_routes_point(
    #[case] side: Side,
    #[case] level: Level,
    #[case] end: End,
) {
    let mut bench = Bench::new(2);
    bench.run(1800, 6, fine);
    for entry in 0..2 {
        bench.on(entry, Event::Dropped(side));
    }
    assert_eq!(bench.level(), level);
    bench.run(10, 6, fine);
    assert_eq!(bench.end(), Some(end));
    assert_matches!(bench.movers[0].outcome(), Some(outcome) => {
        assert_eq!(outcome.reason, Reason::Dropped);
    });
}

#[test]
fn a_third_version_under_the_same_name_ends_the_move() {
    let mut bench = Bench::new(2);
    bench.run(1800, 6, fine);
    let mut plan = plan();
    plan.to = "3".into();
    for entry in 0..2 {
        let (plan, routes) = (plan.clone(), routes());
        bench.on(entry, Event::Planned { plan, routes });
    }
    bench.run(10, 6, fine);
    assert_eq!(bench.level(), Level::ZERO);
    assert_matches!(bench.movers[0].outcome(), Some(outcome) => {
        assert_eq!(outcome.reason, Reason::Replaced);
    });
}

/// No replica of the new version is ready by the operator's time. Its callers would get refusals,
/// so the traffic stays, and the operators are told that the move is late.
#[test]
fn without_replicas_the_move_is_late() {
    let mut bench = Bench::new(1);
    bench.on(0, Event::Ready { old: 25, new: 0 });
    bench.run(3700, 6, fine);
    assert_eq!(bench.level(), Level::ZERO);
    assert_eq!(bench.notices, vec![(0, Notice::Late)]);
    bench.on(0, Event::Ready { old: 25, new: 25 });
    bench.run(60, 6, fine);
    assert_eq!(bench.level(), Level::FULL);
}

/// After the end, the service is overloaded for a while. There is no old version to compare with.
#[test]
fn an_overload_after_the_end_takes_nothing_back() {
    let mut bench = Bench::new(2);
    bench.run(3700, 6, fine);
    for entry in 0..2 {
        bench.on(entry, Event::Overload(true));
    }
    bench.run(1000, 6, |_, number, _| every(number, 2, Fate::LateFirst));
    assert_eq!(bench.end(), Some(End::Done));
}

/// After the end, the entries' own hosts run late for a while. There is no old version to compare
/// with.
#[test]
fn entries_that_run_late_after_the_end_take_nothing_back() {
    let mut bench = Bench::new(2);
    bench.run(3700, 6, fine);
    bench.late = 0.1;
    bench.run(1000, 6, |_, number, _| every(number, 2, Fate::LateBetween));
    assert_eq!(bench.end(), Some(End::Done));
}

/// After the end, the day's load makes every answer slower by half. The old version would be as slow.
#[test]
fn a_busier_day_takes_no_good_version_back() {
    let mut bench = Bench::new(2);
    bench.run(3700, 6, fine);
    bench.run(1000, 6, |_, _, _| Fate::Slower);
    assert_eq!(bench.end(), Some(End::Done));
}

/// After the end, one moment slows all the answers that are in progress then.
#[test]
fn one_slow_moment_takes_no_good_version_back() {
    let mut bench = Bench::new(2);
    bench.run(3700, 6, fine);
    bench.run(1, 400, |_, _, _| Fate::LateBetween);
    bench.run(1000, 6, fine);
    assert_eq!(bench.end(), Some(End::Done));
}

/// The same slowness while both versions have traffic, of the new one only.
#[test]
fn a_version_that_is_slower_by_half_is_taken_back() {
    let mut bench = Bench::new(2);
    bench.run(4800, 6, |pick, number, _| {
        new_only(pick, number, 1, Fate::Slower)
    });
    assert_eq!(bench.end(), Some(End::Reverted));
}

/// While both versions have traffic, a late host slows both, and what slows only the new one counts.
#[test]
fn entries_that_run_late_see_a_slow_version() {
    let mut bench = Bench::new(2);
    bench.late = 0.5;
    bench.run(4800, 6, |pick, number, _| {
        new_only(pick, number, 2, Fate::LateBetween)
    });
    assert_eq!(bench.end(), Some(End::Reverted));
}

/// Entries repeat what they count every second. At the size to design for, the cells that change
/// within a second must fit the bytes that an entry may spend.
#[test]
fn what_an_entry_tells_in_a_second_is_small() {
    use moves::step::{
        Action,
        Fact, //
    };
    let mut bench = Bench::new(1);
    bench.run(1800, 30, |_, number, _| every(number, 20, Fate::Failed));
    for number in 0..300 {
        let mut pick = bench.pick(0);
        pick.route = format!("route-{}", number % 10);
        let fate = every(number, 20, Fate::Failed);
        bench.request(0, &pick, fate);
    }
    let now = Duration::from_secs(bench.now + 1);
    let mut bytes = 0;
    for action in bench.movers[0].handle(Event::Tick, now, wall(bench.now + 1)) {
        if let Action::Publish(fact @ Fact::Cells { .. }) = action {
            bytes += postcard::to_stdvec(&fact)
                .expect("a fact can be encoded")
                .len();
        }
    }
    // Sixteen other entries of the data centre hear it.
    assert!(bytes > 0 && bytes * 16 < 20_000, "{bytes} bytes");
}
