//! How current knowledge of the store is: whoever serves by it as current has every change that was
//! acknowledged before the time at which it was confirmed.
//!
//! The store, the network, the hosts and their clocks are specified here; what a process knows, what
//! it confirms and what a beacon claims is the production code of [`spread::Freshness`] and
//! [`Beacon::claim`]. Messages and answers of the store arrive late, in any order, or never; one that
//! arrives again is dropped by its number. A host that is started again has another clock.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use names::{
    Clock,
    Revision, //
};
use spread::{
    Freshness,
    beacon::{
        Age,
        Beacon,
        Echo,
        Incarnation, //
    },
    freshness::Claim, //
};

/// One unit of the specification's time, in milliseconds.
const TICK: u64 = 1000;

/// Clock of a host at the specification's beginning, and how much earlier it starts after each
/// restart, in ticks.
const CLOCK: u64 = 10;
const EARLIER: u64 = 1;

/// Broken variants of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twin {
    /// Nothing is broken.
    None,
    /// An echo counts whichever run of the host gave the stamp.
    AnyRun,
    /// A claim is taken to be as new as the message that brings it.
    AsRead,
    /// A claim of changes that aren't known raises what is known.
    Raises,
    /// An answer of the store tells of the time at which it arrives.
    AsAnswered,
}

/// A message, or an answer of the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Packet {
    /// A beacon.
    Beacon {
        /// Sender.
        from: usize,
        /// The sender's run.
        incarnation: Incarnation,
        /// Receiver.
        to: usize,
        /// The sender's clock, in milliseconds.
        stamp: u64,
        /// The receiver's last stamp: the run that gave it, the stamp, and how long it was held.
        echo: Option<(Incarnation, u64, u64)>,
        /// Revision that the sender knows, and milliseconds since it was current.
        fresh: Option<(Revision, u64)>,
    },
    /// Changes up to a revision, for who knows all up to the one before.
    Changes {
        /// Receiver.
        to: usize,
        /// The revision.
        revision: Revision,
    },
    /// The store's answer to a question for its revision.
    Answer {
        /// The run that asked.
        incarnation: Incarnation,
        /// Who asked.
        to: usize,
        /// When, by its clock.
        at: Clock,
        /// The store's revision.
        revision: Revision,
    },
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    Tick,
    /// The store acknowledges a change.
    Write,
    /// The store turns a host away from now on.
    TurnAway(usize),
    /// A process asks for the store's revision.
    Ask(usize),
    /// A process that listens, or misses changes, reads them and tells its peers.
    Read(usize),
    /// A process sends a beacon to another.
    Send {
        /// Sender.
        from: usize,
        /// Receiver.
        to: usize,
    },
    /// A message or answer arrives.
    Deliver(Packet),
    /// A host loses power and starts again.
    Restart(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    incarnation: Incarnation,
    /// Its clock is this many ticks ahead of the specification's time.
    ahead: u64,
    fresh: Freshness,
    /// It holds all changes up to this revision, whatever it believes.
    held: Revision,
    /// Of each peer: its run, its last stamp, and when that was heard.
    peers: BTreeMap<usize, (Incarnation, u64, Clock)>,
    turned_away: bool,
}

/// The whole state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u64,
    /// When each revision was acknowledged; the first stands from the beginning.
    acknowledged: Vec<u64>,
    hosts: Vec<Host>,
    network: BTreeSet<Packet>,
    left: Left,
}

/// What may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Left {
    /// Units of time.
    pub ticks: u64,
    /// Changes.
    pub writes: u8,
    /// Hosts that are turned away.
    pub refusals: u8,
    /// Restarts of a host.
    pub restarts: u8,
    /// Beacons.
    pub beacons: u8,
    /// Questions to the store.
    pub questions: u8,
}

/// So many hosts that know the first revision.
pub fn start(hosts: usize, left: Left) -> State {
    let host = |number: usize| {
        let mut host = Host::new(number as Incarnation, CLOCK);
        host.read(1);
        host.fresh.set_rank((number, hosts), number);
        host
    };
    State {
        now: 0,
        acknowledged: vec![0],
        hosts: (0..hosts).map(host).collect(),
        network: BTreeSet::new(),
        left,
    }
}

/// The steps that are possible.
pub fn next(state: &State, twin: Twin) -> Vec<(Action, State)> {
    let mut steps = Vec::new();
    for action in state.actions() {
        let mut following = state.clone();
        following.apply(&action, twin);
        if following != *state {
            steps.push((action, following));
        }
    }
    steps
}

/// The invariant that a state breaks.
pub fn broken(state: &State) -> Option<&'static str> {
    for host in &state.hosts {
        let Some(confirmed) = host.fresh.confirmed_at() else {
            continue;
        };
        if confirmed > host.clock(state.now) {
            return Some("nothing is confirmed before its time");
        }
        let held = usize::try_from(host.held).unwrap_or(usize::MAX);
        let missing = state.acknowledged.iter().skip(held);
        for at in missing {
            if host.clock(*at) < confirmed {
                return Some("what is confirmed holds every change acknowledged before");
            }
        }
    }
    None
}

impl Host {
    fn new(incarnation: Incarnation, ahead: u64) -> Host {
        Host {
            incarnation,
            ahead,
            fresh: Freshness::default(),
            held: 0,
            peers: BTreeMap::new(),
            turned_away: false,
        }
    }

    /// Takes all changes up to a revision.
    fn read(&mut self, revision: Revision) {
        self.held = revision;
        self.fresh.advance(revision);
    }

