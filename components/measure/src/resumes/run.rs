//! One answer in virtual time: generated token times and one fault, fed to the production decisions.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    time::Duration,
};

use answer::{
    Breakage,
    Finish,
    resume::{
        Action,
        Cause,
        Event,
        Resume,
        Settings, //
    }, //
};
use names::{
    Clock,
    Epoch,
    Index, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

/// One way between an entry and a sidecar, with their work on a frame.
const HOP: Duration = Duration::from_millis(1);
/// Silence after which a link with work on it is given up: the entry's default.
const SILENCE: Duration = Duration::from_millis(1500);
/// Silence after which a sidecar gives an engine up: the sidecar's default.
const STALL: Duration = Duration::from_secs(30);
/// Prefill of one token.
const PREFILL: Duration = Duration::from_micros(100);
/// Median time between tokens; with the deviation below 54 ms at 95 in 100.
const GAP: f64 = 0.030;
const GAP_SIGMA: f64 = 0.357;
/// Median time in the engine's queue before a new request's prefill; with prefill and the deviation
/// below about 1.9 s to the first token at 95 in 100. A resume goes before new work and skips it.
const QUEUE: f64 = 0.35;
const QUEUE_SIGMA: f64 = 0.9;

/// What goes wrong during an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Nothing, but the engine is slow now and then: pauses and phases of slow tokens.
    Slow,
    /// Nothing, but every engine of the pool is loaded: all gaps are longer.
    Loaded,
    /// The engine's process dies, and its sidecar sees the connection close.
    Death,
    /// The engine stops, and its connection stays open.
    Stop,
    /// The engine stops before its first token.
    First,
    /// The host is gone, without a word.
    Host,
    /// The link goes silent; a new one works.
    Link,
}

/// What one answer took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// From the fault to the next token that is new to the caller.
    pub latency: Duration,
    /// From the fault to the start of the epoch, or to the dial, that brought it.
    pub decision: Duration,
    /// Prefill tokens computed beside the first epoch's.
    pub prefill: u64,
    /// Tokens generated that no caller got.
    pub thrown: u64,
    /// Suspicions.
    pub suspicions: u64,
    /// Tokens that an answer without a fault takes: prompt and text.
    pub needed: u64,
}

struct Generation {
    base: Index,
    /// When each token from `base` on comes out; the last one is followed by the end.
    times: Vec<Clock>,
    begun: Clock,
    prefilled: Clock,
    /// What follows this time never comes out.
    stops: Option<Clock>,
}

struct Run {
    fault: Fault,
    prompt: u64,
    length: Index,
    at: Option<Clock>,
    /// Token of the first epoch after which the fault comes.
    place: Index,
    random: SmallRng,
    generations: BTreeMap<Epoch, Generation>,
    waiting: BinaryHeap<Reverse<(Clock, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    resume: Resume,
    outcome: Outcome,
    seen: Index,
    resumed: bool,
    decided: Option<Clock>,
    dialled: Option<Clock>,
}

/// Runs one answer.
pub fn run(settings: &Settings, fault: Fault, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let prompt = lognormal(&mut random, 1000.0, 0.8) as u64;
    let length = (lognormal(&mut random, 400.0, 0.8) as Index).clamp(20, 8000);
    let place = random.random_range(0..length);
    let mut settings = settings.clone();
    settings.deadline = Duration::from_secs(7200);
    for _ in 0..200 {
        let gap = gap(&mut random);
        settings.pool.learn(gap * load(fault));
    }
    let run = Run {
        fault,
        prompt,
        length,
        at: None,
        place,
        resume: Resume::new(settings, Duration::ZERO),
        random,
        generations: BTreeMap::new(),
        waiting: BinaryHeap::new(),
        events: BTreeMap::new(),
        count: 0,
        outcome: Outcome::default(),
        seen: 0,
        resumed: false,
        decided: None,
        dialled: None,
    };
    run.drive()
}

impl Run {
    fn drive(mut self) -> Outcome {
        self.handle(Duration::ZERO, Event::Begin { from: 0 });
        let mut now = Duration::ZERO;
        while !self.resume.done() {
            let event = self.waiting.peek().map(|Reverse((at, _))| *at);
            let wake = self.resume.next_wake();
            let tick = wake.filter(|wake| event.is_none_or(|event| *wake < event));
            if let Some(wake) = tick {
                now = now.max(wake);
                self.handle(now, Event::Tick);
                continue;
            }
            let Some(Reverse((at, number))) = self.waiting.pop() else {
                break;
            };
            now = now.max(at);
            let event = self.events.remove(&number);
            if let Some(event) = event.filter(|event| self.arrives(now, event)) {
                self.handle(now, event);
            }
        }
        self.account(now)
    }

