//! Simulates one answer in virtual time: generated token times and one fault drive the production
//! resume decisions.

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

/// One-way delay of a frame between an entry and a sidecar, including its processing.
const HOP_DELAY: Duration = Duration::from_millis(1);
/// Silence after which an entry closes a link with running work; the entry's default.
const LINK_SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Silence after which a sidecar abandons an engine; the sidecar's default.
const ENGINE_STALL_LIMIT: Duration = Duration::from_secs(30);
/// Time to prefill one token.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(100);
/// Median time between tokens in seconds, and its deviation. The 95th percentile is below 54 ms.
const GAP_MEDIAN_SECONDS: f64 = 0.030;
const GAP_SIGMA: f64 = 0.357;
/// Median time in seconds that a new request waits in the engine's queue before its prefill, and
/// its deviation. With the prefill, the 95th percentile of the time to the first token is below
/// about 1.9 s. A resume goes before new requests and skips the queue.
const QUEUE_MEDIAN_SECONDS: f64 = 0.35;
const QUEUE_SIGMA: f64 = 0.9;

/// A fault during an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// No fault, but the engine is slow at times: pauses and phases of slow tokens.
    Slow,
    /// No fault, but every engine of the pool is loaded: all gaps between tokens are longer.
    Loaded,
    /// The engine's process dies, and its sidecar sees the connection close.
    Death,
    /// The engine stops, but its connection stays open.
    Stop,
    /// The engine stops before its first token.
    First,
    /// The host disappears without closing its links.
    Host,
    /// The link goes silent, but a new one can be opened.
    Link,
}

/// Latency and token counts of one answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Time from the fault to the next token that is new to the caller.
    pub latency: Duration,
    /// Time from the fault to the start of the epoch, or to the reconnect, that delivers that
    /// token.
    pub decision_delay: Duration,
    /// Prefill tokens computed in epochs after the first.
    pub extra_prefill: u64,
    /// Generated tokens that were not delivered.
    pub discarded: u64,
    /// Number of resumes caused by suspicion.
    pub suspicions: u64,
    /// Tokens that the answer takes without a fault: prompt and generated text.
    pub needed: u64,
}

/// Tokens of one epoch.
struct Generation {
    base: Index,
    /// Time at which each token from `base` on is generated; the end follows the last one.
    times: Vec<Clock>,
    prefill_start: Clock,
    prefill_end: Clock,
    /// Time after which no more tokens are generated.
    stopped_at: Option<Clock>,
}

struct Simulation {
    fault: Fault,
    prompt: u64,
    length: Index,
    /// Time of the fault, plus the delay to the entry.
    fault_at: Option<Clock>,
    /// Number of tokens that the first epoch generates before the fault.
    tokens_before_fault: Index,
    random: SmallRng,
    generations: BTreeMap<Epoch, Generation>,
    queue: BinaryHeap<Reverse<(Clock, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    resume: Resume,
    outcome: Outcome,
    delivered: Index,
    resumed: bool,
    decided_at: Option<Clock>,
    reconnected_at: Option<Clock>,
}

/// Simulates one answer; the same seed gives the same answer.
pub fn simulate(settings: &Settings, fault: Fault, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let prompt = lognormal(&mut random, 1000.0, 0.8) as u64;
    let length = (lognormal(&mut random, 400.0, 0.8) as Index).clamp(20, 8000);
    let tokens_before_fault = random.random_range(0..length);
    let mut settings = settings.clone();
    settings.deadline = Duration::from_secs(7200);
    for _ in 0..200 {
        let gap = gap(&mut random);
        settings.pool.record(gap * gap_factor(fault));
    }
    let simulation = Simulation {
        fault,
        prompt,
        length,
        fault_at: None,
        tokens_before_fault,
        resume: Resume::new(settings, Duration::ZERO),
        random,
        generations: BTreeMap::new(),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        sequence: 0,
        outcome: Outcome::default(),
        delivered: 0,
        resumed: false,
        decided_at: None,
        reconnected_at: None,
    };
    simulation.drive()
}

impl Simulation {
    fn drive(mut self) -> Outcome {
        self.handle(Duration::ZERO, Event::Begin { from: 0 });
        let mut now = Duration::ZERO;
        while !self.resume.done() {
            let event = self.queue.peek().map(|Reverse((at, _))| *at);
            let wake = self.resume.next_wake();
            let tick = wake.filter(|wake| event.is_none_or(|event| *wake < event));
            if let Some(wake) = tick {
                now = now.max(wake);
                self.handle(now, Event::Tick);
                continue;
            }
            let Some(Reverse((at, number))) = self.queue.pop() else {
                break;
            };
            now = now.max(at);
            let event = self.events.remove(&number);
            if let Some(event) = event.filter(|event| self.arrives(now, event)) {
                self.handle(now, event);
            }
        }
        self.count_tokens(now)
    }

