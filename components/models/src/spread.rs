//! Documents in three processes: no host serves by an older document than it served by before.
//!
//! The store, a host's life and the network are specified here; what a process holds and when it
//! may serve is the production code of [`spread::Slot`] and [`spread::Gate`]. Messages are never
//! taken out of the network: each may be delivered again, late, in any order, or never.
//!
//! The assumption on faults is one of [`Deaths`]. Without one nobody may be left who could know.

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

/// Name of the one environment.
const ENVIRONMENT: &str = "e";

/// Number of hosts that go on reading the store once they are ready.
const READERS: usize = 2;

/// Which processes may die.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Deaths {
    /// One, while all others are ready.
    Single,
    /// Any, as long as one that holds the newest document which any host served by stays ready; or
    /// all at once. Answers to questions aren't late here, to keep the search small.
    Several,
}

/// Broken variants of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twin {
    /// Nothing is broken.
    None,
    /// A document from the store is in force before another process holds it.
    Unshared,
    /// A new process serves once one neighbour has answered.
    FirstAnswer,
    /// The answers of processes that aren't ready count.
    Unready,
    /// An answer counts whichever question it was given to.
    AnyQuestion,
    /// A message replaces what is held, whatever its revision.
    Overwrite,
}

/// A message.
///
/// Documents and acknowledgements carry no sender, so that a state has fewer of them. Whoever waits
/// for a revision may take an acknowledgement as meant for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Packet {
    /// A document.
    Push {
        /// Receiver.
        to: usize,
        /// The document's revision.
        revision: Revision,
    },
    /// Another host holds a document.
    Ack {
        /// Receiver.
        to: usize,
        /// The document's revision.
        revision: Revision,
    },
    /// What a host holds, asked for by a new process.
    Answer {
        /// Sender.
        from: usize,
        /// Receiver.
        to: usize,
        /// Number of the question.
        question: Nonce,
        /// The sender may serve.
        ready: bool,
        /// Revision that it holds.
        revision: Revision,
    },
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// An operator's document is accepted.
    Write,
    /// The store goes out.
    StoreOut,
    /// It is back.
    StoreBack,
    /// A host reads the store.
    Read(usize),
    /// A host tries to read the store, which is out.
    ReadFails(usize),
    /// A message arrives.
    Deliver(Packet),
    /// A host answers the question of another.
    Answer {
        /// Who answers.
        from: usize,
        /// Who asked.
        to: usize,
    },
    /// A host brings a document into force, as no other host is up.
    Alone(usize),
    /// A host becomes ready.
    Open(usize),
    /// A host's process dies.
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
    lives: u64,
    /// Highest revision that it ever served by.
    served: Revision,
}

/// The whole state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    store: Revision,
    out: bool,
    hosts: Vec<Host>,
    network: BTreeSet<Packet>,
    writes: u8,
    outages: u8,
    crashes: u8,
    deaths: Deaths,
}

/// So many hosts, all ready and with revision 1; so many writes, outages and crashes will come.
pub fn start(hosts: usize, writes: u8, outages: u8, crashes: u8, deaths: Deaths) -> State {
    let mut state = State {
        store: 1,
        out: false,
        hosts: Vec::new(),
        network: BTreeSet::new(),
        writes,
        outages,
        crashes,
        deaths,
    };
    for host in 0..hosts {
        let mut process = process(host, 0);
        process.slot.receive(edition(1));
        process.gate.store_read();
        process.gate.try_open(&BTreeSet::new(), false, |_| 1);
        state.hosts.push(Host {
            process: Some(process),
            lives: 0,
            served: 1,
        });
    }
    state
}

/// The steps that are possible.
pub fn next(state: &State, twin: Twin) -> Vec<(Action, State)> {
    let mut steps = Vec::new();
    for action in state.actions() {
        let mut following = state.clone();
        following.apply(&action, twin);
        following.note();
        if following != *state {
            steps.push((action, following));
        }
    }
    steps
}

