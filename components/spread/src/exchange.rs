//! What a board says to other processes, and what it makes of what they say.

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
        Role,
        Sign, //
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
        Slot,
        Step, //
    }, //
};

/// Shortest time between two lists of what this process holds: one missing document shows in the
/// heartbeats of all neighbours, and one of them is enough to send it.
const HOLDING: Duration = Duration::from_millis(250);

/// Shortest time between two lists of summaries, which differ most of the time during a move.
const SUMMARIES: Duration = Duration::from_secs(5);

impl Replica {
    /// Sends the heartbeat that is due.
    pub(crate) fn beat(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let question = match self.gate.is_open() {
            true => 0,
            false => self.gate.nonce(),
        };
        let beat = self.own_beat(question);
        for to in self.neighbours() {
            self.members.asked(&to, now);
            actions.push(send(to, Message::Heartbeat(beat.clone())));
        }
        if self.gate.is_open() && !self.is_reader(now) {
            return;
        }
        // Other data centres don't beat by themselves; they are asked to answer.
        let beat = self.own_beat(self.gate.nonce());
        for to in self.distant(now) {
            self.members.asked(&to, now);
            actions.push(send(to, Message::Heartbeat(beat.clone())));
        }
    }

    fn own_beat(&self, question: Nonce) -> Heartbeat {
        Heartbeat {
            data_centre: self.place.data_centre.clone(),
            incarnation: self.place.incarnation,
            leaving: self.leaving,
            ready: self.gate.is_open(),
            store_fails: self.watch.fails(),
            documents: self.digest(),
            urgent: self.facts.digest(Class::Urgent),
            summaries: self.facts.digest(Class::Summary),
            question,
        }
    }

