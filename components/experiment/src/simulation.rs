//! One simulation in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use admission::{
    Done,
    wait::Constraints, //
};
use names::{
    Clock,
    Server, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use routing::{
    Outcome,
    placement::{
        Spec,
        Suspicion,
        Work, //
    },
};

use crate::{
    Pattern,
    Policy,
    Setup,
    Summary,
    engine::{
        Engine,
        Id,
        Run,
        Step, //
    },
    entry::{
        Decision,
        Entry,
        service, //
    }, //
};

/// Increment of the virtual time.
const TICK: Duration = Duration::from_millis(10);

/// Time between two beacons of an entry.
const BEACON_INTERVAL: Duration = Duration::from_millis(50);

/// Number of servers that a request is sent to before it fails.
const MAX_SENDS: usize = 4;

/// Number of immediate retries of an impatient caller.
const IMPATIENT_RETRIES: u32 = 4;

/// Share of a prompt that is common to all prompts of a [`Pattern::OneKey`] burst.
const ONE_KEY_PREFIX_SHARE: f64 = 0.8;

/// A caller's request.
struct Request {
    /// Time of the first attempt.
    arrived: Clock,
    deadline: Clock,
    team: usize,
    prompt_tokens: f64,
    events: f64,
    parts: Vec<(u64, u32)>,
    entry: usize,
    attempts: u32,
    /// Whether the request can no longer be in time, so that the next refusal is final.
    late: bool,
    /// Priority at the gate in the last attempt.
    priority: u8,
    admitted: Option<Clock>,
    assignment: Option<Assignment>,
    /// Events delivered to the caller.
    delivered: f64,
    first_event: Option<Clock>,
    last_event: Clock,
    longest_pause: Clock,
    /// Time at which the engine was lost; reset by the next event.
    interrupted_at: Option<Clock>,
    was_interrupted: bool,
    finished: bool,
}

/// The engine that runs a request, and the work reported to the placement.
struct Assignment {
    server: usize,
    work: Work,
    sent_at: Clock,
    tokens_ahead: u64,
    backup: Option<(usize, u64)>,
}

struct Simulation<'a> {
    setup: &'a Setup,
    pattern: Pattern,
    policy: Policy,
    now: Clock,
    rng: SmallRng,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    retries: BinaryHeap<Reverse<(Clock, Id)>>,
    summary: Summary,
}

/// Simulates a pattern with a policy; the same seed gives the same result.
pub fn simulate(setup: &Setup, pattern: Pattern, policy: Policy, seed: u64) -> Summary {
    let mut simulation = Simulation::new(setup, pattern, policy, seed);
    while simulation.now < setup.duration + setup.timeout {
        simulation.step();
    }
    simulation.summary.prefilled = simulation
        .engines
        .iter()
        .map(|engine| engine.prefilled)
        .sum();
    simulation.summary
}

fn server_name(engine: usize) -> Server {
    format!("s{engine:03}")
}

fn server_index(server: &Server) -> usize {
    server[1..].parse().unwrap_or_default()
}

