//! Simulates moves that finish within seconds on several processes in virtual time.

use std::time::Duration;

use moves::{
    Side,
    rollout::{
        Constraint,
        Ending,
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

/// Simulation steps between exchanges of state among the processes.
const EXCHANGE_STEPS: u32 = 10;

/// Duration of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(1200);

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

/// Fault of the new version.
#[derive(Clone, Copy)]
struct Fault {
    /// Fraction of bad answers.
    share: f64,
    /// Onset of the fault.
    from: Duration,
    /// The only affected route; `None` for all.
    route: Option<u32>,
}

const NO_FAULT: Fault = Fault {
    share: 0.0,
    from: Duration::ZERO,
    route: None,
};

/// Simulation of several processes.
struct Simulation {
    rng: StdRng,
    processes: Vec<Rollout>,
    now: Duration,
    /// Requests in flight: end, process, route, side, and whether the answer is bad.
    running: Vec<(Duration, usize, u32, Side, bool)>,
    /// Total requests, and those sent to the new version.
    requests: u32,
    exposed: u32,
    /// Requests per second, and the fraction of them on the rare route.
    rate: f64,
    rare_share: f64,
    /// Fraction of answers that fail on either version.
    base_failure_rate: f64,
    fault: Fault,
}

impl Simulation {
    fn new(seed: u64, processes: usize, rate: f64, fault: Fault) -> Simulation {
        Simulation {
            rng: StdRng::seed_from_u64(seed),
            processes: (0..processes)
                .map(|_| process(processes, Duration::ZERO))
                .collect(),
            now: Duration::ZERO,
            running: Vec::new(),
            requests: 0,
            exposed: 0,
            rate,
            rare_share: 0.1,
            base_failure_rate: 0.02,
            fault,
        }
    }

    fn run_until(&mut self, end: Duration) {
        let mut step = (self.now.as_millis() / STEP.as_millis()) as u32;
        while self.now < end {
            self.now += STEP;
            step += 1;
            let expected = self.rate * STEP.as_secs_f64();
            let count =
                expected.floor() + f64::from(u8::from(self.rng.random_bool(expected.fract())));
            for _ in 0..count as u32 {
                self.request();
            }
            let now = self.now;
            let (ended, in_flight) = self.running.drain(..).partition(|run| run.0 <= now);
            self.running = in_flight;
            let ended: Vec<_> = ended;
            for (_, process, route, side, bad) in ended {
                self.processes[process].record_end(now, route, side, failed(bad));
            }
            if step.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
        }
    }

    fn request(&mut self) {
        let process = self.rng.random_range(0..self.processes.len());
        let route = u32::from(self.rng.random_bool(self.rare_share)) + 1;
        let draw = self.rng.random_range(0.0..1.0);
        let constraint = self.processes[process].pick(self.now, route, draw);
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
        let bad = self.rng.random_bool(self.base_failure_rate)
            || shows && self.rng.random_bool(fault.share);
        self.running
            .push((self.now + ANSWER_TIME, process, route, side, bad));
    }

    fn exchange(&mut self) {
        let updates: Vec<_> = self
            .processes
            .iter()
            .map(|e| e.progress(self.now))
            .collect();
        for (index, process) in self.processes.iter_mut().enumerate() {
            for (peer, progress) in updates.iter().enumerate() {
                if peer != index {
                    process.merge(self.now, peer as u64, progress.clone());
                }
            }
        }
    }

    fn bound(&self) -> f64 {
        EXPOSURE.share * f64::from(self.requests) + EXPOSURE.slack
    }

    fn states(&self) -> Vec<State> {
        self.processes.iter().map(|e| e.state(self.now)).collect()
    }
}

fn failed(bad: bool) -> Ending {
    match bad {
        true => Ending::Failed,
        false => Ending::Good,
    }
}

fn process(processes: usize, now: Duration) -> Rollout {
    let mut rollout = Rollout::new(order(), EXPOSURE, now);
    rollout.observe_processes(processes);
    rollout
}

/// Guards against a good version that isn't fully rolled out by the operator's deadline, also when
/// some requests fail on both versions.
#[rstest]
#[case::few_processes(5, 6.0, 0.0, 0)]
#[case::few_processes_with_failures(5, 6.0, 0.02, 4)]
#[case::many_processes(28, 26.0, 0.02, 1)]
#[case::one_process(1, 80.0, 0.02, 1)]
#[case::hardly_any_requests(5, 0.5, 0.0, 0)]
fn a_good_version_is_done_in_time(
    #[case] processes: usize,
    #[case] rate: f64,
    #[case] base_failure_rate: f64,
    #[case] max_late: u32,
) {
    let mut late = 0;
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, processes, rate, NO_FAULT);
        simulation.base_failure_rate = base_failure_rate;
        simulation.run_until(Duration::from_millis(13_300));
        let all = simulation
            .states()
            .iter()
            .all(|state| *state == State::Done);
        late += u32::from(!all);
    }
    assert!(late <= max_late, "{late} of 40 late");
}