    /// A silent link, or a host that is gone, swallows what is under way.
    fn arrives(&self, now: Clock, event: &Event) -> bool {
        let (Event::Tokens { epoch: 1, .. } | Event::End { epoch: 1, .. }) = event else {
            return true;
        };
        match (self.fault, self.at) {
            (Fault::Link, Some(at)) => now < at || self.dialled.is_some_and(|dial| now > dial),
            (Fault::Host, Some(at)) => now < at,
            _ => true,
        }
    }

    fn handle(&mut self, now: Clock, event: Event) {
        let mut actions = Vec::new();
        self.resume.handle(now, event, &mut actions);
        for action in actions {
            self.act(now, action);
        }
    }

    fn act(&mut self, now: Clock, action: Action) {
        match action {
            Action::Start {
                epoch,
                continue_from,
                cause,
                ..
            } => self.start(now, epoch, continue_from, cause),
            Action::Attach { epoch, from } => self.attach(now, epoch, from),
            Action::Cancel { epoch } => self.stop(now + HOP, epoch),
            Action::Deliver { index, tokens } => self.deliver(now, index + tokens.len() as Index),
            Action::Keep { .. } | Action::Restart { .. } => {}
            Action::Finish(_) | Action::Interrupt { .. } => {}
        }
    }

    fn start(&mut self, now: Clock, epoch: Epoch, base: Index, cause: Cause) {
        if cause == Cause::Suspicion {
            self.outcome.suspicions += 1;
        }
        if self.at.is_some_and(|at| now >= at) && !self.resumed {
            self.decided = Some(now);
        }
        let begun = now + HOP;
        let queue = match cause {
            Cause::First => seconds(lognormal(&mut self.random, QUEUE, QUEUE_SIGMA)),
            Cause::Loss | Cause::Suspicion => Duration::ZERO,
        };
        let work = PREFILL * u32::try_from(self.prompt + base).unwrap_or(u32::MAX);
        let prefilled = begun + queue + work;
        let times = self.times(epoch, base, prefilled);
        let server = format!("s{epoch}");
        self.later(now + HOP, Event::Placed { epoch, server });
        self.schedule(epoch, base, &times);
        let generation = Generation {
            base,
            times,
            begun: begun + queue,
            prefilled,
            stops: None,
        };
        self.generations.insert(epoch, generation);
        if epoch == 1 {
            self.fail();
        }
    }

    fn times(&mut self, epoch: Epoch, base: Index, prefilled: Clock) -> Vec<Clock> {
        let slow = self.fault == Fault::Slow && epoch == 1;
        let mut at = prefilled;
        let mut phase = 0;
        let mut times = Vec::new();
        for _ in base..self.length {
            let mut gap = gap(&mut self.random) * load(self.fault);
            if slow {
                // One token in 400 comes after a pause; one in 400 begins a phase of 40 tokens
                // that take four times as long.
                if self.random.random_bool(0.0025) {
                    gap += seconds(self.random.random_range(0.1..1.5));
                }
                if self.random.random_bool(0.0025) {
                    phase = 40;
                }
                if phase > 0 {
                    phase -= 1;
                    gap *= 4;
                }
            }
            at += gap;
            times.push(at);
        }
        times
    }

    fn schedule(&mut self, epoch: Epoch, base: Index, times: &[Clock]) {
        for (index, at) in (base..).zip(times) {
            let tokens = vec![String::new()];
            let event = Event::Tokens {
                epoch,
                index,
                tokens,
            };
            self.later(*at + HOP, event);
        }
        let last = times.last().copied().unwrap_or_default();
        self.later(last + HOP, self.end(epoch, Finish::Stop));
    }

    fn end(&self, epoch: Epoch, finish: Finish) -> Event {
        Event::End {
            epoch,
            total: self.length,
            finish,
        }
    }

