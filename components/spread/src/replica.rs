//! All documents and facts of one process, and when it says what to whom.
//!
//! Two entries a data centre, the readers, hold a waiting watch on the store; every entry computes
//! who they are by rendezvous hashing over the live entries that it knows. What a reader learns it
//! sends to its data centre. Every entry sends a heartbeat with digests to every entry of its data
//! centre, and a reader to a few readers of other data centres; where digests differ, what is newer
//! is sent. Full detail stays inside a data centre; summaries and what is urgent cross.
//!
//! What can go wrong, and what this does about it:
//!
//! - *The store is out.* Documents stay as they are; the readers keep trying with growing, scattered
//!   pauses. Facts travel all the same, for none of them needs the store.
//! - *A watch is silent for good.* It is given up after a time and begun anew ([`crate::watch`]); the
//!   other readers' watches are out of step with it, so most often one of them is earlier.
//! - *A reader dies or can't reach the store.* It is suspect after [`crate::membership::SUSPECT`],
//!   or says in its heartbeats that the store fails, and the next in rendezvous order watches too.
//!   Two processes that disagree on who is live make a watch too many, never one too few.
//! - *A data centre is cut off.* Its readers watch the store themselves. If they are cut off from
//!   the store as well, its entries keep what they have; once joined again, the first heartbeat
//!   between readers shows the difference, and the watch goes on from the revision where it stopped.
//! - *A message is lost, repeated or late.* Revisions and facts only grow, so repeats and latecomers
//!   do nothing; the next heartbeat shows what is missing.
//! - *A process is replaced during an outage, or was paused.* See [`crate::gate`] and
//!   [`crate::slot`].

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use names::{
    Clock,
    Environment,
    Host,
    Nonce,
    Revision, //
};
use rand::{
    RngExt,
    rngs::StdRng, //
};

use crate::{
    event::{
        Action,
        Event,
        Identity, //
    },
    fact::{
        Facts,
        Key, //
    },
    gate::Gate,
    membership::Membership,
    slot::{
        Edition,
        Slot,
        Step, //
    },
    watch::{
        Call,
        Watch, //
    }, //
};

/// Number of entries of a data centre that watch the store.
pub const READERS: usize = 2;

/// Pace of heartbeats.
pub const BEAT: Duration = Duration::from_secs(1);

/// Pace of heartbeats while the process isn't ready.
const EAGER: Duration = Duration::from_millis(250);

/// Pace at which evidence is sent.
const FLUSH: Duration = Duration::from_secs(2);

/// Time between two ticks that shows that this process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(5);

/// How long a process that isn't ready waits for its neighbours.
pub const GATHER: Duration = Duration::from_secs(3);

/// How long a document from the store waits for another process to hold it.
pub const SHARE: Duration = Duration::from_secs(2);

/// What another entry of the data centre said last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    /// Digest of the revisions that it holds.
    pub(crate) documents: u64,
    /// The revisions themselves, if it said so since.
    pub(crate) held: BTreeMap<Environment, Revision>,
    /// The store failed to answer it.
    pub(crate) store_fails: bool,
}

/// Times of the last or the next of something.
#[derive(Clone, Debug)]
pub(crate) struct Times {
    tick: Clock,
    beat: Clock,
    flush: Clock,
    gather: Clock,
    pub(crate) holding: Clock,
    pub(crate) urgent: Clock,
    pub(crate) summaries: Clock,
}

/// Documents and facts of one process.
#[derive(Debug)]
pub struct Replica {
    pub(crate) place: Identity,
    pub(crate) rng: StdRng,
    pub(crate) slots: BTreeMap<Environment, Slot>,
    pub(crate) facts: Facts,
    pub(crate) members: Membership,
    pub(crate) gate: Gate,
    pub(crate) watch: Watch,
    pub(crate) peers: BTreeMap<Host, Peer>,
    /// Since when documents wait for another process to hold them.
    waiting: BTreeMap<Environment, Clock>,
    /// Evidence that grew since it was last sent.
    pub(crate) grown: BTreeSet<Key>,
    /// Readers to which all of this process's evidence was sent.
    pub(crate) informed: Vec<Host>,
    pub(crate) leaving: bool,
    pub(crate) wall: Duration,
    pub(crate) times: Times,
}

impl Replica {
    /// A board that knows nothing yet.
    pub fn new(place: Identity, now: Clock, rng: StdRng) -> Self {
        Self {
            gate: Gate::new(place.incarnation),
            watch: Watch::new(now),
            place,
            rng,
            slots: BTreeMap::new(),
            facts: Facts::default(),
            members: Membership::default(),
            peers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            grown: BTreeSet::new(),
            informed: Vec::new(),
            leaving: false,
            wall: Duration::ZERO,
            times: Times {
                tick: now,
                beat: now,
                flush: now + FLUSH,
                gather: now,
                holding: Clock::ZERO,
                urgent: Clock::ZERO,
                summaries: Clock::ZERO,
            },
        }
    }

    /// The document in force in an environment.
    pub fn document(&self, environment: &str) -> Option<&Edition> {
        self.slots.get(environment)?.in_force()
    }

    /// All facts that are known.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// The hosts that are known.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Tells whether this process may serve.
    pub fn is_ready(&self) -> bool {
        self.gate.is_open()
    }