/// Guards against a bad version that receives more requests than the operator's bound or isn't
/// reverted. It fails a large part of its requests: from the start, after a while, or only on a
/// route that few callers use.
#[rstest]
#[case::from_the_start(0.5, 0, None)]
#[case::few_failures(0.3, 0, None)]
#[case::late(0.5, 4, None)]
#[case::after_the_switch(0.6, 12, None)]
#[case::on_a_rare_route(0.6, 0, Some(2))]
fn a_bad_version_stays_within_the_bound(
    #[case] share: f64,
    #[case] from: u64,
    #[case] route: Option<u32>,
    #[values((5, 6.0), (28, 26.0), (3, 90.0))] (processes, rate): (usize, f64),
) {
    let fault = Fault {
        share,
        from: Duration::from_secs(from),
        route,
    };
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, processes, rate, fault);
        simulation.run_until(order().within);
        let (exposed, bound) = (simulation.exposed, simulation.bound());
        assert!(
            f64::from(exposed) <= bound,
            "{exposed} of {bound}, seed {seed}"
        );
        if rate > 20.0 && from < 10 {
            let reverted = simulation.states().iter().all(|s| *s == State::Reverted);
            assert!(reverted, "seed {seed}: {:?}", simulation.states());
        }
    }
}

/// Guards against a restarted process that starts sampling as if the move were new, or that sends
/// requests to a version that its peers found bad.
#[test]
fn a_restarted_process_adopts_its_peers_state() {
    let mut simulation = Simulation::new(1, 5, 6.0, NO_FAULT);
    simulation.run_until(Duration::from_secs(8));
    let mut restarted = process(5, simulation.now);
    let progress = simulation.processes[0].progress(simulation.now);
    assert_eq!(progress.elapsed, Duration::from_secs(8));
    restarted.merge(simulation.now, 1, progress);
    assert_eq!(
        restarted.progress(simulation.now).elapsed,
        Duration::from_secs(8)
    );
    for _ in 0..4 {
        simulation.processes[0].record_end(simulation.now, 1, Side::New, Ending::Failed);
    }
    assert_eq!(
        simulation.processes[0].state(simulation.now),
        State::Reverted
    );
    restarted.merge(
        simulation.now,
        1,
        simulation.processes[0].progress(simulation.now),
    );
    assert_eq!(
        restarted.pick(simulation.now, 1, 0.0),
        Constraint::ExcludeNew
    );
    assert_eq!(
        restarted.state_to_store(simulation.now),
        Some(State::Reverted)
    );
}

/// Guards against a bad version that is completed as nobody has tried it: each process has started again
/// since, and knows the time of the move but no answer.
#[rstest]
#[case::no_answer(30, 0, State::Reverted)]
#[case::few_answers(30, 3, State::Reverted)]
#[case::answers(30, 5, State::Done)]
#[case::hardly_any_requests(3, 0, State::Reverted)]
#[case::no_request(0, 0, State::Reverted)]
fn a_version_that_nobody_has_tried_is_not_completed(
    #[case] requests: u32,
    #[case] answers: u32,
    #[case] state: State,
) {
    let started = Duration::from_secs(11);
    let mut rollout = process(5, started);
    let peer = process(5, Duration::ZERO).progress(started);
    rollout.merge(started, 1, peer);
    for number in 0..requests {
        rollout.pick(started, 1, 0.99);
        if number < answers {
            rollout.record_end(started, 1, Side::New, Ending::Good);
        } else {
            rollout.record_end(started, 1, Side::Old, Ending::Good);
        }
    }
    assert_eq!(rollout.state(Duration::from_millis(13_300)), state);
}

