//! When a process may serve: it must not know less than the process that it replaces did.
//!
//! A process that starts is ready once it has read the store. While the store is out it takes the
//! highest revisions of its neighbours. It hears from all that can answer, since the one neighbour
//! that shared the newest document with its predecessor may be any of them ([`crate::slot`]), and
//! only from those that are ready themselves: two fresh processes must not vouch for each other.
//! An answer counts only when it was given to a question of this process, for the answer to a
//! question of its predecessor may be older than what the predecessor went on to do.
//!
//! A process that was paused goes through the same gate, since the others may have moved on. It has
//! kept what it held, so it serves again when nobody answers it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use names::{
    Environment,
    Host,
    Nonce,
    Revision, //
};

/// Number of ready neighbours that must answer when not all do.
pub const SEVERAL: usize = 2;

/// What the gate knows of the store since the process started or woke up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Store {
    /// It was asked and hasn't answered yet.
    Asked,
    /// It gave all documents.
    Read,
    /// It failed to answer.
    Out,
}

/// What a neighbour answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Answer {
    ready: bool,
    held: BTreeMap<Environment, Revision>,
}

/// The rule by which a process becomes ready.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    question: Nonce,
    store: Store,
    answers: BTreeMap<Host, Answer>,
    /// The process has served before, and still holds what it held then.
    kept: bool,
    open: bool,
}

impl Gate {
    /// A closed gate; `question` must differ from that of any earlier process of this host.
    pub fn new(question: Nonce) -> Self {
        Self {
            question,
            store: Store::Asked,
            answers: BTreeMap::new(),
            kept: false,
            open: false,
        }
    }

    /// A closed gate for a process that was ready before, and may have missed something since.
    pub fn resumed(question: Nonce) -> Self {
        Self {
            kept: true,
            ..Self::new(question)
        }
    }

    /// The number that neighbours' answers must carry.
    pub fn nonce(&self) -> Nonce {
        self.question
    }

    /// Tells whether the process may serve.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// The store gave all documents, and they are held.
    pub fn store_read(&mut self) {
        self.store = Store::Read;
    }

    /// The store failed to answer.
    pub fn store_failed(&mut self) {
        if self.store == Store::Asked {
            self.store = Store::Out;
        }
    }

    /// A neighbour answered: whether it is ready itself, and what it holds.
    pub fn answer(
        &mut self,
        from: Host,
        question: Nonce,
        ready: bool,
        held: impl IntoIterator<Item = (Environment, Revision)>,
    ) {
        if self.open || question != self.question {
            return;
        }
        let held = held.into_iter().collect();
        self.answers.insert(from, Answer { ready, held });
    }

    /// Opens the gate if the rule is met, and tells whether it opened now.
    ///
    /// `neighbours` are the hosts that should answer; `waited` tells that those which didn't by
    /// now won't; `held` gives the revision that this process holds of an environment.
    pub fn try_open(
        &mut self,
        neighbours: &BTreeSet<Host>,
        waited: bool,
        held: impl Fn(&str) -> Revision,
    ) -> bool {
        if self.open || !self.met(neighbours, waited, held) {
            return false;
        }
        self.open = true;
        self.answers.clear();
        true
    }

    fn met(
        &self,
        neighbours: &BTreeSet<Host>,
        waited: bool,
        held: impl Fn(&str) -> Revision,
    ) -> bool {
        match self.store {
            Store::Read => return true,
            Store::Asked => return false,
            Store::Out => {}
        }
        let all = neighbours
            .iter()
            .all(|host| self.answers.contains_key(host));
        if !all && !waited {
            return false;
        }
        if self.kept && self.answers.is_empty() {
            return true;
        }
        let ready: Vec<_> = self
            .answers
            .values()
            .filter(|answer| answer.ready)
            .collect();
        let wanted = SEVERAL.min(neighbours.len()).max(1);
        if ready.len() < wanted {
            return false;
        }
        ready
            .iter()
            .flat_map(|answer| &answer.held)
            .all(|(environment, revision)| held(environment) >= *revision)
    }
}