    /// Whether a frame arrives: a silent link or a lost host drops the frames of the first epoch.
    fn arrives(&self, now: Clock, event: &Event) -> bool {
        let (Event::Tokens { epoch: 1, .. } | Event::End { epoch: 1, .. }) = event else {
            return true;
        };
        match (self.fault, self.fault_at) {
            (Fault::Link, Some(at)) => {
                now < at
                    || self
                        .reconnected_at
                        .is_some_and(|reconnected_at| now > reconnected_at)
            }
            (Fault::Host, Some(at)) => now < at,
            _ => true,
        }
    }

    fn handle(&mut self, now: Clock, event: Event) {
        let mut actions = Vec::new();
        self.resume.handle(now, event, &mut actions);
        for action in actions {
            self.apply(now, action);
        }
    }

    fn apply(&mut self, now: Clock, action: Action) {
        match action {
            Action::Start {
                epoch,
                continue_from,
                cause,
                ..
            } => self.start(now, epoch, continue_from, cause),
            Action::Attach { epoch, from } => self.attach(now, epoch, from),
            Action::Cancel { epoch } => self.stop(now + HOP_DELAY, epoch),
            Action::Deliver { index, tokens } => self.deliver(now, index + tokens.len() as Index),
            Action::Keep { .. } | Action::Restart { .. } => {}
            Action::Finish(_) | Action::Interrupt { .. } => {}
        }
    }

    fn start(&mut self, now: Clock, epoch: Epoch, base: Index, cause: Cause) {
        if cause == Cause::Suspicion {
            self.outcome.suspicions += 1;
        }
        if self.fault_at.is_some_and(|at| now >= at) && !self.resumed {
            self.decided_at = Some(now);
        }
        let arrival = now + HOP_DELAY;
        let queue_time = match cause {
            Cause::First => seconds(lognormal(
                &mut self.random,
                QUEUE_MEDIAN_SECONDS,
                QUEUE_SIGMA,
            )),
            Cause::Loss | Cause::Suspicion => Duration::ZERO,
        };
        let work = PREFILL_TIME_PER_TOKEN * u32::try_from(self.prompt + base).unwrap_or(u32::MAX);
        let prefill_end = arrival + queue_time + work;
        let times = self.times(epoch, base, prefill_end);
        let server = format!("s{epoch}");
        self.schedule(now + HOP_DELAY, Event::Placed { epoch, server });
        self.schedule_tokens(epoch, base, &times);
        let generation = Generation {
            base,
            times,
            prefill_start: arrival + queue_time,
            prefill_end,
            stopped_at: None,
        };
        self.generations.insert(epoch, generation);
        if epoch == 1 {
            self.schedule_fault();
        }
    }