    /// Digest of the revisions that this process holds.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::with_seed(0);
        for (environment, slot) in &self.slots {
            hash.update(environment.as_bytes());
            hash.update(&[0]);
            hash.update(&slot.revision().to_le_bytes());
        }
        hash.digest()
    }

    fn holding(&self, answers: Nonce, reply: bool) -> Message {
        let held = self
            .slots
            .iter()
            .map(|(e, slot)| (e.clone(), slot.revision()));
        Message::Holdings(Holdings {
            held: held.collect(),
            ready: self.gate.is_open(),
            answers,
            reply,
        })
    }

    /// Takes a message.
    pub(crate) fn message(
        &mut self,
        from: Host,
        message: Message,
        now: Clock,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Heartbeat(beat) => self.take_beat(from, beat, now, actions),
            Message::Holdings(holding) => self.take_holding(from, holding, actions),
            Message::Push(push) => self.take_push(from, push, actions),
            Message::Ack {
                environment,
                revision,
            } => {
                let peer = self.peers.entry(from).or_default();
                peer.held.insert(environment.clone(), revision);
                self.shared(environment, revision, actions);
            }
            Message::Ask { environment } => {
                let newest = self.slots.get(&environment).and_then(Slot::newest);
                if let Some(edition) = newest.cloned() {
                    actions.push(send(from, whole(environment, edition)));
                }
            }
            Message::Facts(facts) => self.take_facts(&from, facts, now, actions),
            Message::Have { class, marks } => {
                let (lacks, wanted) = self.facts.compare(class, &marks);
                if !lacks.is_empty() {
                    actions.push(send(from.clone(), Message::Facts(lacks)));
                }
                if !wanted.is_empty() {
                    actions.push(send(from, Message::Want(wanted)));
                }
            }
            Message::Want(names) => {
                let facts = self.facts.named(&names);
                if !facts.is_empty() {
                    actions.push(send(from, Message::Facts(facts)));
                }
            }
            Message::Survey { survey } => {
                let account = self.account(now);
                actions.push(send(from, Message::Inventory { survey, account }));
            }
            Message::Inventory { survey, account } => {
                actions.push(Action::Inventory { survey, account });
            }
        }
    }

    fn take_beat(&mut self, from: Host, beat: Heartbeat, now: Clock, actions: &mut Vec<Action>) {
        let sign = Sign {
            data_centre: beat.data_centre,
            role: Role::Entry,
            incarnation: beat.incarnation,
            leaving: beat.leaving,
        };
        self.members.heard(&from, sign, now);
        let peer = self.peers.entry(from.clone()).or_default();
        if peer.documents != beat.documents {
            peer.held.clear();
        }
        peer.documents = beat.documents;
        peer.store_fails = beat.store_fails;
        if beat.question != 0 {
            let answer = match beat.ready {
                true => Message::Heartbeat(self.own_beat(0)),
                false => self.holding(beat.question, true),
            };
            actions.push(send(from.clone(), answer));
        }
        if beat.documents != self.digest() && due(&mut self.times.holding, HOLDING, now) {
            actions.push(send(from.clone(), self.holding(0, true)));
        }
        if beat.urgent != self.facts.digest(Class::Urgent)
            && due(&mut self.times.urgent, HOLDING, now)
        {
            actions.push(send(from.clone(), self.have(Class::Urgent)));
        }
        if beat.summaries != self.facts.digest(Class::Summary)
            && due(&mut self.times.summaries, SUMMARIES, now)
        {
            actions.push(send(from, self.have(Class::Summary)));
        }
    }

    fn have(&self, class: Class) -> Message {
        let marks = self.facts.marks(class);
        Message::Have { class, marks }
    }

    fn take_holding(&mut self, from: Host, holding: Holdings, actions: &mut Vec<Action>) {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.held = holding.held.iter().cloned().collect();
        self.gate.answer(
            from.clone(),
            holding.answers,
            holding.ready,
            holding.held.iter().cloned(),
        );
        let mut behind = false;
        for (environment, revision) in &holding.held {
            let own = self.slots.get(environment).map_or(0, Slot::revision);
            behind |= own < *revision;
            self.shared(environment.clone(), *revision, actions);
        }
        let ahead: Vec<_> = self
            .slots
            .iter()
            .filter(|(environment, slot)| slot.revision() > self.peer_holds(&from, environment))
            .map(|(environment, _)| environment.clone())
            .collect();
        for environment in ahead {
            self.push(&from, &environment, false, actions);
        }
        if behind && holding.reply {
            actions.push(send(from, self.holding(0, false)));
        }
    }

    fn peer_holds(&self, host: &str, environment: &str) -> Revision {
        let held = self
            .peers
            .get(host)
            .and_then(|peer| peer.held.get(environment));
        held.copied().unwrap_or_default()
    }

    /// Sends the newest document of an environment: the change alone to a process that is known to
    /// hold what it was made from.
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

    /// A process that didn't say what it holds is taken to hold what this one did: so it is most
    /// of the time, and otherwise it asks.
    fn holds_previous(&self, host: &str, environment: &str, previous: Revision) -> bool {
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        peer.held
            .get(environment)
            .is_none_or(|held| *held == previous)
    }

    fn take_push(&mut self, from: Host, push: Push, actions: &mut Vec<Action>) {
        let Push {
            environment,
            body,
            confirm,
        } = push;
        let slot = self.slots.entry(environment.clone()).or_default();
        let (before, revision) = (slot.revision(), body.revision());
        if revision < before {
            if confirm {
                actions.push(send(from, ack(environment, before)));
            }
            return;
        }
        let edition = if revision == before {
            slot.newest().cloned()
        } else {
            open(slot, body)
        };
        let Some(edition) = edition else {
            actions.push(send(from, Message::Ask { environment }));
            return;
        };
        let step = slot.receive(edition);
        let peer = self.peers.entry(from.clone()).or_default();
        peer.held.insert(environment.clone(), revision);
        if confirm {
            actions.push(send(from.clone(), ack(environment.clone(), revision)));
        }
        if step == Step::InForce {
            self.in_force(environment.clone(), actions);
        }
        // Inside the data centre the sender sends to all; what comes from afar is passed on.
        if revision > before && !self.is_neighbour(&from) {
            for to in self.neighbours() {
                self.push(&to, &environment, false, actions);
            }
        }
    }

    fn shared(&mut self, environment: Environment, revision: Revision, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(&environment) else {
            return;
        };
        if slot.confirm(revision) == Step::InForce {
            self.in_force(environment, actions);
        }
    }

    /// Takes a fact that this process found out.
    pub(crate) fn learn(&mut self, key: &Key, fact: &Fact, actions: &mut Vec<Action>, now: Clock) {
        if !self.facts.join(key, fact, self.wall) {
            return;
        }
        match key.class() {
            Class::Urgent => {
                let facts = vec![(key.clone(), fact.clone())];
                let to = self.neighbours().into_iter().chain(self.all_readers(now));
                for to in to.collect::<Vec<_>>() {
                    actions.push(send(to, Message::Facts(facts.clone())));
                }
            }
            Class::Summary | Class::Detail => {
                self.grown.insert(key.clone());
            }
        }
    }

    fn take_facts(
        &mut self,
        from: &Host,
        facts: Vec<(Key, Fact)>,
        now: Clock,
        actions: &mut Vec<Action>,
    ) {
        let distant = !self.is_neighbour(from);
        let reads = self.is_reader(now);
        let mut urgent = Vec::new();
        for (key, fact) in facts {
            if !self.facts.join(&key, &fact, self.wall) {
                continue;
            }
            actions.push(Action::FactReceived { key: key.clone() });
            match key.class() {
                Class::Urgent if distant => urgent.push((key, fact)),
                Class::Summary if distant && reads => {
                    self.grown.insert(key);
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

/// Makes the edition that a message brings; `None` when its base isn't held.
fn open(slot: &Slot, body: Body) -> Option<Edition> {
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

fn whole(environment: Environment, edition: Edition) -> Message {
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

/// Tells whether enough time passed since the last time, and takes the new time down.
fn due(last: &mut Clock, pace: Duration, now: Clock) -> bool {
    if *last != Clock::ZERO && now.saturating_sub(*last) < pace {
        return false;
    }
    *last = now;
    true
}

pub(crate) fn send(to: Host, message: Message) -> Action {
    Action::Send { to, message }
}
