//! Message handling of a [`Replica`]: heartbeats, document exchange and facts.

use std::time::Duration;

use names::{
    Clock,
    Environment,
    Host,
    Nonce,
    Revision, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    delta::Delta,
    event::Action,
    fact::{
        Class,
        Fact,
        Key, //
    },
    membership::{
        Announcement,
        Role, //
    },
    message::{
        Body,
        Heartbeat,
        Holdings,
        Message,
        Push, //
    },
    replica::Replica,
    slot::{
        Edition,
        Outcome,
        Slot, //
    }, //
};

/// Shortest interval between two lists of held revisions, or of urgent facts. A missing document
/// shows in the heartbeats of all neighbours, and one neighbour is enough to send it.
const HOLDINGS_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest interval between two lists of summaries, which differ most of the time during a move.
const SUMMARIES_INTERVAL: Duration = Duration::from_secs(5);

impl Replica {
    /// Sends the heartbeats that are due.
    pub(crate) fn send_heartbeats(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let nonce = match self.gate.is_open() {
            true => 0,
            false => self.gate.nonce(),
        };
        let heartbeat = self.heartbeat(nonce);
        for to in self.neighbours() {
            self.members.record_probe(&to, now);
            actions.push(send(to, Message::Heartbeat(heartbeat.clone())));
        }
        if self.gate.is_open() && !self.is_reader(now) {
            return;
        }
        // Entries of other data centres send heartbeats to this process only in reply, so this one
        // carries a nonce.
        let heartbeat = self.heartbeat(self.gate.nonce());
        for to in self.sample_remote_readers(now) {
            self.members.record_probe(&to, now);
            actions.push(send(to, Message::Heartbeat(heartbeat.clone())));
        }
    }

    fn heartbeat(&self, nonce: Nonce) -> Heartbeat {
        Heartbeat {
            data_centre: self.identity.data_centre.clone(),
            incarnation: self.identity.incarnation,
            leaving: self.leaving,
            ready: self.gate.is_open(),
            store_fails: self.watch.is_failing(),
            documents: self.digest(),
            urgent: self.facts.digest(Class::Urgent),
            summaries: self.facts.digest(Class::Summary),
            nonce,
        }
    }

