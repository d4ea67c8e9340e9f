//! What goes on, waits, and is refused.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use admission::{
    Arrival,
    Done,
    Gate,
    Limit,
    Reason,
    Released,
    Report,
    Settings,
    Ticket,
    Verdict, //
};
use assert_matches::assert_matches;
use names::Team;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

const FREE: Limit = Limit {
    in_flight: 0,
    rate: 0,
    weight: 1,
    priority: 1,
};

/// A gate with a time, and the requests that run through it.
struct Bench {
    gate: Gate,
    now: Duration,
    rng: StdRng,
    waiting: BTreeMap<Ticket, (Team, u8)>,
    /// Teams and priorities of the running requests, the oldest first.
    running: Vec<(Team, u8)>,
    served: BTreeMap<Team, u32>,
    /// Work that a request turns out to be.
    used: u64,
}

impl Bench {
    /// A gate with that concurrency, where requests take a second.
    fn new(limit: u32) -> Bench {
        Bench::with(
            limit,
            Settings {
                initial_time: SECOND,
                ..Settings::default()
            },
        )
    }

    fn with(limit: u32, settings: Settings) -> Bench {
        let mut bench = Bench {
            gate: Gate::new(settings),
            now: Duration::from_secs(100),
            rng: StdRng::seed_from_u64(7),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            served: BTreeMap::new(),
            used: 1,
        };
        bench.report(limit, 0, 1);
        bench
    }

    fn report(&mut self, capacity: u32, load: u32, entries: u32) {
        self.gate.report(Report {
            capacity,
            load,
            entries,
        });
    }

    fn arrive(&mut self, team: &str, limit: Limit, resume: bool) -> Verdict {
        let team = team.to_string();
        let arrival = Arrival {
            team: &team,
            limit,
            cost: 1,
            max_wait: 10 * SECOND,
            resume,
        };
        let verdict = self.gate.arrive(self.now, &arrival, &mut self.rng);
        match &verdict {
            Verdict::Admit => self.running.push((team, limit.priority)),
            Verdict::Queue(ticket) => {
                self.waiting.insert(*ticket, (team, limit.priority));
                // Another may have made room for it.
                self.tick();
            }
            Verdict::Refuse { .. } => {}
        }
        verdict
    }

    fn new_work(&mut self, team: &str) -> Verdict {
        self.arrive(team, FREE, false)
    }

    /// Ends the oldest request and lets others go on.
    fn finish(&mut self) -> Vec<Released> {
        let (team, priority) = self.running.remove(0);
        let done = Done {
            priority,
            cost: 1,
            used: self.used,
            time: SECOND,
            first_token: Some(SECOND / 10),
        };
        self.gate.finish(&team, &done);
        *self.served.entry(team).or_default() += 1;
        self.tick()
    }

    fn tick(&mut self) -> Vec<Released> {
        let released = self.gate.tick(self.now, &mut self.rng);
        for one in &released {
            match one {
                Released::Admit(ticket) => {
                    let team = self.waiting.remove(ticket);
                    self.running.push(team.expect("a ticket is released once"));
                }
                Released::Refuse { ticket, .. } => {
                    let team = self.waiting.remove(ticket);
                    team.expect("a ticket is released once");
                }
            }
        }
        released
    }
}

#[test]
fn work_goes_on_up_to_the_limit_and_then_waits() {
    let mut bench = Bench::new(2);
    assert_eq!(bench.new_work("a"), Verdict::Admit);
    assert_eq!(bench.new_work("a"), Verdict::Admit);
    let Verdict::Queue(ticket) = bench.new_work("a") else {
        panic!("the third waits");
    };
    assert_eq!(bench.tick(), []);
    assert_eq!(bench.finish(), [Released::Admit(ticket)]);
    assert_eq!(bench.gate.running(), 2);
}

// One team sends three times what there is, the others a little. Without shares its requests fill
// the queue, and the small teams' callers wait behind them or are refused.
#[rstest]
#[case::even(1, 1)]
#[case::weighted(3, 3)]
fn large_team_leaves_small_ones_their_share(#[case] weight: u32, #[case] expected: u32) {
    let mut bench = Bench::new(10);
    let large = Limit { weight, ..FREE };
    let mut refused = 0;
    for _ in 0..2000 {
        for _ in 0..3 {
            bench.arrive("large", large, false);
        }
        for small in ["b", "c", "d", "e"] {
            let verdict = bench.new_work(small);
            // A small team with its one request waiting may not get another in.
            refused += u32::from(matches!(verdict, Verdict::Refuse { .. }));
        }
        if bench.running.len() >= 10 {
            for _ in 0..2 {
                bench.finish();
            }
        }
        bench.now += SECOND / 10;
    }
    let small = bench.served["b"];
    let ratio = f64::from(bench.served["large"]) / f64::from(small);
    let expected = f64::from(expected);
    assert!((ratio / expected - 1.0).abs() < 0.05, "{:?}", bench.served);
    assert!(refused > 0);
}

