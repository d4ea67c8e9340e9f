//! One play in virtual time.

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
    Seen,
    Setup,
    engine::{
        Engine,
        Id,
        Run,
        Step, //
    },
    entry::{
        Entry,
        Gated,
        service, //
    }, //
};

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);

/// Time between two beacons of an entry.
const BEACON: Duration = Duration::from_millis(50);

/// Servers that a request is sent to at most before it is given up.
const TRIES: usize = 4;

/// Times that an impatient caller repeats at once.
const IMPATIENT: u32 = 4;

/// Part of the first prompts' beginning that one key makes alike.
const ALIKE: f64 = 0.8;

/// A caller's request.
struct Request {
    /// When its caller first asked.
    asked: Clock,
    until: Clock,
    team: usize,
    prompt: f64,
    events: f64,
    parts: Vec<(u64, u32)>,
    entry: usize,
    tries: u32,
    /// Whether the next refusal is the last one.
    late: bool,
    /// Priority with which it was at the gate last.
    priority: u8,
    admitted: Option<Clock>,
    place: Option<Place>,
    /// Events that the caller has.
    given: f64,
    first: Option<Clock>,
    heard: Clock,
    pause: Clock,
    /// When its engine was lost, until the next event.
    hit: Option<Clock>,
    was_hit: bool,
    over: bool,
}

/// Where a request runs.
struct Place {
    server: usize,
    work: Work,
    sent: Clock,
    ahead: u64,
    copy: Option<(usize, u64)>,
}

struct World<'a> {
    setup: &'a Setup,
    pattern: Pattern,
    policy: Policy,
    now: Clock,
    rng: SmallRng,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    back: BinaryHeap<Reverse<(Clock, Id)>>,
    seen: Seen,
}

/// Plays a pattern with a policy, from a seed.
pub fn play(setup: &Setup, pattern: Pattern, policy: Policy, seed: u64) -> Seen {
    let mut world = World::new(setup, pattern, policy, seed);
    while world.now < setup.length + setup.timeout {
        world.step();
    }
    world.seen.read = world.engines.iter().map(|engine| engine.read).sum();
    world.seen
}

fn name(engine: usize) -> Server {
    format!("s{engine:03}")
}

fn number(server: &Server) -> usize {
    server[1..].parse().unwrap_or_default()
}

