//! All documents and facts of one process, and the schedule of its messages.
//!
//! In each data centre two entries, the readers, watch the store by long polling. Every entry
//! computes the readers by rendezvous hashing over the live entries that it knows. A reader sends
//! what it receives from the store to its data centre. Every entry sends a heartbeat with digests
//! to every entry of its data centre, and a reader also to a few readers of other data centres.
//! Where digests differ, the newer data is sent. Detailed facts stay inside a data centre;
//! summaries and urgent facts go to all.
//!
//! Failures that this handles:
//!
//! - *The store is unavailable.* Documents stay in force, and the readers retry with exponential,
//!   randomized backoff. Facts still spread, as none of them needs the store.
//! - *A watch never answers.* It times out and is restarted ([`crate::watch`]). The watches of the
//!   other readers are out of phase, so one of them usually reports a change earlier.
//! - *A reader dies or can't reach the store.* It becomes suspect after
//!   [`crate::membership::SUSPECT_TIMEOUT`], or announces the failure in its heartbeats, and the
//!   next entry in rendezvous order watches as well. If two processes disagree on which hosts are
//!   live, there may be more readers than needed, but never fewer.
//! - *A data centre is partitioned off.* Its readers watch the store themselves. If they can't
//!   reach the store either, its entries keep what they have. After the partition the first
//!   heartbeat between readers reveals the difference, and the watch continues from the revision
//!   where it stopped.
//! - *A message is lost, repeated or late.* Revisions and facts only grow, so repeated and late
//!   messages have no effect; the next heartbeat reveals what is missing.
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
        Outcome,
        Slot, //
    },
    watch::{
        Call,
        Watch, //
    }, //
};

/// Number of entries in a data centre that watch the store.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between heartbeats while the process is not ready, and shortest delay before a document
/// that waits for an acknowledgement is sent again.
const FAST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between transfers of evidence.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two ticks from which on this process is assumed to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(5);

/// Time for which a process that is not ready waits for answers of its neighbours.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a document from the store waits until another process holds it.
pub const SHARE_TIMEOUT: Duration = Duration::from_secs(2);

/// State that another entry of the data centre last reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    /// Digest of the revisions that it holds.
    pub(crate) documents: u64,
    /// Revisions that it reported since the digest last changed.
    pub(crate) held: BTreeMap<Environment, Revision>,
    /// Whether its calls to the store fail.
    pub(crate) store_fails: bool,
}

/// Times of the last or next occurrence of periodic work.
#[derive(Clone, Debug)]
pub(crate) struct Times {
    last_tick: Clock,
    last_event: Clock,
    next_heartbeat: Clock,
    next_evidence: Clock,
    waiting_since: Clock,
    pub(crate) last_holdings: Clock,
    pub(crate) last_urgent: Clock,
    pub(crate) last_summaries: Clock,
}

/// Documents and facts of one process.
#[derive(Debug)]
pub struct Replica {
    pub(crate) identity: Identity,
    pub(crate) rng: StdRng,
    pub(crate) slots: BTreeMap<Environment, Slot>,
    pub(crate) facts: Facts,
    pub(crate) members: Membership,
    pub(crate) gate: Gate,
    pub(crate) watch: Watch,
    pub(crate) peers: BTreeMap<Host, Peer>,
    /// Documents that wait for another process to hold them, and since when.
    unshared: BTreeMap<Environment, Clock>,
    /// Evidence that changed since it was last sent.
    pub(crate) unsent_evidence: BTreeSet<Key>,
    /// Readers that all of this process's evidence was sent to.
    pub(crate) evidence_readers: Vec<Host>,
    pub(crate) leaving: bool,
    pub(crate) wall: Duration,
    pub(crate) times: Times,
}

impl Replica {
    /// Creates a replica without documents and facts.
    pub fn new(identity: Identity, now: Clock, rng: StdRng) -> Self {
        Self {
            gate: Gate::new(identity.incarnation),
            watch: Watch::new(now),
            identity,
            rng,
            slots: BTreeMap::new(),
            facts: Facts::default(),
            members: Membership::default(),
            peers: BTreeMap::new(),
            unshared: BTreeMap::new(),
            unsent_evidence: BTreeSet::new(),
            evidence_readers: Vec::new(),
            leaving: false,
            wall: Duration::ZERO,
            times: Times {
                last_tick: now,
                last_event: now,
                next_heartbeat: now,
                next_evidence: now + EVIDENCE_INTERVAL,
                waiting_since: now,
                last_holdings: Clock::ZERO,
                last_urgent: Clock::ZERO,
                last_summaries: Clock::ZERO,
            },
        }
    }

    /// Returns the document in force in an environment.
    pub fn document(&self, environment: &str) -> Option<&Edition> {
        self.slots.get(environment)?.in_force()
    }

    /// Returns all known facts.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Returns the known hosts.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Returns whether this process may serve.
    pub fn is_ready(&self) -> bool {
        self.gate.is_open()
    }