/// The invariant that a state breaks.
pub fn broken(state: &State) -> Option<&'static str> {
    let back = state.hosts.iter().any(|host| {
        let process = host.process.as_ref();
        process.is_some_and(|p| p.gate.is_open() && p.in_force() < host.served)
    });
    back.then_some("no host serves by an older document than before")
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
        if !self.out && self.writes > 0 {
            actions.push(Action::Write);
        }
        match self.out {
            true => actions.push(Action::StoreBack),
            false if self.outages > 0 => actions.push(Action::StoreOut),
            false => {}
        }
        for (at, host) in self.hosts.iter().enumerate() {
            let Some(process) = &host.process else {
                actions.push(Action::Start(at));
                continue;
            };
            match self.out {
                true => actions.push(Action::ReadFails(at)),
                // A ready process reads only if it is a reader.
                false if at < READERS || !process.ready() => actions.push(Action::Read(at)),
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

    /// The other hosts whose process is up.
    fn others(&self, host: usize) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|other| *other != host && self.hosts[*other].process.is_some())
            .collect()
    }

    fn may_crash(&self, host: usize) -> bool {
        let newest = self.hosts.iter().map(|host| host.served).max().unwrap_or(0);
        let others = self.others(host).into_iter();
        let ready: Vec<_> = others
            .filter_map(|other| self.hosts[other].process.as_ref())
            .filter(|process| process.ready())
            .collect();
        match self.deaths {
            Deaths::Single => ready.len() == self.hosts.len() - 1,
            Deaths::Several => {
                ready.is_empty() || ready.iter().any(|process| process.in_force() >= newest)
            }
        }
    }

    fn apply(&mut self, action: &Action, twin: Twin) {
        match action {
            Action::Write => {
                self.writes -= 1;
                self.store += 1;
            }
            Action::StoreOut => {
                self.outages -= 1;
                self.out = true;
            }
            Action::StoreBack => self.out = false,
            Action::Read(at) => self.read(*at, twin),
            Action::ReadFails(at) => {
                if let Some(process) = &mut self.hosts[*at].process {
                    process.gate.store_failed();
                }
            }
            Action::Deliver(packet) => self.deliver(packet, twin),
            Action::Answer { from, to } => self.answer(*from, *to, twin),
            Action::Alone(at) => {
                if let Some(process) = &mut self.hosts[*at].process {
                    process.slot.activate();
                }
            }
            Action::Open(at) => self.open(*at, twin),
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
                host.lives += 1;
                host.process = Some(process(*at, host.lives));
            }
        }
    }

    fn read(&mut self, at: usize, twin: Twin) {
        let revision = self.store;
        let Some(process) = &mut self.hosts[at].process else {
            return;
        };
        process.slot.stage(edition(revision));
        if twin == Twin::Unshared {
            process.slot.activate();
        }
        process.gate.store_read();
        if process.slot.is_pending() || twin == Twin::Unshared {
            for to in self.others(at) {
                self.network.insert(Packet::Push { to, revision });
            }
        }
    }

    fn deliver(&mut self, packet: &Packet, twin: Twin) {
        match packet {
            Packet::Push { to, revision } => {
                let Some(process) = &mut self.hosts[*to].process else {
                    return;
                };
                if twin == Twin::Overwrite {
                    process.slot = Slot::default();
                }
                process.slot.receive(edition(*revision));
                let revision = process.slot.revision();
                // Revision 1 is everywhere from the start.
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
                let question = match twin {
                    Twin::AnyQuestion => process.gate.nonce(),
                    _ => *question,
                };
                let ready = *ready || twin == Twin::Unready;
                let held = [(ENVIRONMENT.to_string(), *revision)];
                process.gate.answer(from.to_string(), question, ready, held);
            }
        }
    }

    /// A host answers a question, and sends what it holds along.
    fn answer(&mut self, from: usize, to: usize, twin: Twin) {
        let (Some(asked), Some(asking)) = (&self.hosts[from].process, &self.hosts[to].process)
        else {
            return;
        };
        let revision = asked.slot.revision();
        let answer = Packet::Answer {
            from,
            to,
            question: asking.gate.nonce(),
            ready: asked.ready(),
            revision,
        };
        match self.deaths {
            Deaths::Single => {
                self.network.insert(answer);
            }
            Deaths::Several => self.deliver(&answer, twin),
        }
        if revision > 0 {
            self.network.insert(Packet::Push { to, revision });
        }
    }

    fn open(&mut self, at: usize, twin: Twin) {
        let mut neighbours: Vec<_> = self.others(at).iter().map(ToString::to_string).collect();
        let Some(process) = &mut self.hosts[at].process else {
            return;
        };
        if process.slot.is_pending() {
            return;
        }
        let held = process.slot.revision();
        if twin != Twin::FirstAnswer {
            let neighbours = neighbours.into_iter().collect();
            process.gate.try_open(&neighbours, false, |_| held);
            return;
        }
        while let Some(first) = neighbours.pop() {
            process.gate.try_open(&[first].into(), false, |_| held);
        }
    }

    /// Notes what hosts serve by, and drops what makes no difference between states.
    fn note(&mut self) {
        for host in &mut self.hosts {
            let Some(process) = &mut host.process else {
                continue;
            };
            process.slot = plain(&process.slot);
            if process.ready() {
                host.served = host.served.max(process.in_force());
            }
        }
    }
}

fn process(host: usize, life: u64) -> Process {
    Process {
        slot: Slot::default(),
        gate: Gate::new(host as u64 * 100 + life + 1),
    }
}

/// The same slot without what it held before, which matters for the size of messages only.
fn plain(slot: &Slot) -> Slot {
    let mut plain = Slot::default();
    if let Some(edition) = slot.in_force() {
        plain.receive(edition.clone());
    }
    if let Some(edition) = slot.newest().filter(|_| slot.is_pending()) {
        plain.stage(edition.clone());
    }
    plain
}

fn edition(revision: Revision) -> Edition {
    Edition {
        revision,
        digest: revision,
        text: String::new(),
    }
}