// A team comes while others have waited for long. It gets its share from then on, not all that it
// left to the others before.
#[test]
fn newcomer_gets_a_share_and_no_more() {
    let mut bench = Bench::new(1);
    for turn in 0..330 {
        for team in ["a", "b"] {
            bench.new_work(team);
        }
        if turn >= 300 {
            bench.new_work("new");
        }
        bench.finish();
        bench.now += SECOND / 2;
    }
    let new = bench.served["new"];
    assert!((9..=11).contains(&new), "{:?}", bench.served);
}

// A team's request turned out a hundred times as large as it said. The team rests for a moment,
// is forgotten, and would begin anew without its debt while others wait.
#[test]
fn debts_are_not_forgotten_while_others_wait() {
    let mut bench = Bench::new(1);
    bench.new_work("sly");
    bench.used = 100;
    for _ in 0..2 {
        for team in ["a", "b"] {
            bench.new_work(team);
        }
    }
    bench.finish();
    bench.used = 1;
    for turn in 0..60 {
        for team in ["a", "b"] {
            bench.new_work(team);
        }
        if turn > 10 {
            bench.new_work("sly");
        }
        bench.finish();
        bench.now += SECOND / 2;
    }
    assert_eq!(bench.served["sly"], 1, "{:?}", bench.served);
}

#[test]
fn waiting_requests_count_as_in_flight() {
    let mut bench = Bench::new(1);
    let two = Limit {
        in_flight: 2,
        ..FREE
    };
    assert_eq!(bench.arrive("a", two, false), Verdict::Admit);
    assert_matches!(bench.arrive("a", two, false), Verdict::Queue(_));
    let refused = bench.arrive("a", two, false);
    assert_matches!(
        refused,
        Verdict::Refuse {
            reason: Reason::InFlight,
            ..
        }
    );
}

// A team says that its requests are small, and they are not. Its share is that of the work that
// they turn out to be.
#[test]
fn work_is_charged_as_it_turns_out() {
    let mut bench = Bench::new(4);
    for _ in 0..1000 {
        for team in ["sly", "fair"] {
            for _ in 0..2 {
                bench.new_work(team);
            }
        }
        for _ in 0..2 {
            bench.used = if bench.running[0].0 == "sly" { 4 } else { 1 };
            bench.finish();
        }
        bench.now += SECOND / 10;
    }
    let ratio = f64::from(bench.served["fair"]) / f64::from(bench.served["sly"]);
    assert!((3.5..4.5).contains(&ratio), "{:?}", bench.served);
}

#[test]
fn higher_priority_goes_first() {
    let mut bench = Bench::new(1);
    bench.new_work("a");
    bench.new_work("low");
    let high = Limit {
        priority: 5,
        ..FREE
    };
    let Verdict::Queue(ticket) = bench.arrive("high", high, false) else {
        panic!("it waits");
    };
    assert_eq!(bench.finish(), [Released::Admit(ticket)]);
}

// Three callers of a team can't be in time any more, and wait behind all who can. A new one of the
// same team can, and must not stand behind them.
#[test]
fn one_team_s_requests_go_by_their_priorities() {
    let mut bench = Bench::new(1);
    bench.new_work("a");
    let late = Limit {
        priority: 0,
        ..FREE
    };
    for _ in 0..3 {
        assert_matches!(bench.arrive("a", late, false), Verdict::Queue(_));
    }
    let Verdict::Queue(ticket) = bench.new_work("a") else {
        panic!("it waits");
    };
    assert_eq!(bench.finish(), [Released::Admit(ticket)]);
}

