//! Readiness of a process: it must not serve with older documents than its predecessor on the host
//! had.
//!
//! A starting process is ready once it has read the store. While the store is unavailable it
//! catches up with the highest revisions of its neighbours. It waits for all that can answer, since
//! any one of them may be the only neighbour that shared the newest document with the predecessor
//! (see [`crate::slot`]). It counts only those that are ready themselves, as two processes that
//! have just started must not confirm each other. An answer must carry this process's nonce: an
//! answer to its predecessor may be older than what the predecessor did afterwards.
//!
//! A process that was paused passes through the same gate, since the others may have moved on. It
//! still holds its documents, so it serves again even if nobody answers, or if too few of the
//! answers come from ready processes: otherwise processes that were paused together would wait for
//! each other until the store is back.

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

/// Number of ready neighbours that must answer if not all of them do.
pub const MIN_READY_ANSWERS: usize = 2;

/// Result of reading the store since the process started or resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Store {
    /// The store has not answered yet.
    Pending,
    /// The store returned all documents.
    Read,
    /// The store failed to answer.
    Unavailable,
}

/// Answer of a neighbour.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Answer {
    ready: bool,
    held: BTreeMap<Environment, Revision>,
}

/// Decides when a process is ready to serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    nonce: Nonce,
    store: Store,
    answers: BTreeMap<Host, Answer>,
    /// Whether the process has served before and still holds the documents from then.
    resumed: bool,
    open: bool,
}

impl Gate {
    /// Creates a closed gate. `nonce` must differ from that of any earlier process of this host.
    pub fn new(nonce: Nonce) -> Self {
        Self {
            nonce,
            store: Store::Pending,
            answers: BTreeMap::new(),
            resumed: false,
            open: false,
        }
    }

    /// Creates a closed gate for a process that was ready before and may have missed changes since.
    pub fn resumed(nonce: Nonce) -> Self {
        Self {
            resumed: true,
            ..Self::new(nonce)
        }
    }

    /// Returns the nonce that neighbours' answers must carry.
    pub fn nonce(&self) -> Nonce {
        self.nonce
    }

    /// Returns whether the process may serve.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Records that the store returned all documents and the process holds them.
    pub fn store_read(&mut self) {
        self.store = Store::Read;
    }

    /// Records that the store failed to answer.
    pub fn store_failed(&mut self) {
        if self.store == Store::Pending {
            self.store = Store::Unavailable;
        }
    }

    /// Records a neighbour's answer: whether it is ready, and the revisions that it holds.
    pub fn answer(
        &mut self,
        from: Host,
        nonce: Nonce,
        ready: bool,
        held: impl IntoIterator<Item = (Environment, Revision)>,
    ) {
        if self.open || nonce != self.nonce {
            return;
        }
        let held = held.into_iter().collect();
        self.answers.insert(from, Answer { ready, held });
    }

    /// Opens the gate if the process is ready to serve, and returns whether it opened now.
    ///
    /// `neighbours` are the hosts that are expected to answer. `timed_out` says that those that
    /// have not answered yet will not. `held` returns the revision that this process holds of an
    /// environment.
    pub fn try_open(
        &mut self,
        neighbours: &BTreeSet<Host>,
        timed_out: bool,
        held: impl Fn(&str) -> Revision,
    ) -> bool {
        if self.open || !self.is_satisfied(neighbours, timed_out, held) {
            return false;
        }
        self.open = true;
        self.answers.clear();
        true
    }

    fn is_satisfied(
        &self,
        neighbours: &BTreeSet<Host>,
        timed_out: bool,
        held: impl Fn(&str) -> Revision,
    ) -> bool {
        match self.store {
            Store::Read => return true,
            Store::Pending => return false,
            Store::Unavailable => {}
        }
        let all = neighbours
            .iter()
            .all(|host| self.answers.contains_key(host));
        if !all && !timed_out {
            return false;
        }
        let ready = self.answers.values().filter(|answer| answer.ready).count();
        if self.resumed && (all || ready == 0) {
            return self.holds_all(|_| true, held);
        }
        let required = MIN_READY_ANSWERS.min(neighbours.len()).max(1);
        ready >= required && self.holds_all(|answer| answer.ready, held)
    }

    /// Returns whether this process holds all that those of the answers report which `counts`
    /// selects.
    fn holds_all(&self, counts: impl Fn(&Answer) -> bool, held: impl Fn(&str) -> Revision) -> bool {
        let answers = self.answers.values().filter(|answer| counts(answer));
        answers
            .flat_map(|answer| &answer.held)
            .all(|(environment, revision)| held(environment) >= *revision)
    }
}