    /// Brings the fault into the first epoch.
    fn fail(&mut self) {
        if matches!(self.fault, Fault::None | Fault::Slow | Fault::Loaded) {
            return;
        }
        let generation = &self.generations[&1];
        let place = match self.fault {
            Fault::First => 0,
            _ => self.place as usize,
        };
        let before = match place {
            0 => generation.begun,
            _ => generation.times[place - 1],
        };
        let share = self.random.random_range(0.05..0.95);
        let at = before + (generation.times[place] - before).mul_f64(share);
        self.at = Some(at + HOP);
        match self.fault {
            Fault::None | Fault::Slow | Fault::Loaded => {}
            Fault::Death => {
                self.stop(at, 1);
                let finish = Finish::Broken(Breakage::EngineDied);
                self.later(at + HOP * 2, self.end(1, finish));
            }
            Fault::Stop | Fault::First => {
                self.stop(at, 1);
                let finish = Finish::Broken(Breakage::EngineStalled);
                self.later(at + STALL, self.end(1, finish));
            }
            Fault::Host => {
                self.stop(at, 1);
                self.later(at + SILENCE, Event::LinkLost { epoch: 1 });
            }
            Fault::Link => self.later(at + SILENCE, Event::LinkLost { epoch: 1 }),
        }
    }

    fn attach(&mut self, now: Clock, epoch: Epoch, from: Index) {
        if self.fault == Fault::Host {
            // A dial to nobody ends after the time of silence.
            self.later(now + SILENCE, Event::LinkLost { epoch });
            return;
        }
        if self.at.is_some_and(|at| now >= at) && !self.resumed {
            self.decided = Some(now);
            self.dialled = Some(now);
        }
        let there = now + HOP * 3;
        self.later(there, Event::Attached { epoch });
        let generation = &self.generations[&epoch];
        let last = generation.stops.map_or(there, |stops| stops.min(there));
        let out = generation.times.iter().filter(|at| **at < last).count() as Index;
        let count = (generation.base + out).saturating_sub(from);
        let tokens = vec![String::new(); count as usize];
        let event = Event::Tokens {
            epoch,
            index: from,
            tokens,
        };
        self.later(there, event);
    }

    fn stop(&mut self, at: Clock, epoch: Epoch) {
        let Some(generation) = self.generations.get_mut(&epoch) else {
            return;
        };
        generation.stops = Some(generation.stops.map_or(at, |stops| stops.min(at)));
        let events = self
            .waiting
            .iter()
            .filter(|Reverse((due, _))| *due > at + HOP);
        let numbers: Vec<u64> = events.map(|Reverse((_, number))| *number).collect();
        for number in numbers {
            if of(self.events.get(&number)) == Some(epoch) {
                self.events.remove(&number);
            }
        }
    }

    fn deliver(&mut self, now: Clock, next: Index) {
        if next <= self.seen {
            return;
        }
        self.seen = next;
        let Some(at) = self.at else {
            return;
        };
        if now >= at && !self.resumed {
            self.resumed = true;
            self.outcome.latency = now - at;
            self.outcome.decision = self.decided.map_or(Duration::ZERO, |decided| decided - at);
        }
    }

    fn later(&mut self, at: Clock, event: Event) {
        self.count += 1;
        self.waiting.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    fn account(mut self, now: Clock) -> Outcome {
        let mut made = 0;
        for (epoch, generation) in &self.generations {
            let stops = generation.stops.unwrap_or(now);
            made += generation.times.iter().filter(|at| **at <= stops).count() as u64;
            if *epoch == 1 {
                continue;
            }
            let tokens = self.prompt + generation.base;
            let whole = generation.prefilled - generation.begun;
            let spent = stops.saturating_sub(generation.begun).min(whole);
            let share = spent.as_secs_f64() / whole.as_secs_f64().max(1e-9);
            self.outcome.prefill += (tokens as f64 * share) as u64;
        }
        self.outcome.thrown = made.saturating_sub(self.length);
        self.outcome.needed = self.prompt + self.length;
        self.outcome
    }
}

fn of(event: Option<&Event>) -> Option<Epoch> {
    match event? {
        Event::Tokens { epoch, .. } | Event::End { epoch, .. } => Some(*epoch),
        _ => None,
    }
}

fn gap(random: &mut SmallRng) -> Duration {
    seconds(lognormal(random, GAP, GAP_SIGMA))
}

/// How many times longer gaps are than those of an engine at its usual load.
fn load(fault: Fault) -> u32 {
    match fault {
        Fault::Loaded => 6,
        _ => 1,
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

/// A lognormal draw by its median, from the sum of twelve uniform draws.
fn lognormal(random: &mut SmallRng, median: f64, sigma: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    median * (sigma * (sum - 6.0)).exp()
}
