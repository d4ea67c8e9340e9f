//! Replication of documents: no host serves with an older document than it has served with before.
//!
//! The store, the lifecycle of the hosts and the network are specified here. Which documents a
//! process holds and when it may serve is the production code of [`spread::Slot`] and
//! [`spread::Gate`]. Messages are never removed from the network: each may be delivered repeatedly,
//! late, in any order, or never.
//!
//! [`Assumption`] limits which processes may crash. Without a limit, all processes that know the
//! newest document could be lost.

use std::collections::BTreeSet;

use names::{
    Nonce,
    Revision, //
};
use spread::{
    Edition,
    Gate,
    Slot, //
};

/// Name of the only environment.
const ENVIRONMENT: &str = "e";

/// Number of hosts that continue to read the store once they are ready.
const STORE_READERS: usize = 2;

/// Assumption on crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Assumption {
    /// One process may crash, while all others are ready.
    Single,
    /// Any process may crash, as long as another one stays ready that holds the newest document
    /// with which any host has served. The last ready process may crash too, and all others then
    /// crash with it. Answers arrive immediately, which limits the size of the state space.
    Several,
}

/// Defects built into the system, each of which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The system without a defect.
    None,
    /// A document from the store is in force before another process holds it.
    Unshared,
    /// A new process serves as soon as one neighbour has answered.
    FirstAnswer,
    /// Answers of processes that are not ready count.
    UnreadyAnswer,
    /// An answer counts whatever nonce it carries.
    IgnoreNonce,
    /// A message replaces the held document, whatever its revision.
    Overwrite,
}

/// A message.
///
/// Documents and acknowledgements have no sender, which reduces the number of states. A host that
/// waits for a revision accepts any acknowledgement of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Packet {
    /// A document.
    Push {
        /// Index of the receiving host.
        to: usize,
        /// Revision of the document.
        revision: Revision,
    },
    /// Another host holds a document.
    Ack {
        /// Index of the receiving host.
        to: usize,
        /// Revision of the document.
        revision: Revision,
    },
    /// Answer to a new process that asks for the held revision.
    Answer {
        /// Index of the sending host.
        from: usize,
        /// Index of the receiving host.
        to: usize,
        /// Nonce of the query.
        question: Nonce,
        /// The sender is ready.
        ready: bool,
        /// Revision that the sender holds.
        revision: Revision,
    },
}

/// A step of the system. Numbers are indices of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The store accepts a document from an operator.
    Write,
    /// The store becomes unavailable.
    StoreOut,
    /// The store becomes available.
    StoreBack,
    /// A host reads the store.
    Read(usize),
    /// A host fails to read the store, which is unavailable.
    ReadFails(usize),
    /// A message arrives.
    Deliver(Packet),
    /// A host answers the query of another.
    Answer {
        /// Host that answers.
        from: usize,
        /// Host that asked.
        to: usize,
    },
    /// A host brings a document into force because no other host is up.
    Alone(usize),
    /// A host becomes ready if its gate allows it.
    Open(usize),
    /// A host's process crashes.
    Crash(usize),
    /// A host's process starts.
    Start(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    slot: Slot,
    gate: Gate,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    process: Option<Process>,
    starts: u64,
    /// Highest revision with which the host has ever served.
    highest_served: Revision,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    store_revision: Revision,
    store_unavailable: bool,
    hosts: Vec<Host>,
    network: BTreeSet<Packet>,
    writes: u8,
    outages: u8,
    crashes: u8,
    assumption: Assumption,
}

/// Returns the initial state: `hosts` hosts, all ready and holding revision 1. The other counts
/// limit the writes, store outages and crashes to come.
pub fn initial(
    hosts: usize,
    writes: u8,
    outages: u8,
    crashes: u8,
    assumption: Assumption,
) -> State {
    let mut state = State {
        store_revision: 1,
        store_unavailable: false,
        hosts: Vec::new(),
        network: BTreeSet::new(),
        writes,
        outages,
        crashes,
        assumption,
    };
    for host in 0..hosts {
        let mut process = new_process(host, 0);
        process.slot.receive(edition(1));
        process.gate.store_read();
        process.gate.try_open(&BTreeSet::new(), false, |_| 1);
        state.hosts.push(Host {
            process: Some(process),
            starts: 0,
            highest_served: 1,
        });
    }
    state
}