    /// Takes an event and says what is to be done.
    pub fn handle(&mut self, event: Event, now: Clock) -> Vec<Action> {
        let mut actions = Vec::new();
        if now.saturating_sub(self.times.tick) >= PAUSE_THRESHOLD {
            self.wake(now, &mut actions);
        }
        match event {
            Event::Tick { wall } => self.tick(wall, now, &mut actions),
            Event::HostList(list) => self.members.list(&list, now),
            Event::Message { from, message } => self.message(from, message, now, &mut actions),
            Event::Read {
                call,
                documents,
                revision,
            } => {
                self.store(documents, now, &mut actions);
                // An answer to a call from before a pause may be as old as that.
                if self.watch.answered(call, revision, now) {
                    self.gate.store_read();
                }
            }
            Event::Changed {
                call,
                documents,
                revision,
            } => {
                self.store(documents, now, &mut actions);
                self.watch.answered(call, revision, now);
            }
            Event::Compacted { call } => self.watch.forgotten(call, now),
            Event::Failed { call } => {
                self.watch.failed(call, now, &mut self.rng);
                self.gate.store_failed();
            }
            Event::Observed {
                environment,
                edition,
            } => self.store(vec![(environment, edition)], now, &mut actions),
            Event::AddFact { key, fact } => self.learn(&key, &fact, &mut actions, now),
            Event::Leave => {
                self.leaving = true;
                self.times.beat = now;
            }
            Event::Survey { survey } => self.survey(survey, now, &mut actions),
        }
        self.share(now, &mut actions);
        self.open(now, &mut actions);
        actions
    }

    fn tick(&mut self, wall: Duration, now: Clock, actions: &mut Vec<Action>) {
        self.wall = wall;
        self.times.tick = now;
        self.members.forget(now);
        self.facts.expire(wall);
        let reads = self.is_reader(now);
        let stop = self.watch.want(reads, now);
        actions.extend(stop.map(Action::from));
        for call in self.watch.tick(now, &mut self.rng) {
            if matches!(call, Call::Stop { .. }) {
                self.gate.store_failed();
            }
            actions.push(call.into());
        }
        if now >= self.times.beat {
            let pace = if self.gate.is_open() { BEAT } else { EAGER };
            self.times.beat = now + pace.mul_f64(self.rng.random_range(0.9..1.1));
            self.beat(now, actions);
            self.resend(now, actions);
        }
        if now >= self.times.flush {
            self.times.flush = now + FLUSH.mul_f64(self.rng.random_range(0.9..1.1));
            self.flush(now, actions);
        }
    }

    /// The process was paused: it may have missed documents, and says nothing about others.
    fn wake(&mut self, now: Clock, actions: &mut Vec<Action>) {
        self.times.tick = now;
        self.members.resume(now);
        if self.gate.is_open() {
            self.gate = Gate::resumed(self.rng.random_range(1..Nonce::MAX));
            actions.push(Action::Unready);
        }
        actions.extend(self.watch.restart(now).map(Action::from));
        self.times.gather = now;
        self.times.beat = now;
    }

    /// Takes documents from the store.
    fn store(
        &mut self,
        documents: Vec<(Environment, Edition)>,
        now: Clock,
        actions: &mut Vec<Action>,
    ) {
        for (environment, edition) in documents {
            let slot = self.slots.entry(environment.clone()).or_default();
            if slot.stage(edition) != Step::Pending {
                continue;
            }
            self.waiting.insert(environment.clone(), now);
            for to in self.neighbours() {
                self.push(&to, &environment, true, actions);
            }
        }
    }

    /// Brings documents into force for which there is nobody to share them with.
    fn share(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let company = self.has_company(now);
        let waiting = std::mem::take(&mut self.waiting);
        for (environment, since) in waiting {
            let slot = self.slots.entry(environment.clone()).or_default();
            if !slot.is_pending() {
                continue;
            }
            if company && now.saturating_sub(since) < SHARE {
                self.waiting.insert(environment, since);
                continue;
            }
            slot.activate();
            self.in_force(environment, actions);
        }
    }

    /// Sends waiting documents again; the first message or its acknowledgement may be lost.
    fn resend(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let waiting: Vec<_> = self
            .waiting
            .iter()
            .map(|(e, since)| (e.clone(), *since))
            .collect();
        for (environment, since) in waiting {
            if now.saturating_sub(since) < EAGER {
                continue;
            }
            for to in self.neighbours() {
                self.push(&to, &environment, true, actions);
            }
        }
    }

    pub(crate) fn in_force(&self, environment: Environment, actions: &mut Vec<Action>) {
        let Some(edition) = self.document(&environment) else {
            return;
        };
        actions.push(Action::InForce {
            environment,
            revision: edition.revision,
        });
    }

    fn open(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.gate.is_open() {
            return;
        }
        // A process that is about to serve must have in force what it holds.
        if self.slots.values().any(Slot::is_pending) {
            return;
        }
        let neighbours = self.neighbours().into_iter().collect();
        let waited = now.saturating_sub(self.times.gather) >= GATHER;
        let slots = &self.slots;
        let held = |environment: &str| slots.get(environment).map_or(0, Slot::revision);
        if self.gate.try_open(&neighbours, waited, held) {
            actions.push(Action::Ready);
        }
    }
}