impl Request {
    fn done(&self, time: Clock) -> Done {
        let cost = self.prompt as u64;
        // What was let in late says nothing of the engines.
        let first = self.first.filter(|_| !self.late);
        Done {
            priority: self.priority,
            cost,
            used: cost,
            time,
            first_token: first.map(|first| first - self.asked),
        }
    }
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup, pattern: Pattern, policy: Policy, seed: u64) -> World<'a> {
        let centre = |number: usize| format!("z{}", number % setup.data_centres);
        let mut entries: Vec<Entry> = (0..setup.entries)
            .map(|place| Entry::new(setup, policy, centre(place), place))
            .collect();
        for entry in &mut entries {
            for engine in 0..setup.engines {
                let facts = Spec {
                    service: service(),
                    version: "v1".into(),
                    data_centre: centre(engine),
                    slots: setup.slots,
                    memory: setup.memory,
                };
                entry
                    .placement
                    .upsert(Clock::ZERO, &name(engine), facts, false);
            }
        }
        World {
            setup,
            pattern,
            policy,
            now: Clock::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            entries,
            engines: vec![Engine::default(); setup.engines],
            requests: Vec::new(),
            back: BinaryHeap::new(),
            seen: Seen {
                length: setup.length,
                teams: vec![(0, 0); setup.teams],
                ..Seen::default()
            },
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.losses();
        if self.now < self.setup.length {
            self.arrivals();
        }
        while let Some(Reverse((at, id))) = self.back.peek().copied() {
            if at > self.now {
                break;
            }
            self.back.pop();
            self.attempt(id);
        }
        // Whoever looks first takes the room; in truth that is another one each time.
        let first = self.rng.random_range(0..self.entries.len());
        for place in 0..self.entries.len() {
            let entry = (first + place) % self.entries.len();
            let gated = self.entries[entry].tick(self.setup, self.now, &mut self.rng);
            for gated in gated {
                self.gated(gated);
            }
        }
        for engine in 0..self.engines.len() {
            for step in self.engines[engine].advance(self.setup, STEP) {
                match step {
                    Step::Event { id, first } => self.event(id, first),
                    Step::End { id } => self.end(id),
                }
            }
        }
        if self.now.as_millis().is_multiple_of(BEACON.as_millis()) {
            self.beacons();
        }
        self.deadlines();
    }

    fn losses(&mut self) {
        for engine in 0..self.engines.len() {
            let centre = engine % self.setup.data_centres;
            let lost = self.pattern.lost(self.setup, self.now, centre, engine);
            let before = std::mem::replace(&mut self.engines[engine].lost, lost);
            if !lost || before {
                continue;
            }
            for run in self.engines[engine].crash() {
                self.resume(engine, run);
            }
        }
    }

    fn arrivals(&mut self) {
        let load = self.pattern.load(self.setup, self.now);
        let mean = self.setup.capacity() * load * STEP.as_secs_f64();
        let mut count = mean.floor() as u32;
        count += u32::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            self.arrive();
        }
    }

    fn arrive(&mut self) {
        let id = self.requests.len();
        let setup = self.setup;
        let on = self.pattern.on(setup, self.now);
        // A few teams are large.
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let team = match (self.pattern, on) {
            (Pattern::OneTeam, true) if self.rng.random_bool(0.8) => 0,
            _ => (draw * draw * setup.teams as f64) as usize,
        };
        let prompt = setup.size.0 * self.rng.random_range(0.5..1.5);
        let events = setup.size.1 * self.rng.random_range(0.7..1.3);
        let shared = match (self.pattern, on) {
            (Pattern::OneKey, true) => prompt * ALIKE,
            _ => setup.shared as f64,
        };
        let rest = (prompt - shared) as u32;
        let (least, most) = setup.gives;
        let gives = match least < most {
            true => setup.timeout.mul_f64(self.rng.random_range(least..most)),
            false => setup.timeout.mul_f64(most),
        };
        self.seen.asked += 1;
        self.seen.teams[team].0 += 1;
        self.seen.sizes[usize::from(prompt > setup.size.0)].0 += 1;
        self.requests.push(Request {
            asked: self.now,
            until: self.now + gives,
            team,
            prompt,
            events: events.floor(),
            parts: vec![(1, shared as u32), (id as u64 + 2, rest)],
            entry: 0,
            tries: 0,
            late: false,
            priority: 0,
            admitted: None,
            place: None,
            given: 0.0,
            first: None,
            heard: self.now,
            pause: Clock::ZERO,
            hit: None,
            was_hit: false,
            over: false,
        });
        self.attempt(id);
    }

    /// A caller asks, or comes back.
    fn attempt(&mut self, id: Id) {
        let entry = self.rng.random_range(0..self.entries.len());
        let request = &mut self.requests[id];
        request.entry = entry;
        request.tries += 1;
        request.late = false;
        match self.policy.queues() {
            true => self.enqueue(id),
            false => self.go(id, &[]),
        }
    }

    fn enqueue(&mut self, id: Id) {
        let request = &self.requests[id];
        let deadline = request.until.saturating_sub(self.now);
        let ask = Constraints {
            rank: 1,
            objective: self.setup.objective,
            timeout: Some(self.setup.timeout),
            deadline: Some(deadline),
            expected: Some(self.setup.step.mul_f64(self.setup.size.1 * 2.0)),
        };
        let turn = ask.waits().find(|turn| !request.late || !turn.in_time);
        let Some(turn) = turn else {
            return;
        };
        let (entry, team) = (request.entry, team(request.team));
        let cost = request.prompt as u64;
        self.requests[id].late = !turn.in_time;
        self.requests[id].priority = turn.limit.priority;
        let wants = (id, &team, cost);
        let entry = &mut self.entries[entry];
        let gated = entry.arrive(self.setup, self.now, wants, &turn, &mut self.rng);
        if let Some(gated) = gated {
            self.gated(gated);
        }
    }

    fn gated(&mut self, gated: Gated) {
        match gated {
            Gated::Goes(id) if self.requests[id].over => {
                let request = &self.requests[id];
                let done = request.done(Clock::ZERO);
                self.entries[request.entry].finish(&team(request.team), &done);
            }
            Gated::Goes(id) => {
                self.requests[id].admitted = Some(self.now);
                self.go(id, &[]);
            }
            Gated::Refused(id, _) if !self.requests[id].late => {
                self.requests[id].late = true;
                self.enqueue(id);
            }
            Gated::Refused(id, retry_after) => self.refused(id, retry_after),
        }
    }

    fn refused(&mut self, id: Id, retry_after: Clock) {
        let impatient = self.pattern == Pattern::Impatient;
        let most = if impatient {
            IMPATIENT
        } else {
            self.setup.retries
        };
        let request = &mut self.requests[id];
        let left = request.until.saturating_sub(self.now);
        if request.tries > most || left.is_zero() {
            request.over = true;
            self.seen.refused += 1;
            return;
        }
        let wait = if impatient {
            STEP
        } else {
            retry_after.min(left / 3)
        };
        self.back.push(Reverse((self.now + wait, id)));
    }

    /// Sends a request to an engine, whose prompt it reads from the beginning.
    fn go(&mut self, id: Id, avoid: &[Server]) {
        let request = &self.requests[id];
        let parts = request.parts.clone();
        let tokens = request.prompt + request.events * self.setup.event as f64;
        let mut work = Work {
            requests: 1,
            tokens: tokens as u64,
            unread: request.prompt as u64,
        };
        let entry = request.entry;
        let mut avoid = avoid.to_vec();
        for _ in 0..TRIES {
            let chosen = self.entries[entry].choose(self.now, work, &parts, &avoid, &mut self.rng);
            let Some(server) = chosen else {
                break;
            };
            if self.engines[number(&server)].lost {
                let placement = &mut self.entries[entry].placement;
                placement.suspend(self.now, &server, Suspicion::Refused);
                avoid.push(server);
                continue;
            }
            let placement = &self.entries[entry].placement;
            work.unread -= placement
                .cached_tokens(self.now, &parts, &server)
                .min(work.unread);
            self.place(id, &server, work);
            return;
        }
        self.give_up(id);
    }

    fn place(&mut self, id: Id, server: &Server, work: Work) {
        let now = self.now;
        let entry = &mut self.entries[self.requests[id].entry];
        let holder = entry.backup(now, work, server, &mut self.rng);
        entry.placement.sent(now, server, work);
        let ahead = entry.placement.unread_tokens(server);
        let copied = Work {
            requests: 0,
            unread: 0,
            ..work
        };
        if let Some(holder) = &holder {
            entry.placement.sent(now, holder, copied);
        }
        let copy = holder.map(|holder| (number(&holder), work.tokens));
        if let Some((holder, tokens)) = copy {
            self.engines[holder].copies += tokens;
        }
        let request = &mut self.requests[id];
        self.engines[number(server)].add(Run {
            id,
            unread: work.unread as f64,
            events: (request.given, request.events),
            tokens: work.tokens,
        });
        request.place = Some(Place {
            server: number(server),
            work,
            sent: now,
            ahead,
            copy,
        });
    }

    fn event(&mut self, id: Id, first: bool) {
        let now = self.now;
        let request = &mut self.requests[id];
        let entry = &mut self.entries[request.entry];
        if let Some(place) = &mut request.place {
            let server = name(place.server);
            let unread = std::mem::take(&mut place.work.unread);
            if unread > 0 {
                let time = now - place.sent;
                entry
                    .placement
                    .record_read(now, &server, unread, place.ahead, time);
                entry.placement.record_cached(now, &request.parts, &server);
                entry.placement.mark_alive(now, &server);
            }
        }
        if let Some(hit) = request.hit.take() {
            self.seen.pauses.push((now - hit).as_secs_f64());
        }
        let pause = now - request.heard;
        if first && request.first.is_none() {
            request.first = Some(now);
        } else {
            request.pause = request.pause.max(pause);
        }
        request.heard = now;
        request.given += 1.0;
    }

    fn end(&mut self, id: Id) {
        let request = &self.requests[id];
        let first = request.first.unwrap_or(self.now) - request.asked;
        let good = first <= self.setup.objective && request.pause <= self.setup.gap;
        let (team, large) = (request.team, request.prompt > self.setup.size.0);
        let was_hit = request.was_hit;
        self.leave(
            id,
            Outcome::Served {
                time: self.setup.step,
            },
        );
        if good {
            self.seen.good += 1;
            self.seen.hit.1 += u32::from(was_hit);
            self.seen.teams[team].1 += 1;
            self.seen.sizes[usize::from(large)].1 += 1;
        } else {
            self.seen.late += 1;
        }
    }

    /// Takes a request out of its engine and its entry.
    fn leave(&mut self, id: Id, outcome: Outcome) {
        self.unplace(id, outcome);
        let now = self.now;
        let request = &mut self.requests[id];
        request.over = true;
        if let Some(admitted) = request.admitted.take() {
            let done = request.done(now - admitted);
            self.entries[request.entry].finish(&team(request.team), &done);
        }
    }

    fn unplace(&mut self, id: Id, outcome: Outcome) {
        let request = &mut self.requests[id];
        let Some(place) = request.place.take() else {
            return;
        };
        let entry = &mut self.entries[request.entry];
        self.engines[place.server].remove(id);
        entry.done(self.now, &name(place.server), place.work, outcome);
        if let Some((holder, tokens)) = place.copy {
            let copied = Work {
                requests: 0,
                tokens,
                unread: 0,
            };
            entry.done(self.now, &name(holder), copied, Outcome::Cancelled);
            let engine = &mut self.engines[holder];
            engine.copies = engine.copies.saturating_sub(tokens);
        }
    }

    /// Goes on elsewhere with a run whose engine was lost.
    fn resume(&mut self, engine: usize, run: Run) {
        let id = run.id;
        let server = name(engine);
        let request = &mut self.requests[id];
        if request.over {
            return;
        }
        request.hit = Some(self.now);
        self.seen.hit.0 += u32::from(!request.was_hit);
        request.was_hit = true;
        let begun = run.unread <= 0.0;
        let copy = request.place.as_ref().and_then(|place| place.copy);
        let entry = request.entry;
        let copy = copy.filter(|(holder, _)| begun && !self.engines[*holder].lost);
        self.entries[entry]
            .placement
            .suspend(self.now, &server, Suspicion::Refused);
        let request = &self.requests[id];
        let work = Work {
            requests: 1,
            tokens: run.tokens,
            unread: 0,
        };
        let read = request.prompt - run.unread.max(0.0);
        self.unplace(id, Outcome::Failed);
        match copy {
            Some((holder, _)) => self.place(id, &name(holder), work),
            None => {
                self.seen.vain += read;
                self.go(id, &[server]);
            }
        }
    }

    fn give_up(&mut self, id: Id) {
        self.leave(id, Outcome::Failed);
        self.seen.failed += 1;
    }

    fn beacons(&mut self) {
        let told: Vec<_> = self
            .entries
            .iter()
            .map(|entry| {
                let own = entry.placement.own_loads();
                own.map(|(server, work)| (server.clone(), work)).collect()
            })
            .collect();
        let hurried: Vec<u32> = self.entries.iter().map(Entry::hurried).collect();
        for (place, entry) in self.entries.iter_mut().enumerate() {
            entry.others = hurried.iter().sum::<u32>() - hurried[place];
            for (peer, loads) in told.iter().enumerate() {
                if peer != place {
                    let loads: std::collections::HashMap<_, _> = Clone::clone(loads);
                    entry.placement.set_peer_loads(peer as u64, loads);
                }
            }
        }
    }

    fn deadlines(&mut self) {
        for id in 0..self.requests.len() {
            let request = &self.requests[id];
            if request.over || request.until > self.now {
                continue;
            }
            if request.place.is_some() {
                self.seen.vain += request.prompt;
            }
            self.leave(id, Outcome::Cancelled);
            self.seen.failed += 1;
        }
    }
}

fn team(number: usize) -> String {
    format!("t{number}")
}