impl Request {
    fn done(&self, time: Clock) -> Done {
        let cost = self.prompt_tokens as u64;
        // Requests admitted late don't show how fast the engines are.
        let first = self.first_event.filter(|_| !self.late);
        Done {
            priority: self.priority,
            cost,
            used: cost,
            time,
            first_output: first.map(|first| first - self.arrived),
        }
    }
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup, pattern: Pattern, policy: Policy, seed: u64) -> Simulation<'a> {
        let data_centre = |index: usize| format!("z{}", index % setup.data_centres);
        let mut entries: Vec<Entry> = (0..setup.entries)
            .map(|index| Entry::new(setup, policy, data_centre(index), index))
            .collect();
        for entry in &mut entries {
            for engine in 0..setup.engines {
                let spec = Spec {
                    service: service(),
                    version: "v1".into(),
                    data_centre: data_centre(engine),
                    slots: setup.slots,
                    memory: setup.kv_capacity,
                };
                entry
                    .placement
                    .upsert(Clock::ZERO, &server_name(engine), spec, false);
            }
        }
        Simulation {
            setup,
            pattern,
            policy,
            now: Clock::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            entries,
            engines: vec![Engine::default(); setup.engines],
            requests: Vec::new(),
            retries: BinaryHeap::new(),
            summary: Summary {
                duration: setup.duration,
                teams: vec![(0, 0); setup.teams],
                ..Summary::default()
            },
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        self.apply_losses();
        if self.now < self.setup.duration {
            self.create_arrivals();
        }
        while let Some(Reverse((at, id))) = self.retries.peek().copied() {
            if at > self.now {
                break;
            }
            self.retries.pop();
            self.attempt(id);
        }
        // The entry that ticks first takes the free capacity. In a real system the order varies, so
        // the simulation draws it.
        let first = self.rng.random_range(0..self.entries.len());
        for index in 0..self.entries.len() {
            let entry = (first + index) % self.entries.len();
            let decisions = self.entries[entry].tick(self.setup, self.now, &mut self.rng);
            for decision in decisions {
                self.apply_decision(decision);
            }
        }
        for engine in 0..self.engines.len() {
            for step in self.engines[engine].advance(self.setup, TICK) {
                match step {
                    Step::Event { id, first } => self.record_event(id, first),
                    Step::End { id } => self.complete(id),
                }
            }
        }
        if self
            .now
            .as_millis()
            .is_multiple_of(BEACON_INTERVAL.as_millis())
        {
            self.exchange_beacons();
        }
        self.expire_requests();
    }

    /// Updates which engines are down; resumes the runs of those that crashed.
    fn apply_losses(&mut self) {
        for engine in 0..self.engines.len() {
            let data_centre = engine % self.setup.data_centres;
            let lost = self
                .pattern
                .is_down(self.setup, self.now, data_centre, engine);
            let before = std::mem::replace(&mut self.engines[engine].lost, lost);
            if !lost || before {
                continue;
            }
            for run in self.engines[engine].crash() {
                self.resume(engine, run);
            }
        }
    }

    fn create_arrivals(&mut self) {
        let load = self.pattern.load(self.setup, self.now);
        let mean = self.setup.capacity() * load * TICK.as_secs_f64();
        let mut count = mean.floor() as u32;
        count += u32::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            self.arrive();
        }
    }

    fn arrive(&mut self) {
        let id = self.requests.len();
        let setup = self.setup;
        let active = self.pattern.is_active(setup, self.now);
        // Squaring the draw gives a few large teams and many small ones.
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let team = match (self.pattern, active) {
            (Pattern::OneTeam, true) if self.rng.random_bool(0.8) => 0,
            _ => (draw * draw * setup.teams as f64) as usize,
        };
        let prompt_tokens = setup.mean_lengths.0 * self.rng.random_range(0.5..1.5);
        let events = setup.mean_lengths.1 * self.rng.random_range(0.7..1.3);
        let shared = match (self.pattern, active) {
            (Pattern::OneKey, true) => prompt_tokens * ONE_KEY_PREFIX_SHARE,
            _ => setup.shared_prefix as f64,
        };
        let rest = (prompt_tokens - shared) as u32;
        let (min, max) = setup.deadline_share;
        let time_limit = match min < max {
            true => setup.timeout.mul_f64(self.rng.random_range(min..max)),
            false => setup.timeout.mul_f64(max),
        };
        self.summary.requests += 1;
        self.summary.teams[team].0 += 1;
        self.summary.sizes[usize::from(prompt_tokens > setup.mean_lengths.0)].0 += 1;
        self.requests.push(Request {
            arrived: self.now,
            deadline: self.now + time_limit,
            team,
            prompt_tokens,
            events: events.floor(),
            parts: vec![(1, shared as u32), (id as u64 + 2, rest)],
            entry: 0,
            attempts: 0,
            late: false,
            priority: 0,
            admitted: None,
            assignment: None,
            delivered: 0.0,
            first_event: None,
            last_event: self.now,
            longest_pause: Clock::ZERO,
            interrupted_at: None,
            was_interrupted: false,
            finished: false,
        });
        self.attempt(id);
    }

    /// Sends a request to a random entry, for the first time or as a retry.
    fn attempt(&mut self, id: Id) {
        let entry = self.rng.random_range(0..self.entries.len());
        let request = &mut self.requests[id];
        request.entry = entry;
        request.attempts += 1;
        request.late = false;
        match self.policy.queues() {
            true => self.enqueue(id),
            false => self.dispatch(id, &[]),
        }
    }

    /// Passes a request to its entry's gate.
    fn enqueue(&mut self, id: Id) {
        let request = &self.requests[id];
        let deadline = request.deadline.saturating_sub(self.now);
        let constraints = Constraints {
            rank: 1,
            objective: self.setup.first_event_target,
            timeout: Some(self.setup.timeout),
            deadline: Some(deadline),
            expected: Some(
                self.setup
                    .event_interval
                    .mul_f64(self.setup.mean_lengths.1 * 2.0),
            ),
        };
        let wait = constraints
            .waits()
            .find(|wait| !request.late || !wait.in_time);
        let Some(wait) = wait else {
            return;
        };
        let (entry, team) = (request.entry, team_name(request.team));
        let cost = request.prompt_tokens as u64;
        self.requests[id].late = !wait.in_time;
        self.requests[id].priority = wait.limit.priority;
        let arrival = (id, &team, cost);
        let entry = &mut self.entries[entry];
        let decision = entry.arrive(self.setup, self.now, arrival, &wait, &mut self.rng);
        if let Some(decision) = decision {
            self.apply_decision(decision);
        }
    }

    fn apply_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Admit(id) if self.requests[id].finished => {
                let request = &self.requests[id];
                let done = request.done(Clock::ZERO);
                self.entries[request.entry].finish(&team_name(request.team), &done);
            }
            Decision::Admit(id) => {
                self.requests[id].admitted = Some(self.now);
                self.dispatch(id, &[]);
            }
            Decision::Refuse(id, _) if !self.requests[id].late => {
                self.requests[id].late = true;
                self.enqueue(id);
            }
            Decision::Refuse(id, retry_after) => self.refuse(id, retry_after),
        }
    }

    /// Schedules a retry of a refused request, or ends it.
    fn refuse(&mut self, id: Id, retry_after: Clock) {
        let impatient = self.pattern == Pattern::Impatient;
        let max = if impatient {
            IMPATIENT_RETRIES
        } else {
            self.setup.retries
        };
        let request = &mut self.requests[id];
        let remaining = request.deadline.saturating_sub(self.now);
        if request.attempts > max || remaining.is_zero() {
            request.finished = true;
            self.summary.refused += 1;
            return;
        }
        let wait = if impatient {
            TICK
        } else {
            retry_after.min(remaining / 3)
        };
        self.retries.push(Reverse((self.now + wait, id)));
    }

    /// Sends a request to an engine, which prefills its prompt from the start.
    fn dispatch(&mut self, id: Id, avoid: &[Server]) {
        let request = &self.requests[id];
        let parts = request.parts.clone();
        let tokens = request.prompt_tokens + request.events * self.setup.tokens_per_event as f64;
        let mut work = Work {
            requests: 1,
            tokens: tokens as u64,
            prefill_tokens: request.prompt_tokens as u64,
        };
        let entry = request.entry;
        let mut avoid = avoid.to_vec();
        for _ in 0..MAX_SENDS {
            let chosen = self.entries[entry].choose(self.now, work, &parts, &avoid, &mut self.rng);
            let Some(server) = chosen else {
                break;
            };
            if self.engines[server_index(&server)].lost {
                let placement = &mut self.entries[entry].placement;
                placement.suspend(self.now, &server, Suspicion::Refused);
                avoid.push(server);
                continue;
            }
            let placement = &self.entries[entry].placement;
            work.prefill_tokens -= placement
                .cached_tokens(self.now, &parts, &server)
                .min(work.prefill_tokens);
            self.assign(id, &server, work);
            return;
        }
        self.fail(id);
    }

    /// Runs a request on a server, with a backup copy if the policy makes one.
    fn assign(&mut self, id: Id, server: &Server, work: Work) {
        let now = self.now;
        let entry = &mut self.entries[self.requests[id].entry];
        let holder = entry.backup(now, work, server, &mut self.rng);
        entry.placement.sent(now, server, work);
        let tokens_ahead = entry.placement.queued_prefill_tokens(server);
        let backup_work = Work {
            requests: 0,
            prefill_tokens: 0,
            ..work
        };
        if let Some(holder) = &holder {
            entry.placement.sent(now, holder, backup_work);
        }
        let backup = holder.map(|holder| (server_index(&holder), work.tokens));
        if let Some((holder, tokens)) = backup {
            self.engines[holder].backup_tokens += tokens;
        }
        let request = &mut self.requests[id];
        self.engines[server_index(server)].add(Run {
            id,
            unprefilled: work.prefill_tokens as f64,
            events: (request.delivered, request.events),
            tokens: work.tokens,
        });
        request.assignment = Some(Assignment {
            server: server_index(server),
            work,
            sent_at: now,
            tokens_ahead,
            backup,
        });
    }

    fn record_event(&mut self, id: Id, first: bool) {
        let now = self.now;
        let request = &mut self.requests[id];
        let entry = &mut self.entries[request.entry];
        if let Some(assignment) = &mut request.assignment {
            let server = server_name(assignment.server);
            let prefill_tokens = std::mem::take(&mut assignment.work.prefill_tokens);
            if prefill_tokens > 0 {
                let time = now - assignment.sent_at;
                entry.placement.record_prefill(
                    now,
                    &server,
                    prefill_tokens,
                    assignment.tokens_ahead,
                    time,
                );
                entry.placement.record_cached(now, &request.parts, &server);
                entry.placement.mark_alive(now, &server);
            }
        }
        if let Some(interrupted_at) = request.interrupted_at.take() {
            self.summary
                .pauses
                .push((now - interrupted_at).as_secs_f64());
        }
        let pause = now - request.last_event;
        if first && request.first_event.is_none() {
            request.first_event = Some(now);
        } else {
            request.longest_pause = request.longest_pause.max(pause);
        }
        request.last_event = now;
        request.delivered += 1.0;
    }

    fn complete(&mut self, id: Id) {
        let request = &self.requests[id];
        let first = request.first_event.unwrap_or(self.now) - request.arrived;
        let in_time =
            first <= self.setup.first_event_target && request.longest_pause <= self.setup.max_pause;
        let (team, large) = (
            request.team,
            request.prompt_tokens > self.setup.mean_lengths.0,
        );
        let was_interrupted = request.was_interrupted;
        self.release(
            id,
            Outcome::Served {
                time: self.setup.event_interval,
            },
        );
        if in_time {
            self.summary.in_time += 1;
            self.summary.interrupted.1 += u32::from(was_interrupted);
            self.summary.teams[team].1 += 1;
            self.summary.sizes[usize::from(large)].1 += 1;
        } else {
            self.summary.late += 1;
        }
    }

    /// Ends a request: removes it from its engine and its entry.
    fn release(&mut self, id: Id, outcome: Outcome) {
        self.unassign(id, outcome);
        let now = self.now;
        let request = &mut self.requests[id];
        request.finished = true;
        if let Some(admitted) = request.admitted.take() {
            let done = request.done(now - admitted);
            self.entries[request.entry].finish(&team_name(request.team), &done);
        }
    }

    fn unassign(&mut self, id: Id, outcome: Outcome) {
        let request = &mut self.requests[id];
        let Some(assignment) = request.assignment.take() else {
            return;
        };
        let entry = &mut self.entries[request.entry];
        self.engines[assignment.server].remove(id);
        entry.done(
            self.now,
            &server_name(assignment.server),
            assignment.work,
            outcome,
        );
        if let Some((holder, tokens)) = assignment.backup {
            let backup_work = Work {
                requests: 0,
                tokens,
                prefill_tokens: 0,
            };
            entry.done(
                self.now,
                &server_name(holder),
                backup_work,
                Outcome::Cancelled,
            );
            let engine = &mut self.engines[holder];
            engine.backup_tokens = engine.backup_tokens.saturating_sub(tokens);
        }
    }

    /// Continues a run of a lost engine on another one, from its backup copy if there is one.
    fn resume(&mut self, engine: usize, run: Run) {
        let id = run.id;
        let server = server_name(engine);
        let request = &mut self.requests[id];
        if request.finished {
            return;
        }
        request.interrupted_at = Some(self.now);
        self.summary.interrupted.0 += u32::from(!request.was_interrupted);
        request.was_interrupted = true;
        let prefilled = run.unprefilled <= 0.0;
        let backup = request
            .assignment
            .as_ref()
            .and_then(|assignment| assignment.backup);
        let entry = request.entry;
        let backup = backup.filter(|(holder, _)| prefilled && !self.engines[*holder].lost);
        self.entries[entry]
            .placement
            .suspend(self.now, &server, Suspicion::Refused);
        let request = &self.requests[id];
        let work = Work {
            requests: 1,
            tokens: run.tokens,
            prefill_tokens: 0,
        };
        let prefilled_tokens = request.prompt_tokens - run.unprefilled.max(0.0);
        self.unassign(id, Outcome::Failed);
        match backup {
            Some((holder, _)) => self.assign(id, &server_name(holder), work),
            None => {
                self.summary.wasted += prefilled_tokens;
                self.dispatch(id, &[server]);
            }
        }
    }

    fn fail(&mut self, id: Id) {
        self.release(id, Outcome::Failed);
        self.summary.failed += 1;
    }

    /// Delivers every entry's loads and waiting requests to all other entries.
    fn exchange_beacons(&mut self) {
        let loads: Vec<_> = self
            .entries
            .iter()
            .map(|entry| {
                let own = entry.placement.own_loads();
                own.map(|(server, work)| (server.clone(), work)).collect()
            })
            .collect();
        let waiting_in_time: Vec<u32> = self.entries.iter().map(Entry::waiting_in_time).collect();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            entry.peers_in_time = waiting_in_time.iter().sum::<u32>() - waiting_in_time[index];
            for (peer, loads) in loads.iter().enumerate() {
                if peer != index {
                    let loads: std::collections::HashMap<_, _> = Clone::clone(loads);
                    entry.placement.set_peer_loads(peer as u64, loads);
                }
            }
        }
    }

    /// Ends the requests whose deadline has passed.
    fn expire_requests(&mut self) {
        for id in 0..self.requests.len() {
            let request = &self.requests[id];
            if request.finished || request.deadline > self.now {
                continue;
            }
            if request.assignment.is_some() {
                self.summary.wasted += request.prompt_tokens;
            }
            self.release(id, Outcome::Cancelled);
            self.summary.failed += 1;
        }
    }
}

fn team_name(index: usize) -> String {
    format!("t{index}")
}