    /// Returns a digest of the revisions that this process holds.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::with_seed(0);
        for (environment, slot) in &self.slots {
            hash.update(environment.as_bytes());
            hash.update(&[0]);
            hash.update(&slot.revision().to_le_bytes());
        }
        hash.digest()
    }

    fn holdings(&self, in_reply_to: Nonce, reply: bool) -> Message {
        let held = self
            .slots
            .iter()
            .map(|(e, slot)| (e.clone(), slot.revision()));
        Message::Holdings(Holdings {
            held: held.collect(),
            ready: self.gate.is_open(),
            in_reply_to,
            reply,
        })
    }

    /// Handles a message.
    pub(crate) fn on_message(
        &mut self,
        from: Host,
        message: Message,
        now: Clock,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat, now, actions),
            Message::Holdings(holdings) => self.on_holdings(from, holdings, actions),
            Message::Push(push) => self.on_push(from, push, actions),
            Message::Ack {
                environment,
                revision,
            } => {
                let peer = self.peers.entry(from).or_default();
                peer.held.insert(environment.clone(), revision);
                self.confirm(environment, revision, actions);
            }
            Message::Pull { environment } => {
                let newest = self.slots.get(&environment).and_then(Slot::newest);
                if let Some(edition) = newest.cloned() {
                    actions.push(send(from, full_push(environment, edition)));
                }
            }
            Message::Facts(facts) => self.on_facts(&from, facts, now, actions),
            Message::Have {
                class,
                fingerprints,
            } => {
                let (lacking, wanted) = self.facts.compare(class, &fingerprints);
                if !lacking.is_empty() {
                    actions.push(send(from.clone(), Message::Facts(lacking)));
                }
                if !wanted.is_empty() {
                    actions.push(send(from, Message::Want(wanted)));
                }
            }
            Message::Want(key_hashes) => {
                let facts = self.facts.by_hashes(&key_hashes);
                if !facts.is_empty() {
                    actions.push(send(from, Message::Facts(facts)));
                }
            }
            Message::Survey { survey } => {
                let inventory = self.inventory(now);
                actions.push(send(from, Message::Inventory { survey, inventory }));
            }
            Message::Inventory { survey, inventory } => {
                actions.push(Action::Inventory { survey, inventory });
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        from: Host,
        heartbeat: Heartbeat,
        now: Clock,
        actions: &mut Vec<Action>,
    ) {
        let announcement = Announcement {
            data_centre: heartbeat.data_centre,
            role: Role::Entry,
            incarnation: heartbeat.incarnation,
            leaving: heartbeat.leaving,
        };
        self.members.record_heartbeat(&from, announcement, now);
        let peer = self.peers.entry(from.clone()).or_default();
        if peer.documents != heartbeat.documents {
            peer.held.clear();
        }
        peer.documents = heartbeat.documents;
        peer.store_fails = heartbeat.store_fails;
        if heartbeat.nonce != 0 {
            let answer = match heartbeat.ready {
                true => Message::Heartbeat(self.heartbeat(0)),
                false => self.holdings(heartbeat.nonce, true),
            };
            actions.push(send(from.clone(), answer));
        }
        if heartbeat.documents != self.digest()
            && interval_passed(&mut self.times.last_holdings, HOLDINGS_INTERVAL, now)
        {
            actions.push(send(from.clone(), self.holdings(0, true)));
        }
        if heartbeat.urgent != self.facts.digest(Class::Urgent)
            && interval_passed(&mut self.times.last_urgent, HOLDINGS_INTERVAL, now)
        {
            actions.push(send(from.clone(), self.fingerprints(Class::Urgent)));
        }
        if heartbeat.summaries != self.facts.digest(Class::Summary)
            && interval_passed(&mut self.times.last_summaries, SUMMARIES_INTERVAL, now)
        {
            actions.push(send(from, self.fingerprints(Class::Summary)));
        }
    }

    fn fingerprints(&self, class: Class) -> Message {
        let fingerprints = self.facts.fingerprints(class);
        Message::Have {
            class,
            fingerprints,
        }
    }

    fn on_holdings(&mut self, from: Host, holdings: Holdings, actions: &mut Vec<Action>) {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.held = holdings.held.iter().cloned().collect();
        self.gate.answer(
            from.clone(),
            holdings.in_reply_to,
            holdings.ready,
            holdings.held.iter().cloned(),
        );
        let mut behind = false;
        for (environment, revision) in &holdings.held {
            let held = self.slots.get(environment).map_or(0, Slot::revision);
            behind |= held < *revision;
            self.confirm(environment.clone(), *revision, actions);
        }
        let ahead: Vec<_> = self
            .slots
            .iter()
            .filter(|(environment, slot)| slot.revision() > self.revision_of(&from, environment))
            .map(|(environment, _)| environment.clone())
            .collect();
        for environment in ahead {
            self.push(&from, &environment, false, actions);
        }
        if behind && holdings.reply {
            actions.push(send(from, self.holdings(0, false)));
        }
    }

    fn revision_of(&self, host: &str, environment: &str) -> Revision {
        let held = self
            .peers
            .get(host)
            .and_then(|peer| peer.held.get(environment));
        held.copied().unwrap_or_default()
    }

    /// Sends the newest document of an environment. A process that is assumed to hold the previous
    /// document is sent the delta alone.
    pub(crate) fn push(
        &self,
        to: &Host,
        environment: &Environment,
        confirm: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.slots.get(environment) else {
            return;
        };
        let Some(newest) = slot.newest() else {
            return;
        };
        let body = match slot.previous() {
            Some(previous) if self.holds_previous(to, environment, previous.revision) => {
                Body::Delta {
                    base: previous.revision,
                    revision: newest.revision,
                    digest: newest.digest,
                    delta: Delta::between(&previous.text, &newest.text),
                }
            }
            _ => Body::Whole(newest.clone()),
        };
        let push = Push {
            environment: environment.clone(),
            body,
            confirm,
        };
        actions.push(send(to.clone(), Message::Push(push)));
    }

    /// Assumes that a process which has not reported what it holds has the same previous document
    /// as this one. That is true in most cases; otherwise the receiver requests the full text.
    fn holds_previous(&self, host: &str, environment: &str, previous: Revision) -> bool {
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        peer.held
            .get(environment)
            .is_none_or(|held| *held == previous)
    }

    fn on_push(&mut self, from: Host, push: Push, actions: &mut Vec<Action>) {
        let Push {
            environment,
            body,
            confirm,
        } = push;
        let slot = self.slots.entry(environment.clone()).or_default();
        let (held, revision) = (slot.revision(), body.revision());
        if revision < held {
            if confirm {
                actions.push(send(from, ack(environment, held)));
            }
            return;
        }
        let edition = if revision == held {
            slot.newest().cloned()
        } else {
            resolve_edition(slot, body)
        };
        let Some(edition) = edition else {
            actions.push(send(from, Message::Pull { environment }));
            return;
        };
        let outcome = slot.receive(edition);
        let peer = self.peers.entry(from.clone()).or_default();
        peer.held.insert(environment.clone(), revision);
        if confirm {
            actions.push(send(from.clone(), ack(environment.clone(), revision)));
        }
        if outcome == Outcome::InForce {
            self.report_in_force(environment.clone(), actions);
        }
        // A sender in this data centre sends the document to all its processes; documents from
        // other data centres are forwarded.
        if revision > held && !self.is_neighbour(&from) {
            for to in self.neighbours() {
                self.push(&to, &environment, false, actions);
            }
        }
    }

    fn confirm(&mut self, environment: Environment, revision: Revision, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(&environment) else {
            return;
        };
        if slot.confirm(revision) == Outcome::InForce {
            self.report_in_force(environment, actions);
        }
    }

    /// Adds a fact that this process established, and sends it on.
    pub(crate) fn add_fact(
        &mut self,
        key: &Key,
        fact: &Fact,
        actions: &mut Vec<Action>,
        now: Clock,
    ) {
        if !self.facts.join(key, fact, self.wall) {
            return;
        }
        match key.class() {
            Class::Urgent => {
                let facts = vec![(key.clone(), fact.clone())];
                let to = self
                    .neighbours()
                    .into_iter()
                    .chain(self.remote_readers(now));
                for to in to.collect::<Vec<_>>() {
                    actions.push(send(to, Message::Facts(facts.clone())));
                }
            }
            Class::Summary | Class::Detail => {
                self.unsent_evidence.insert(key.clone());
            }
        }
    }

    fn on_facts(
        &mut self,
        from: &Host,
        facts: Vec<(Key, Fact)>,
        now: Clock,
        actions: &mut Vec<Action>,
    ) {
        let remote = !self.is_neighbour(from);
        let is_reader = self.is_reader(now);
        let mut urgent = Vec::new();
        for (key, fact) in facts {
            if !self.facts.join(&key, &fact, self.wall) {
                continue;
            }
            actions.push(Action::FactReceived { key: key.clone() });
            match key.class() {
                Class::Urgent if remote => urgent.push((key, fact)),
                Class::Summary if remote && is_reader => {
                    self.unsent_evidence.insert(key);
                }
                Class::Urgent | Class::Summary | Class::Detail => {}
            }
        }
        if urgent.is_empty() {
            return;
        }
        for to in self.neighbours() {
            actions.push(send(to, Message::Facts(urgent.clone())));
        }
    }
}

/// Returns the edition that a message carries; `None` when its base is not held.
fn resolve_edition(slot: &Slot, body: Body) -> Option<Edition> {
    let (base, revision, digest, delta) = match body {
        Body::Whole(edition) => return Some(edition),
        Body::Delta {
            base,
            revision,
            digest,
            delta,
        } => (base, revision, digest, delta),
    };
    let old = slot.newest().filter(|edition| edition.revision == base)?;
    Some(Edition {
        revision,
        digest,
        text: delta.apply(&old.text)?,
    })
}

fn full_push(environment: Environment, edition: Edition) -> Message {
    Message::Push(Push {
        environment,
        body: Body::Whole(edition),
        confirm: false,
    })
}

fn ack(environment: Environment, revision: Revision) -> Message {
    Message::Ack {
        environment,
        revision,
    }
}

/// Returns whether the interval has passed since `last`, and sets `last` to now if so.
fn interval_passed(last: &mut Clock, interval: Duration, now: Clock) -> bool {
    if *last != Clock::ZERO && now.saturating_sub(*last) < interval {
        return false;
    }
    *last = now;
    true
}

pub(crate) fn send(to: Host, message: Message) -> Action {
    Action::Send { to, message }
}