/// Another process ended the move. This process didn't receive its state but reads it from the
/// store.
#[rstest]
#[case::done(State::Done, Constraint::OnlyNew)]
#[case::reverted(State::Reverted, Constraint::ExcludeNew)]
fn the_stored_state_is_followed(#[case] state: State, #[case] constraint: Constraint) {
    let mut rollout = process(5, Duration::ZERO);
    assert!(rollout.set_stored_state(state));
    assert!(!rollout.set_stored_state(state));
    let now = Duration::from_secs(1);
    assert_eq!(rollout.pick(now, 1, 0.0), constraint);
    assert_eq!(rollout.constraint(now), constraint);
    assert_eq!(rollout.state_to_store(now), None);
}

/// Guards against a completed move that still restricts versions: an operator releases a later
/// version without a move, and its servers must receive requests too.
#[test]
fn a_completed_move_stops_restricting_versions() {
    let mut rollout = process(5, Duration::ZERO);
    rollout.set_stored_state(State::Done);
    let within = order().within;
    assert_eq!(rollout.constraint(within), Constraint::OnlyNew);
    assert_eq!(rollout.constraint(within * 2), Constraint::Any);
    assert_eq!(rollout.pick(within * 2, 1, 0.0), Constraint::Any);
    let mut reverted = process(5, Duration::ZERO);
    reverted.set_stored_state(State::Reverted);
    assert_eq!(reverted.constraint(within * 2), Constraint::ExcludeNew);
}

/// Guards against a process that takes over its peers' samples when it is partitioned from them:
/// the partitioned processes together would send the new version several times the bound.
#[test]
fn a_partitioned_process_keeps_its_own_budget() {
    let mut rollout = process(10, Duration::ZERO);
    rollout.observe_processes(1);
    let now = Duration::from_secs(9);
    let sent = (0..100).filter(|_| rollout.pick(now, 1, 0.99) == Constraint::OnlyNew);
    let sent = sent.count() as f64;
    assert!(
        sent <= EXPOSURE.slack / 10.0 + EXPOSURE.share * 100.0,
        "{sent}"
    );
}

/// State of an older order arrives from a peer. It says nothing about the current order.
#[test]
fn state_of_another_order_is_ignored() {
    let mut rollout = process(2, Duration::ZERO);
    let mut progress = process(2, Duration::ZERO).progress(Duration::from_secs(5));
    progress.revision = 6;
    progress.vetoed = true;
    rollout.merge(Duration::from_secs(1), 1, progress);
    assert_eq!(rollout.state(Duration::from_secs(1)), State::Running);
}

/// Guards against a good version that is taken back after one moment in which nothing was answered:
/// the answers that several processes awaited then are late together, and are one event.
#[rstest]
#[case::at_one_process(1, 0)]
#[case::at_three_processes(3, 20)]
fn answers_that_are_late_together_are_one_event(#[case] processes: usize, #[case] apart_ms: u64) {
    let mut simulation = Simulation::new(1, 5, 6.0, NO_FAULT);
    simulation.base_failure_rate = 0.0;
    simulation.run_until(Duration::from_secs(8));
    let now = simulation.now;
    for number in 0..3 {
        let at = now + Duration::from_millis(apart_ms) * number;
        let process = number as usize % processes;
        simulation.processes[process].record_end(at, 1, Side::New, Ending::Late);
    }
    simulation.run_until(Duration::from_millis(13_300));
    let states = simulation.states();
    assert!(
        states.iter().all(|state| *state == State::Done),
        "{states:?}"
    );
}

/// Guards against a version that answers late and is kept as its late answers are taken for one
/// event.
#[rstest]
fn a_version_that_answers_late_is_taken_back(#[values(150, 400)] apart_ms: u64) {
    let mut simulation = Simulation::new(1, 5, 6.0, NO_FAULT);
    simulation.base_failure_rate = 0.0;
    simulation.run_until(Duration::from_secs(8));
    let now = simulation.now;
    for number in 0..3 {
        let at = now + Duration::from_millis(apart_ms) * number;
        simulation.processes[number as usize].record_end(at, 1, Side::New, Ending::Late);
    }
    simulation.run_until(now + Duration::from_secs(2));
    let states = simulation.states();
    assert!(
        states.iter().all(|state| *state == State::Reverted),
        "{states:?}"
    );
}