    fn times(&mut self, epoch: Epoch, base: Index, prefill_end: Clock) -> Vec<Clock> {
        let slow = self.fault == Fault::Slow && epoch == 1;
        let mut at = prefill_end;
        let mut phase = 0;
        let mut times = Vec::new();
        for _ in base..self.length {
            let mut gap = gap(&mut self.random) * gap_factor(self.fault);
            if slow {
                // One token in 400 comes after a pause; one in 400 starts a phase of 40 tokens
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

    fn schedule_tokens(&mut self, epoch: Epoch, base: Index, times: &[Clock]) {
        for (index, at) in (base..).zip(times) {
            let tokens = vec![String::new()];
            let event = Event::Tokens {
                epoch,
                index,
                tokens,
            };
            self.schedule(*at + HOP_DELAY, event);
        }
        let last = times.last().copied().unwrap_or_default();
        self.schedule(last + HOP_DELAY, self.end(epoch, Finish::Stop));
    }

    fn end(&self, epoch: Epoch, finish: Finish) -> Event {
        Event::End {
            epoch,
            total: self.length,
            finish,
        }
    }

    /// Schedules the fault in the first epoch.
    fn schedule_fault(&mut self) {
        if matches!(self.fault, Fault::None | Fault::Slow | Fault::Loaded) {
            return;
        }
        let generation = &self.generations[&1];
        let tokens_before_fault = match self.fault {
            Fault::First => 0,
            _ => self.tokens_before_fault as usize,
        };
        let before = match tokens_before_fault {
            0 => generation.prefill_start,
            _ => generation.times[tokens_before_fault - 1],
        };
        let share = self.random.random_range(0.05..0.95);
        let at = before + (generation.times[tokens_before_fault] - before).mul_f64(share);
        self.fault_at = Some(at + HOP_DELAY);
        match self.fault {
            Fault::None | Fault::Slow | Fault::Loaded => {}
            Fault::Death => {
                self.stop(at, 1);
                let finish = Finish::Broken(Breakage::EngineDied);
                self.schedule(at + HOP_DELAY * 2, self.end(1, finish));
            }
            Fault::Stop | Fault::First => {
                self.stop(at, 1);
                let finish = Finish::Broken(Breakage::EngineStalled);
                self.schedule(at + ENGINE_STALL_LIMIT, self.end(1, finish));
            }
            Fault::Host => {
                self.stop(at, 1);
                self.schedule(at + LINK_SILENCE_LIMIT, Event::LinkLost { epoch: 1 });
            }
            Fault::Link => self.schedule(at + LINK_SILENCE_LIMIT, Event::LinkLost { epoch: 1 }),
        }
    }

    /// Reconnects to an epoch on a new link, which first delivers the tokens generated so far.
    fn attach(&mut self, now: Clock, epoch: Epoch, from: Index) {
        if self.fault == Fault::Host {
            // A connection attempt to a lost host ends after the silence limit.
            self.schedule(now + LINK_SILENCE_LIMIT, Event::LinkLost { epoch });
            return;
        }
        if self.fault_at.is_some_and(|at| now >= at) && !self.resumed {
            self.decided_at = Some(now);
            self.reconnected_at = Some(now);
        }
        let attached_at = now + HOP_DELAY * 3;
        self.schedule(attached_at, Event::Attached { epoch });
        let generation = &self.generations[&epoch];
        let last = generation
            .stopped_at
            .map_or(attached_at, |stopped_at| stopped_at.min(attached_at));
        let generated_before = generation.times.iter().filter(|at| **at < last).count() as Index;
        let count = (generation.base + generated_before).saturating_sub(from);
        let tokens = vec![String::new(); count as usize];
        let event = Event::Tokens {
            epoch,
            index: from,
            tokens,
        };
        self.schedule(attached_at, event);
    }

    /// Ends an epoch's generation: drops its events that would arrive later.
    fn stop(&mut self, at: Clock, epoch: Epoch) {
        let Some(generation) = self.generations.get_mut(&epoch) else {
            return;
        };
        generation.stopped_at = Some(
            generation
                .stopped_at
                .map_or(at, |stopped_at| stopped_at.min(at)),
        );
        let events = self
            .queue
            .iter()
            .filter(|Reverse((due, _))| *due > at + HOP_DELAY);
        let numbers: Vec<u64> = events.map(|Reverse((_, number))| *number).collect();
        for number in numbers {
            if epoch_of(self.events.get(&number)) == Some(epoch) {
                self.events.remove(&number);
            }
        }
    }

    fn deliver(&mut self, now: Clock, next: Index) {
        if next <= self.delivered {
            return;
        }
        self.delivered = next;
        let Some(at) = self.fault_at else {
            return;
        };
        if now >= at && !self.resumed {
            self.resumed = true;
            self.outcome.latency = now - at;
            self.outcome.decision_delay = self
                .decided_at
                .map_or(Duration::ZERO, |decided_at| decided_at - at);
        }
    }

    fn schedule(&mut self, at: Clock, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Counts the extra tokens at the end of the answer.
    fn count_tokens(mut self, now: Clock) -> Outcome {
        let mut generated = 0;
        for (epoch, generation) in &self.generations {
            let stopped_at = generation.stopped_at.unwrap_or(now);
            generated += generation
                .times
                .iter()
                .filter(|at| **at <= stopped_at)
                .count() as u64;
            if *epoch == 1 {
                continue;
            }
            let tokens = self.prompt + generation.base;
            let prefill_time = generation.prefill_end - generation.prefill_start;
            let prefill_spent = stopped_at
                .saturating_sub(generation.prefill_start)
                .min(prefill_time);
            let share = prefill_spent.as_secs_f64() / prefill_time.as_secs_f64().max(1e-9);
            self.outcome.extra_prefill += (tokens as f64 * share) as u64;
        }
        self.outcome.discarded = generated.saturating_sub(self.length);
        self.outcome.needed = self.prompt + self.length;
        self.outcome
    }
}

/// Returns the epoch of a tokens or end event.
fn epoch_of(event: Option<&Event>) -> Option<Epoch> {
    match event? {
        Event::Tokens { epoch, .. } | Event::End { epoch, .. } => Some(*epoch),
        _ => None,
    }
}

fn gap(random: &mut SmallRng) -> Duration {
    seconds(lognormal(random, GAP_MEDIAN_SECONDS, GAP_SIGMA))
}

/// Returns the factor by which gaps are longer than on an engine at its usual load.
fn gap_factor(fault: Fault) -> u32 {
    match fault {
        Fault::Loaded => 6,
        _ => 1,
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

/// Draws from a lognormal distribution with this median. The normal draw is approximated by the sum
/// of twelve uniform ones.
fn lognormal(random: &mut SmallRng, median: f64, sigma: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    median * (sigma * (sum - 6.0)).exp()
}