// An engine dies, and the answers that it was writing must go on within seconds; new work that
// waits would hold them up, and so would limits that their callers had kept when they came.
#[test]
fn continuations_go_before_new_work_and_past_limits() {
    let mut bench = Bench::new(2);
    let one = Limit {
        in_flight: 1,
        rate: 1,
        ..FREE
    };
    bench.arrive("a", one, false);
    bench.new_work("b");
    let high = Limit {
        priority: 200,
        ..FREE
    };
    bench.arrive("high", high, false);
    // One place above the limit is kept for continuations.
    assert_eq!(bench.arrive("a", one, true), Verdict::Admit);
    let Verdict::Queue(ticket) = bench.arrive("a", one, true) else {
        panic!("it waits for a place");
    };
    assert_eq!(bench.finish(), [Released::Admit(ticket)]);
    assert_eq!(bench.waiting.len(), 1);
}

#[rstest]
#[case::in_flight(Limit { in_flight: 2, ..FREE }, Reason::InFlight)]
#[case::rate(Limit { rate: 2, ..FREE }, Reason::Rate)]
fn team_limits_refuse_at_once(#[case] limit: Limit, #[case] reason: Reason) {
    let mut bench = Bench::new(100);
    for _ in 0..2 {
        assert_eq!(bench.arrive("a", limit, false), Verdict::Admit);
    }
    let refused = bench.arrive("a", limit, false);
    assert_matches!(refused, Verdict::Refuse { reason: because, .. } if because == reason);
    assert_eq!(bench.new_work("b"), Verdict::Admit);
    bench.now += SECOND;
    bench.finish();
    assert_eq!(bench.arrive("a", limit, false), Verdict::Admit);
}

#[rstest]
#[case::even(100, 4, 25)]
#[case::rounded_up(2, 4, 1)]
#[case::none(0, 4, 0)]
fn limits_are_divided_among_entries(#[case] limit: u32, #[case] entries: u32, #[case] own: u32) {
    let whole = Limit {
        in_flight: limit,
        rate: limit,
        ..FREE
    };
    let divided = whole.divided(entries);
    assert_eq!((divided.in_flight, divided.rate), (own, own));
}

// Load is far beyond capacity. A request that can't be served in time is refused at once, not
// held until its caller has given up.
#[test]
fn queue_holds_only_what_can_be_in_time() {
    let mut bench = Bench::new(2);
    let mut verdicts = BTreeMap::new();
    for number in 0..100 {
        // Each its own team: fair shares alone would let all of them wait.
        let verdict = match bench.new_work(&format!("t{number}")) {
            Verdict::Admit => "admitted",
            Verdict::Queue(_) => "waiting",
            Verdict::Refuse { reason, .. } => {
                assert_eq!(reason, Reason::Full);
                "refused"
            }
        };
        *verdicts.entry(verdict).or_insert(0) += 1;
    }
    // Two a second for ten seconds.
    assert_eq!(verdicts["waiting"], 20);
    assert_eq!(verdicts["admitted"], 2);
}

/// A gate whose one place and whole queue one team has; it serves one in a second.
fn taken(limit: Limit) -> Bench {
    let mut bench = Bench::new(1);
    for _ in 0..11 {
        bench.arrive("first", limit, false);
    }
    assert_eq!((bench.running.len(), bench.waiting.len()), (1, 10));
    bench
}

// The queue is full when a team comes that had less than its share. Refused for that, it gets its
// share only by luck; so the request that would be served last makes room, and its caller is told
// at once. Work of a higher priority and continuations never make room for lower.
#[rstest]
#[case::smaller_team(FREE, "other", FREE, true)]
#[case::same_team(FREE, "first", FREE, false)]
#[case::higher(FREE, "other", Limit { priority: 2, ..FREE }, true)]
#[case::same_team_higher(FREE, "first", Limit { priority: 2, ..FREE }, true)]
#[case::lower(FREE, "other", Limit { priority: 0, ..FREE }, false)]
#[case::far_lighter(Limit { weight: 100, ..FREE }, "other", FREE, false)]
fn last_in_line_makes_room(
    #[case] first: Limit,
    #[case] team: &str,
    #[case] limit: Limit,
    #[case] room: bool,
) {
    let mut bench = taken(first);
    let last = bench.waiting.keys().max().copied();
    let verdict = bench.arrive(team, limit, false);
    assert_eq!(matches!(verdict, Verdict::Queue(_)), room, "{verdict:?}");
    assert_eq!(bench.waiting.len(), 10);
    let made_room = !bench.waiting.contains_key(&last.expect("some wait"));
    assert_eq!(made_room, room);
}

