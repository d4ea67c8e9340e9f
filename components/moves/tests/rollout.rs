//! Moves that are over within seconds, played by several entries in virtual time.

use std::time::Duration;

use moves::{
    Side,
    rollout::{
        Constraint,
        Exposure,
        Order,
        Rollout,
        State, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(20);

/// Time between two tellings among entries.
const TOLD: u32 = 10;

/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(1200);

const EXPOSURE: Exposure = Exposure {
    share: 0.1,
    slack: 50.0,
};

fn order() -> Order {
    Order {
        revision: 7,
        to: "v2".into(),
        within: Duration::from_secs(14),
    }
}

/// What the new version is like.
#[derive(Clone, Copy)]
struct Fault {
    /// Part of its answers that are bad.
    share: f64,
    /// When that begins.
    from: Duration,
    /// The only route on which it shows.
    route: Option<u32>,
}

const NONE: Fault = Fault {
    share: 0.0,
    from: Duration::ZERO,
    route: None,
};

/// Several entries, each with its own clock's origin.
struct Play {
    rng: StdRng,
    entries: Vec<Rollout>,
    now: Duration,
    /// Requests under way: when each ends, its entry, route, side, and whether it is bad.
    running: Vec<(Duration, usize, u32, Side, bool)>,
    /// Requests of all, and of the new version.
    requests: u32,
    exposed: u32,
    /// Requests a second, and the part of them that is on the rare route.
    rate: f64,
    rare: f64,
    /// Part of all answers that fail whatever the version.
    usual: f64,
    fault: Fault,
}

impl Play {
    fn new(seed: u64, entries: usize, rate: f64, fault: Fault) -> Play {
        Play {
            rng: StdRng::seed_from_u64(seed),
            entries: (0..entries)
                .map(|_| entry(entries, Duration::ZERO))
                .collect(),
            now: Duration::ZERO,
            running: Vec::new(),
            requests: 0,
            exposed: 0,
            rate,
            rare: 0.1,
            usual: 0.02,
            fault,
        }
    }

    fn until(&mut self, end: Duration) {
        let mut step = (self.now.as_millis() / STEP.as_millis()) as u32;
        while self.now < end {
            self.now += STEP;
            step += 1;
            let due = self.rate * STEP.as_secs_f64();
            let count = due.floor() + f64::from(u8::from(self.rng.random_bool(due.fract())));
            for _ in 0..count as u32 {
                self.request();
            }
            let now = self.now;
            let (over, left) = self.running.drain(..).partition(|run| run.0 <= now);
            self.running = left;
            let over: Vec<_> = over;
            for (_, entry, route, side, bad) in over {
                self.entries[entry].record_end(now, route, side, bad);
            }
            if step.is_multiple_of(TOLD) {
                self.tell();
            }
        }
    }

    fn request(&mut self) {
        let entry = self.rng.random_range(0..self.entries.len());
        let route = u32::from(self.rng.random_bool(self.rare)) + 1;
        let draw = self.rng.random_range(0.0..1.0);
        let constraint = self.entries[entry].pick(self.now, route, draw);
        self.requests += 1;
        let side = match constraint {
            Constraint::OnlyNew => Side::New,
            Constraint::ExcludeNew | Constraint::Any => Side::Old,
        };
        self.exposed += u32::from(side == Side::New);
        let fault = self.fault;
        let shows = side == Side::New
            && self.now >= fault.from
            && fault.route.is_none_or(|known| known == route);
        let bad = self.rng.random_bool(self.usual) || shows && self.rng.random_bool(fault.share);
        self.running
            .push((self.now + ANSWER, entry, route, side, bad));
    }

    fn tell(&mut self) {
        let updates: Vec<_> = self.entries.iter().map(|e| e.progress(self.now)).collect();
        for (place, entry) in self.entries.iter_mut().enumerate() {
            for (peer, progress) in updates.iter().enumerate() {
                if peer != place {
                    entry.merge(self.now, peer as u64, progress.clone());
                }
            }
        }
    }

    fn allowed(&self) -> f64 {
        EXPOSURE.share * f64::from(self.requests) + EXPOSURE.slack
    }

    fn states(&self) -> Vec<State> {
        self.entries.iter().map(|e| e.state(self.now)).collect()
    }
}

fn entry(entries: usize, now: Duration) -> Rollout {
    let mut rollout = Rollout::new(order(), EXPOSURE, now);
    rollout.observe_entries(entries);
    rollout
}

/// The new version is as good as the old one. The operator wants all traffic on it by the time that
/// was asked for, though some requests fail on either.
#[rstest]
#[case::few_entries(5, 6.0, 0.0, 0)]
#[case::few_entries_that_fail(5, 6.0, 0.02, 4)]
#[case::many_entries(28, 26.0, 0.02, 1)]
#[case::one_entry(1, 80.0, 0.02, 1)]
#[case::hardly_a_request(5, 0.5, 0.0, 0)]
fn a_good_version_has_all_traffic_in_time(
    #[case] entries: usize,
    #[case] rate: f64,
    #[case] usual: f64,
    #[case] most: u32,
) {
    let mut late = 0;
    for seed in 0..40 {
        let mut play = Play::new(seed, entries, rate, NONE);
        play.usual = usual;
        play.until(Duration::from_millis(13_300));
        let all = play.states().iter().all(|state| *state == State::Done);
        late += u32::from(!all);
    }
    assert!(late <= most, "{late} of 40 late");
}

/// The new version fails half of what it gets, from the beginning, after a while, or on a route that
/// few callers use. What it gets in all stays below the operator's bound, and it is taken back.
#[rstest]
#[case::at_once(0.5, 0, None)]
#[case::few_failures(0.3, 0, None)]
#[case::late(0.5, 4, None)]
#[case::after_the_traffic_moved(0.6, 12, None)]
#[case::on_a_rare_route(0.6, 0, Some(2))]
fn a_bad_version_gets_little(
    #[case] share: f64,
    #[case] from: u64,
    #[case] route: Option<u32>,
    #[values((5, 6.0), (28, 26.0), (3, 90.0))] (entries, rate): (usize, f64),
) {
    let fault = Fault {
        share,
        from: Duration::from_secs(from),
        route,
    };
    for seed in 0..20 {
        let mut play = Play::new(seed, entries, rate, fault);
        play.until(order().within);
        let (exposed, allowed) = (play.exposed, play.allowed());
        assert!(
            f64::from(exposed) <= allowed,
            "{exposed} of {allowed}, seed {seed}"
        );
        if rate > 20.0 && from < 10 {
            let reverted = play.states().iter().all(|s| *s == State::Reverted);
            assert!(reverted, "seed {seed}: {:?}", play.states());
        }
    }
}

/// An entry is killed and comes back while a move is under way. It must not begin the samples anew
/// for the whole time, nor send a version anything that the others found bad.
#[test]
fn an_entry_that_starts_anew_learns_where_the_move_stands() {
    let mut play = Play::new(1, 5, 6.0, NONE);
    play.until(Duration::from_secs(8));
    let mut anew = entry(5, play.now);
    let progress = play.entries[0].progress(play.now);
    assert_eq!(progress.elapsed, Duration::from_secs(8));
    anew.merge(play.now, 1, progress);
    assert_eq!(anew.progress(play.now).elapsed, Duration::from_secs(8));
    for _ in 0..4 {
        play.entries[0].record_end(play.now, 1, Side::New, true);
    }
    assert_eq!(play.entries[0].state(play.now), State::Reverted);
    anew.merge(play.now, 1, play.entries[0].progress(play.now));
    assert_eq!(anew.pick(play.now, 1, 0.0), Constraint::ExcludeNew);
    assert_eq!(anew.state_to_store(play.now), Some(State::Reverted));
}

/// Another entry ended the move, and this one couldn't hear it but reads it from the store.
#[rstest]
#[case::done(State::Done, Constraint::OnlyNew)]
#[case::reverted(State::Reverted, Constraint::ExcludeNew)]
fn what_stands_in_the_store_is_followed(#[case] state: State, #[case] constraint: Constraint) {
    let mut rollout = entry(5, Duration::ZERO);
    assert!(rollout.set_stored_state(state));
    assert!(!rollout.set_stored_state(state));
    let now = Duration::from_secs(1);
    assert_eq!(rollout.pick(now, 1, 0.0), constraint);
    assert_eq!(rollout.constraint(now), constraint);
    assert_eq!(rollout.state_to_store(now), None);
}

/// A move was done long ago, and an operator releases another version without a move. Its servers must
/// get work beside those of the version that was moved to.
#[test]
fn a_move_that_is_long_done_limits_nothing() {
    let mut rollout = entry(5, Duration::ZERO);
    rollout.set_stored_state(State::Done);
    let within = order().within;
    assert_eq!(rollout.constraint(within), Constraint::OnlyNew);
    assert_eq!(rollout.constraint(within * 2), Constraint::Any);
    assert_eq!(rollout.pick(within * 2, 1, 0.0), Constraint::Any);
    let mut reverted = entry(5, Duration::ZERO);
    reverted.set_stored_state(State::Reverted);
    assert_eq!(reverted.constraint(within * 2), Constraint::ExcludeNew);
}

/// A cut keeps an entry from its peers. If it took their part of the samples, all entries that are
/// cut off together would send the new version several times the bound.
#[test]
fn an_entry_alone_keeps_to_its_part() {
    let mut rollout = entry(10, Duration::ZERO);
    rollout.observe_entries(1);
    let now = Duration::from_secs(9);
    let sent = (0..100).filter(|_| rollout.pick(now, 1, 0.99) == Constraint::OnlyNew);
    let sent = sent.count() as f64;
    assert!(
        sent <= EXPOSURE.slack / 10.0 + EXPOSURE.share * 100.0,
        "{sent}"
    );
}

/// An entry tells of an order that is over. It says nothing about the one that is under way.
#[test]
fn what_was_counted_for_another_order_is_left_out() {
    let mut rollout = entry(2, Duration::ZERO);
    let mut progress = entry(2, Duration::ZERO).progress(Duration::from_secs(5));
    progress.revision = 6;
    progress.vetoed = true;
    rollout.merge(Duration::from_secs(1), 1, progress);
    assert_eq!(rollout.state(Duration::from_secs(1)), State::Running);
}