    fn clock(&self, time: u64) -> Clock {
        Clock::from_millis((time + self.ahead) * TICK)
    }

    /// A beacon to a peer.
    fn beacon(&self, from: usize, to: usize, now: u64) -> Packet {
        let clock = self.clock(now);
        let echo = self.peers.get(&to).map(|(incarnation, stamp, heard)| {
            let held = clock.saturating_sub(*heard);
            (*incarnation, *stamp, held.as_millis() as u64)
        });
        let fresh = self.fresh.claim().map(|claim| {
            let age = clock.saturating_sub(claim.at);
            (claim.revision, age.as_millis() as u64 + 1)
        });
        Packet::Beacon {
            from,
            incarnation: self.incarnation,
            to,
            stamp: clock.as_millis() as u64,
            echo,
            fresh,
        }
    }
}

impl State {
    fn store(&self) -> Revision {
        self.acknowledged.len() as Revision
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.left.ticks > 0 {
            actions.push(Action::Tick);
        }
        if self.left.writes > 0 {
            actions.push(Action::Write);
        }
        for (at, host) in self.hosts.iter().enumerate() {
            if self.left.refusals > 0 && !host.turned_away {
                actions.push(Action::TurnAway(at));
            }
            if self.left.restarts > 0 {
                actions.push(Action::Restart(at));
            }
            let now = host.clock(self.now);
            if !host.turned_away {
                if self.left.questions > 0 && host.fresh.next_check() <= now {
                    actions.push(Action::Ask(at));
                }
                if host.fresh.revision().is_none()
                    || host.fresh.watches_store(now)
                    || host.fresh.behind_since().is_some()
                {
                    actions.push(Action::Read(at));
                }
            }
            if self.left.beacons > 0 {
                let others = (0..self.hosts.len()).filter(|to| *to != at);
                actions.extend(others.map(|to| Action::Send { from: at, to }));
            }
        }
        actions.extend(self.network.iter().cloned().map(Action::Deliver));
        actions
    }

    fn apply(&mut self, action: &Action, twin: Twin) {
        match action {
            Action::Tick => {
                self.left.ticks -= 1;
                self.now += 1;
            }
            Action::Write => {
                self.left.writes -= 1;
                self.acknowledged.push(self.now);
            }
            Action::TurnAway(at) => {
                self.left.refusals -= 1;
                self.hosts[*at].turned_away = true;
            }
            Action::Ask(at) => {
                self.left.questions -= 1;
                let host = &self.hosts[*at];
                self.network.insert(Packet::Answer {
                    incarnation: host.incarnation,
                    to: *at,
                    at: host.clock(self.now),
                    revision: self.store(),
                });
            }
            Action::Read(at) => {
                let revision = self.store();
                self.hosts[*at].read(revision);
                for to in (0..self.hosts.len()).filter(|to| to != at) {
                    self.network.insert(Packet::Changes { to, revision });
                }
            }
            Action::Send { from, to } => {
                self.left.beacons -= 1;
                let beacon = self.hosts[*from].beacon(*from, *to, self.now);
                self.network.insert(beacon);
            }
            Action::Deliver(packet) => {
                self.network.remove(packet);
                self.deliver(packet, twin);
            }
            Action::Restart(at) => {
                self.left.restarts -= 1;
                let host = &self.hosts[*at];
                let incarnation = host.incarnation + self.hosts.len() as Incarnation;
                let turned_away = host.turned_away;
                let mut host = Host::new(incarnation, host.ahead - EARLIER);
                host.turned_away = turned_away;
                host.fresh.set_rank((*at, self.hosts.len()), *at);
                self.hosts[*at] = host;
            }
        }
    }

    fn deliver(&mut self, packet: &Packet, twin: Twin) {
        match packet {
            Packet::Beacon {
                from,
                incarnation,
                to,
                stamp,
                echo,
                fresh,
            } => {
                let host = &mut self.hosts[*to];
                let now = host.clock(self.now);
                let known = host.peers.get(from);
                if known.is_some_and(|(run, at, _)| run == incarnation && at >= stamp) {
                    return;
                }
                host.peers.insert(*from, (*incarnation, *stamp, now));
                let beacon = Beacon {
                    freshness: fresh.map(|(revision, age_ms)| Age { revision, age_ms }),
                    echo: echo.map(|(incarnation, timestamp, delay_ms)| Echo {
                        incarnation,
                        timestamp,
                        delay_ms,
                    }),
                    ..Beacon::default()
                };
                let receiver = match (twin, echo) {
                    (Twin::AnyRun, Some((incarnation, _, _))) => *incarnation,
                    _ => host.incarnation,
                };
                let Some(mut claim) = beacon.claim(receiver) else {
                    return;
                };
                if twin == Twin::AsRead {
                    claim.at = now;
                }
                if twin == Twin::Raises {
                    host.fresh.advance(claim.revision);
                }
                host.fresh.receive(now, claim);
            }
            Packet::Changes { to, revision } => {
                let host = &mut self.hosts[*to];
                if host.fresh.revision() == Some(revision - 1) {
                    host.read(*revision);
                }
            }
            Packet::Answer {
                incarnation,
                to,
                at,
                revision,
            } => {
                let host = &mut self.hosts[*to];
                if host.incarnation != *incarnation {
                    return;
                }
                let now = host.clock(self.now);
                let at = match twin {
                    Twin::AsAnswered => now,
                    _ => *at,
                };
                let revision = *revision;
                host.fresh.confirm(now, Claim { revision, at });
            }
        }
    }
}