#[test]
fn continuations_don_t_make_room() {
    let mut bench = Bench::new(1);
    for _ in 0..12 {
        bench.arrive("first", FREE, true);
    }
    let waiting = bench.waiting.clone();
    let high = Limit {
        priority: 9,
        ..FREE
    };
    assert_matches!(bench.arrive("b", high, false), Verdict::Refuse { .. });
    assert_eq!(bench.waiting, waiting);
}

// The replicas slow down while requests wait. Those that can't be in time any more are refused
// when their time is over, and don't take a place from others.
#[test]
fn late_requests_are_refused_when_their_time_is_over() {
    let mut bench = Bench::new(1);
    bench.new_work("a");
    let Verdict::Queue(ticket) = bench.new_work("b") else {
        panic!("it waits");
    };
    assert_eq!(bench.gate.deadline(), Some(bench.now + 10 * SECOND));
    bench.now += 10 * SECOND;
    let released = bench.tick();
    assert_matches!(
        released[..],
        [Released::Refuse { ticket: late, reason: Reason::Late, .. }] if late == ticket
    );
    assert_eq!(bench.gate.deadline(), None);
    assert_eq!(bench.finish(), []);
}

#[test]
fn cancelled_requests_leave_no_trace() {
    let mut bench = Bench::new(1);
    bench.new_work("a");
    for team in ["b", "c"] {
        let Verdict::Queue(ticket) = bench.new_work(team) else {
            panic!("it waits");
        };
        if team == "b" {
            bench.gate.cancel(ticket);
            bench.gate.cancel(ticket);
            bench.waiting.remove(&ticket);
        }
    }
    assert_eq!(bench.finish().len(), 1);
    assert_eq!(bench.running, [("c".to_string(), 1)]);
    assert_eq!(bench.gate.waiting(), 0);
}

// An outage ends, and a thousand callers that were refused come back when they were told. If all
// were told the same time, all but a few would be refused again, and again.
#[test]
fn refused_callers_come_back_at_a_rate_that_can_be_served() {
    let mut bench = Bench::new(20);
    let mut times = Vec::new();
    for _ in 0..20 {
        bench.new_work("a");
    }
    for _ in 0..500 {
        if let Verdict::Refuse { retry_after, .. } = bench.new_work("a") {
            times.push(retry_after);
        }
    }
    assert!(times.len() > 250);
    let mut seconds: BTreeMap<u64, u32> = BTreeMap::new();
    for time in &times {
        assert!(*time >= SECOND / 2 && *time <= 60 * SECOND);
        *seconds.entry(time.as_secs()).or_default() += 1;
    }
    // Twenty finish in a second, and refused callers shall come back at half of that.
    let most = seconds.values().max().copied().unwrap_or_default();
    assert!(most <= 20, "{seconds:?}");
}

#[test]
fn longest_time_to_come_back_is_no_meeting_point() {
    let mut bench = Bench::new(1);
    let mut seconds: BTreeMap<u64, u32> = BTreeMap::new();
    for _ in 0..5000 {
        if let Verdict::Refuse { retry_after, .. } = bench.new_work("a") {
            assert!(retry_after <= 60 * SECOND);
            *seconds.entry(retry_after.as_secs()).or_default() += 1;
        }
    }
    let most = seconds.values().max().copied().unwrap_or_default();
    assert!((100..300).contains(&most), "{seconds:?}");
}

#[test]
fn callers_that_retry_at_once_harm_only_their_team() {
    let mut bench = Bench::new(10);
    for _ in 0..500 {
        for _ in 0..50 {
            bench.new_work("hasty");
        }
        bench.new_work("calm");
        if bench.running.len() >= 10 {
            bench.finish();
        }
        bench.now += SECOND / 10;
    }
    // A place every tenth of a second for both: each gets half.
    assert!(bench.served["calm"] >= 230, "{:?}", bench.served);
}

// Thousands of teams come and go. What is kept of them must not grow for ever, and dropping a team
// must not give it a fresh rate or forgive its share.
#[test]
fn idle_teams_are_dropped() {
    let mut bench = Bench::new(100);
    for round in 0..50 {
        for number in 0..100 {
            bench.new_work(&format!("t{round}-{number}"));
        }
        for _ in 0..100 {
            bench.finish();
        }
        bench.now += 2 * SECOND;
    }
    assert!(bench.gate.teams() < 400, "{}", bench.gate.teams());
}

#[test]
fn table_of_teams_is_bounded() {
    let mut bench = Bench::with(
        100,
        Settings {
            max_teams: 10,
            ..Settings::default()
        },
    );
    for number in 0..10 {
        assert_eq!(bench.new_work(&format!("t{number}")), Verdict::Admit);
    }
    assert_matches!(bench.new_work("one-more"), Verdict::Refuse { .. });
    assert_eq!(bench.new_work("t3"), Verdict::Admit);
}