/// Returns all enabled steps with the states that they lead to.
pub fn successors(state: &State, mutation: Mutation) -> Vec<(Action, State)> {
    let mut steps = Vec::new();
    for action in state.actions() {
        let mut successor = state.clone();
        successor.apply(&action, mutation);
        successor.normalize();
        if successor != *state {
            steps.push((action, successor));
        }
    }
    steps
}

/// Returns the invariant that the state violates.
pub fn violated_invariant(state: &State) -> Option<&'static str> {
    let rolled_back = state.hosts.iter().any(|host| {
        let process = host.process.as_ref();
        process.is_some_and(|p| p.gate.is_open() && p.in_force() < host.highest_served)
    });
    rolled_back.then_some("no host goes back to an older document")
}

impl Process {
    fn in_force(&self) -> Revision {
        self.slot.in_force().map_or(0, |edition| edition.revision)
    }

    fn ready(&self) -> bool {
        self.gate.is_open()
    }
}

impl State {
    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.store_unavailable && self.writes > 0 {
            actions.push(Action::Write);
        }
        match self.store_unavailable {
            true => actions.push(Action::StoreBack),
            false if self.outages > 0 => actions.push(Action::StoreOut),
            false => {}
        }
        for (at, host) in self.hosts.iter().enumerate() {
            let Some(process) = &host.process else {
                actions.push(Action::Start(at));
                continue;
            };
            match self.store_unavailable {
                true => actions.push(Action::ReadFails(at)),
                // Of the ready processes, only the first `STORE_READERS` hosts read the store.
                false if at < STORE_READERS || !process.ready() => actions.push(Action::Read(at)),
                false => {}
            }
            if process.slot.is_pending() && self.others(at).is_empty() {
                actions.push(Action::Alone(at));
            }
            if !process.ready() {
                actions.push(Action::Open(at));
                let others = self.others(at).into_iter();
                actions.extend(others.map(|from| Action::Answer { from, to: at }));
            }
            if self.crashes > 0 && self.may_crash(at) {
                actions.push(Action::Crash(at));
            }
        }
        actions.extend(self.network.iter().cloned().map(Action::Deliver));
        actions
    }

    /// Returns the other hosts whose process is up.
    fn others(&self, host: usize) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|other| *other != host && self.hosts[*other].process.is_some())
            .collect()
    }

    fn may_crash(&self, host: usize) -> bool {
        let newest = self
            .hosts
            .iter()
            .map(|host| host.highest_served)
            .max()
            .unwrap_or(0);
        let others = self.others(host).into_iter();
        let ready: Vec<_> = others
            .filter_map(|other| self.hosts[other].process.as_ref())
            .filter(|process| process.ready())
            .collect();
        match self.assumption {
            Assumption::Single => ready.len() == self.hosts.len() - 1,
            Assumption::Several => {
                ready.is_empty() || ready.iter().any(|process| process.in_force() >= newest)
            }
        }
    }

    fn apply(&mut self, action: &Action, mutation: Mutation) {
        match action {
            Action::Write => {
                self.writes -= 1;
                self.store_revision += 1;
            }
            Action::StoreOut => {
                self.outages -= 1;
                self.store_unavailable = true;
            }
            Action::StoreBack => self.store_unavailable = false,
            Action::Read(at) => self.read(*at, mutation),
            Action::ReadFails(at) => {
                if let Some(process) = &mut self.hosts[*at].process {
                    process.gate.store_failed();
                }
            }
            Action::Deliver(packet) => self.deliver(packet, mutation),
            Action::Answer { from, to } => self.answer(*from, *to, mutation),
            Action::Alone(at) => {
                if let Some(process) = &mut self.hosts[*at].process {
                    process.slot.activate();
                }
            }
            Action::Open(at) => self.open(*at, mutation),
            Action::Crash(at) => {
                self.crashes -= 1;
                self.hosts[*at].process = None;
                let ready = |host: &Host| host.process.as_ref().is_some_and(Process::ready);
                if !self.hosts.iter().any(ready) {
                    for host in &mut self.hosts {
                        host.process = None;
                    }
                }
            }
            Action::Start(at) => {
                let host = &mut self.hosts[*at];
                host.starts += 1;
                host.process = Some(new_process(*at, host.starts));
            }
        }
    }

    fn read(&mut self, at: usize, mutation: Mutation) {
        let revision = self.store_revision;
        let Some(process) = &mut self.hosts[at].process else {
            return;
        };
        process.slot.stage(edition(revision));
        if mutation == Mutation::Unshared {
            process.slot.activate();
        }
        process.gate.store_read();
        if process.slot.is_pending() || mutation == Mutation::Unshared {
            for to in self.others(at) {
                self.network.insert(Packet::Push { to, revision });
            }
        }
    }

    fn deliver(&mut self, packet: &Packet, mutation: Mutation) {
        match packet {
            Packet::Push { to, revision } => {
                let Some(process) = &mut self.hosts[*to].process else {
                    return;
                };
                if mutation == Mutation::Overwrite {
                    process.slot = Slot::default();
                }
                process.slot.receive(edition(*revision));
                let revision = process.slot.revision();
                // All hosts hold revision 1 from the start.
                for other in (0..self.hosts.len()).filter(|other| other != to && revision > 1) {
                    let to = other;
                    self.network.insert(Packet::Ack { to, revision });
                }
            }
            Packet::Ack { to, revision } => {
                if let Some(process) = &mut self.hosts[*to].process {
                    process.slot.confirm(*revision);
                }
            }
            Packet::Answer {
                from,
                to,
                question,
                ready,
                revision,
            } => {
                let Some(process) = &mut self.hosts[*to].process else {
                    return;
                };
                let question = match mutation {
                    Mutation::IgnoreNonce => process.gate.nonce(),
                    _ => *question,
                };
                let ready = *ready || mutation == Mutation::UnreadyAnswer;
                let held = [(ENVIRONMENT.to_string(), *revision)];
                process.gate.answer(from.to_string(), question, ready, held);
            }
        }
    }

    /// Answers the query of a new process and sends the held document along.
    fn answer(&mut self, from: usize, to: usize, mutation: Mutation) {
        let (Some(answering), Some(asking)) = (&self.hosts[from].process, &self.hosts[to].process)
        else {
            return;
        };
        let revision = answering.slot.revision();
        let answer = Packet::Answer {
            from,
            to,
            question: asking.gate.nonce(),
            ready: answering.ready(),
            revision,
        };
        match self.assumption {
            Assumption::Single => {
                self.network.insert(answer);
            }
            Assumption::Several => self.deliver(&answer, mutation),
        }
        if revision > 0 {
            self.network.insert(Packet::Push { to, revision });
        }
    }

    fn open(&mut self, at: usize, mutation: Mutation) {
        let mut neighbours: Vec<_> = self.others(at).iter().map(ToString::to_string).collect();
        let Some(process) = &mut self.hosts[at].process else {
            return;
        };
        if process.slot.is_pending() {
            return;
        }
        let held = process.slot.revision();
        if mutation != Mutation::FirstAnswer {
            let neighbours = neighbours.into_iter().collect();
            process.gate.try_open(&neighbours, false, |_| held);
            return;
        }
        while let Some(first) = neighbours.pop() {
            process.gate.try_open(&[first].into(), false, |_| held);
        }
    }

    /// Records the revisions with which hosts serve, and removes differences between states that
    /// have no effect.
    fn normalize(&mut self) {
        for host in &mut self.hosts {
            let Some(process) = &mut host.process else {
                continue;
            };
            process.slot = without_previous(&process.slot);
            if process.ready() {
                host.highest_served = host.highest_served.max(process.in_force());
            }
        }
    }
}

fn new_process(host: usize, start_number: u64) -> Process {
    Process {
        slot: Slot::default(),
        gate: Gate::new(host as u64 * 100 + start_number + 1),
    }
}

/// Returns the slot without its earlier document, which only affects the size of messages.
fn without_previous(slot: &Slot) -> Slot {
    let mut current = Slot::default();
    if let Some(edition) = slot.in_force() {
        current.receive(edition.clone());
    }
    if let Some(edition) = slot.newest().filter(|_| slot.is_pending()) {
        current.stage(edition.clone());
    }
    current
}

fn edition(revision: Revision) -> Edition {
    Edition {
        revision,
        digest: revision,
        text: String::new(),
    }
}