    /// Returns the time until which this process may serve without handling another event; `None`
    /// if it may not serve.
    ///
    /// When a paused process resumes, requests that arrived in the meantime may be handled before
    /// the next event, at which the pause is noticed. The time is counted from the last event's
    /// own: a later reading of the clock may come after a pause that the event didn't see.
    pub fn serves_until(&self) -> Option<Clock> {
        let until = self.times.last_event + PAUSE_THRESHOLD;
        self.gate.is_open().then_some(until)
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Clock) -> Vec<Action> {
        let mut actions = Vec::new();
        self.times.last_event = now;
        if now.saturating_sub(self.times.last_tick) >= PAUSE_THRESHOLD {
            self.resume(now, &mut actions);
        }
        match event {
            Event::Tick { wall } => self.tick(wall, now, &mut actions),
            Event::HostList(list) => self.members.apply_list(&list, now),
            Event::Message { from, message } => self.on_message(from, message, now, &mut actions),
            Event::Read {
                call,
                documents,
                revision,
            } => {
                self.add_documents(documents, now, &mut actions);
                // A response to a call from before a pause may be older than the pause.
                if self.watch.answered(call, revision, now) {
                    self.gate.store_read();
                }
            }
            Event::Changed {
                call,
                documents,
                revision,
            } => {
                self.add_documents(documents, now, &mut actions);
                self.watch.answered(call, revision, now);
            }
            Event::Compacted { call } => self.watch.compacted(call, now),
            Event::Failed { call } => {
                // A call from before a pause may have timed out in it while the store is available.
                if self.watch.failed(call, now, &mut self.rng) {
                    self.gate.store_failed();
                }
            }
            Event::Observed {
                environment,
                edition,
            } => self.add_documents(vec![(environment, edition)], now, &mut actions),
            Event::AddFact { key, fact } => self.add_fact(&key, &fact, &mut actions, now),
            Event::Leave => {
                self.leaving = true;
                self.times.next_heartbeat = now;
            }
            Event::Survey { survey } => self.survey(survey, now, &mut actions),
        }
        self.activate_unshared(now, &mut actions);
        self.open_gate(now, &mut actions);
        actions
    }

    fn tick(&mut self, wall: Duration, now: Clock, actions: &mut Vec<Action>) {
        self.wall = wall;
        self.times.last_tick = now;
        self.members.expire(now);
        self.facts.expire(wall);
        let is_reader = self.is_reader(now);
        let stop = self.watch.set_enabled(is_reader, now);
        actions.extend(stop.map(Action::from));
        for call in self.watch.tick(now, &mut self.rng) {
            if matches!(call, Call::Stop { .. }) {
                self.gate.store_failed();
            }
            actions.push(call.into());
        }
        if now >= self.times.next_heartbeat {
            let interval = if self.gate.is_open() {
                HEARTBEAT_INTERVAL
            } else {
                FAST_HEARTBEAT_INTERVAL
            };
            self.times.next_heartbeat = now + interval.mul_f64(self.rng.random_range(0.9..1.1));
            self.send_heartbeats(now, actions);
            self.resend_unshared(now, actions);
        }
        if now >= self.times.next_evidence {
            self.times.next_evidence =
                now + EVIDENCE_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1));
            self.send_evidence(now, actions);
        }
    }

    /// Handles a pause of this process: it may have missed documents, and silence from that time
    /// says nothing about other hosts.
    fn resume(&mut self, now: Clock, actions: &mut Vec<Action>) {
        self.times.last_tick = now;
        self.members.resume(now);
        if self.gate.is_open() {
            self.gate = Gate::resumed(self.rng.random_range(1..Nonce::MAX));
            actions.push(Action::Unready);
        }
        actions.extend(self.watch.restart(now).map(Action::from));
        self.times.waiting_since = now;
        self.times.next_heartbeat = now;
    }

    /// Adds documents from the store and sends them to the neighbours.
    fn add_documents(
        &mut self,
        documents: Vec<(Environment, Edition)>,
        now: Clock,
        actions: &mut Vec<Action>,
    ) {
        for (environment, edition) in documents {
            let slot = self.slots.entry(environment.clone()).or_default();
            if slot.stage(edition) != Outcome::Pending {
                continue;
            }
            self.unshared.insert(environment.clone(), now);
            for to in self.neighbours() {
                self.push(&to, &environment, true, actions);
            }
        }
    }

    /// Brings waiting documents into force if no other process is available to hold them.
    fn activate_unshared(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.unshared.is_empty() {
            return;
        }
        let has_live_neighbour = self.has_live_neighbour(now);
        let unshared = std::mem::take(&mut self.unshared);
        for (environment, since) in unshared {
            let slot = self.slots.entry(environment.clone()).or_default();
            if !slot.is_pending() {
                continue;
            }
            if has_live_neighbour && now.saturating_sub(since) < SHARE_TIMEOUT {
                self.unshared.insert(environment, since);
                continue;
            }
            slot.activate();
            self.report_in_force(environment, actions);
        }
    }

    /// Sends waiting documents again, as the first message or its acknowledgement may be lost.
    fn resend_unshared(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let unshared: Vec<_> = self
            .unshared
            .iter()
            .map(|(e, since)| (e.clone(), *since))
            .collect();
        for (environment, since) in unshared {
            if now.saturating_sub(since) < FAST_HEARTBEAT_INTERVAL {
                continue;
            }
            for to in self.neighbours() {
                self.push(&to, &environment, true, actions);
            }
        }
    }

    pub(crate) fn report_in_force(&self, environment: Environment, actions: &mut Vec<Action>) {
        let Some(edition) = self.document(&environment) else {
            return;
        };
        actions.push(Action::InForce {
            environment,
            revision: edition.revision,
        });
    }

    fn open_gate(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.gate.is_open() {
            return;
        }
        // All held documents must be in force before the process serves.
        if self.slots.values().any(Slot::is_pending) {
            return;
        }
        let neighbours = self.neighbours().into_iter().collect();
        let timed_out = now.saturating_sub(self.times.waiting_since) >= ANSWER_TIMEOUT;
        let slots = &self.slots;
        let held = |environment: &str| slots.get(environment).map_or(0, Slot::revision);
        if self.gate.try_open(&neighbours, timed_out, held) {
            actions.push(Action::Ready);
        }
    }
}