#[rstest]
#[case::alone(100, 0, 1, 100)]
#[case::with_others(100, 40, 1, 60)]
#[case::shared(100, 40, 3, 20)]
#[case::over(100, 140, 1, 1)]
fn concurrency_follows_reports(
    #[case] capacity: u32,
    #[case] load: u32,
    #[case] entries: u32,
    #[case] limit: u32,
) {
    let mut bench = Bench::new(1);
    bench.report(capacity, load, entries);
    assert_eq!(bench.gate.limit(), limit);
}

// Four entries share ten places. Each rounds its two and a half up, and the engines are always
// over capacity by two, so that no answer is in time.
#[test]
fn parts_of_places_are_no_places() {
    let mut running = 0;
    for _ in 0..4 {
        let mut bench = Bench::new(1);
        bench.report(10, 0, 4);
        for _ in 0..5 {
            bench.new_work("a");
        }
        running += bench.running.len();
    }
    assert_eq!(running, 8);
}

/// Finishes requests over some seconds, each with that first-token time.
fn serve(bench: &mut Bench, seconds: u32, first: Duration) {
    for _ in 0..seconds {
        for _ in 0..20 {
            bench.new_work("a");
            let (team, priority) = bench.running.remove(0);
            let done = Done {
                priority,
                cost: 1,
                used: 1,
                time: SECOND,
                first_token: Some(first),
            };
            bench.gate.finish(&team, &done);
        }
        bench.now += SECOND;
        bench.tick();
    }
}

// The engines say that they have room, yet first tokens come late: something queues that no report
// shows. The concurrency goes down until they are in time, and comes back afterwards.
#[test]
fn late_first_tokens_lower_the_concurrency() {
    let mut bench = Bench::new(100);
    serve(&mut bench, 5, 3 * SECOND);
    assert!(bench.gate.limit() < 65, "{}", bench.gate.limit());
    serve(&mut bench, 100, 3 * SECOND);
    assert_eq!(bench.gate.limit(), 30);
    serve(&mut bench, 40, SECOND / 10);
    assert_eq!(bench.gate.limit(), 100);
}

#[test]
fn any_order_of_events_keeps_the_counts() {
    for seed in 0..50 {
        let mut bench = Bench::new(5);
        let mut draw = StdRng::seed_from_u64(seed);
        let mut tickets = BTreeSet::new();
        for _ in 0..2000 {
            let team = format!("t{}", draw.random_range(0..8));
            let limit = Limit {
                in_flight: draw.random_range(0..4),
                rate: draw.random_range(0..3),
                weight: draw.random_range(0..4),
                priority: draw.random_range(0..3),
            };
            match draw.random_range(0..6) {
                0..3 => {
                    let resume = draw.random_range(0..5) == 0;
                    if let Verdict::Queue(ticket) = bench.arrive(&team, limit, resume) {
                        assert!(tickets.insert(ticket));
                    }
                }
                3 if !bench.running.is_empty() => {
                    bench.finish();
                }
                4 => {
                    if let Some(ticket) = bench.waiting.keys().next().copied() {
                        bench.gate.cancel(ticket);
                        bench.waiting.remove(&ticket);
                    }
                }
                _ => {
                    bench.now += SECOND / 4;
                    bench.tick();
                }
            }
            assert_eq!(bench.gate.running() as usize, bench.running.len());
            assert_eq!(bench.gate.waiting(), bench.waiting.len());
        }
        while !bench.running.is_empty() {
            bench.finish();
        }
        assert_eq!(bench.gate.waiting(), 0, "seed {seed}");
    }
}

// An entry has just begun, and sixty callers come to it at once before any replica has reported
// and any request has ended. Refused for what the entry doesn't know, they would be told to come
// back to engines that are idle.
#[test]
fn burst_at_the_begin_is_served() {
    let mut gate = Gate::new(Settings::default());
    let mut rng = StdRng::seed_from_u64(1);
    let team = "a".to_string();
    for _ in 0..60 {
        let arrival = Arrival {
            team: &team,
            limit: FREE,
            cost: 1,
            max_wait: SECOND,
            resume: false,
        };
        let verdict = gate.arrive(SECOND, &arrival, &mut rng);
        assert_eq!(verdict, Verdict::Admit);
    }
}
