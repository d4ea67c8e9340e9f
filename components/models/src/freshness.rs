//! Freshness of replicated state: a process whose state was confirmed at a time has every change
//! that was acknowledged before that time.
//!
//! The store, the network, the hosts and their clocks are specified here. What a process knows,
//! what it confirms and what a beacon claims is the production code of [`spread::Freshness`] and
//! [`Beacon::claim`]. Messages and responses of the store arrive late, in any order, or never;
//! the receiver drops duplicates by their number. The clock of a host changes when the host
//! restarts.

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

/// Milliseconds in one tick of the specification's time.
const TICK_MS: u64 = 1000;

/// Lead of a host's clock over the specification's time at the start, and by how much each restart
/// reduces it, in ticks.
const INITIAL_CLOCK_TICKS: u64 = 10;
const RESTART_SETBACK_TICKS: u64 = 1;

/// Defects built into the system, each of which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The system without a defect.
    None,
    /// An echo is accepted even if an earlier process of the host sent its timestamp.
    IgnoreIncarnation,
    /// A claim is dated to the arrival of its message.
    DateClaimOnArrival,
    /// A claim about unknown changes raises the known revision.
    ClaimRaisesRevision,
    /// A response of the store is dated to its arrival.
    DateResponseOnArrival,
}

/// A message between processes, or a response of the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Packet {
    /// A beacon.
    Beacon {
        /// Index of the sending host.
        from: usize,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Index of the receiving host.
        to: usize,
        /// The sender's clock, in milliseconds.
        stamp: u64,
        /// Echo of the receiver's last timestamp: the incarnation that sent it, the timestamp, and
        /// the delay until this beacon. Times are in milliseconds.
        echo: Option<(Incarnation, u64, u64)>,
        /// Revision that the sender has, and the milliseconds since it was current.
        freshness: Option<(Revision, u64)>,
    },
    /// Changes up to a revision, for a receiver that has all earlier ones.
    Changes {
        /// Index of the receiving host.
        to: usize,
        /// The last revision.
        revision: Revision,
    },
    /// The store's response to a query of its revision.
    Answer {
        /// Incarnation that sent the query.
        incarnation: Incarnation,
        /// Index of the receiving host.
        to: usize,
        /// Time of the query by the receiver's clock.
        at: Clock,
        /// The store's revision.
        revision: Revision,
    },
}

/// A step of the system. Numbers are indices of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The time advances by one tick.
    Tick,
    /// The store acknowledges a change.
    Write,
    /// The store refuses all further calls of a host.
    TurnAway(usize),
    /// A process queries the store's revision.
    Ask(usize),
    /// A process that watches the store, or misses changes, reads them and forwards them to its
    /// peers.
    Read(usize),
    /// A process sends a beacon to another.
    Send {
        /// Index of the sending host.
        from: usize,
        /// Index of the receiving host.
        to: usize,
    },
    /// A message or response arrives.
    Deliver(Packet),
    /// A host loses power and restarts.
    Restart(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    incarnation: Incarnation,
    /// Ticks by which the host's clock is ahead of the specification's time.
    ticks_ahead: u64,
    freshness: Freshness,
    /// The host has all changes up to this revision, whatever its freshness state says.
    held_revision: Revision,
    /// The last beacon of each peer: incarnation, timestamp, and arrival time.
    peers: BTreeMap<usize, (Incarnation, u64, Clock)>,
    refused_by_store: bool,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u64,
    /// Acknowledgement time of each revision. The first revision exists from the start.
    acknowledged: Vec<u64>,
    hosts: Vec<Host>,
    network: BTreeSet<Packet>,
    budget: Budget,
}

/// Number of events of each kind that may still occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Number of ticks by which the time may advance.
    pub ticks: u64,
    /// Number of changes that the store may acknowledge.
    pub writes: u8,
    /// Hosts that the store starts to refuse.
    pub refusals: u8,
    /// Restarts of a host.
    pub restarts: u8,
    /// Number of beacons that may be sent.
    pub beacons: u8,
    /// Queries of the store's revision.
    pub queries: u8,
}

/// Returns the initial state: `hosts` hosts that have the first revision.
pub fn initial(hosts: usize, budget: Budget) -> State {
    let host = |index: usize| {
        let mut host = Host::new(index as Incarnation, INITIAL_CLOCK_TICKS);
        host.read(1);
        host.freshness.set_rank((index, hosts), index);
        host
    };
    State {
        now: 0,
        acknowledged: vec![0],
        hosts: (0..hosts).map(host).collect(),
        network: BTreeSet::new(),
        budget,
    }
}

/// Returns all enabled steps with the states that they lead to.
pub fn successors(state: &State, mutation: Mutation) -> Vec<(Action, State)> {
    let mut steps = Vec::new();
    for action in state.actions() {
        let mut successor = state.clone();
        successor.apply(&action, mutation);
        if successor != *state {
            steps.push((action, successor));
        }
    }
    steps
}

/// Returns the invariant that the state violates.
pub fn violated_invariant(state: &State) -> Option<&'static str> {
    for host in &state.hosts {
        let Some(confirmed) = host.freshness.confirmed_at() else {
            continue;
        };
        if confirmed > host.clock(state.now) {
            return Some("no confirmation is dated in the future");
        }
        let held = usize::try_from(host.held_revision).unwrap_or(usize::MAX);
        let missing = state.acknowledged.iter().skip(held);
        for acknowledged_at in missing {
            if host.clock(*acknowledged_at) < confirmed {
                return Some("a confirmed process has every change acknowledged earlier");
            }
        }
    }
    None
}

impl Host {
    fn new(incarnation: Incarnation, ticks_ahead: u64) -> Host {
        Host {
            incarnation,
            ticks_ahead,
            freshness: Freshness::default(),
            held_revision: 0,
            peers: BTreeMap::new(),
            refused_by_store: false,
        }
    }

    /// Applies all changes up to a revision.
    fn read(&mut self, revision: Revision) {
        self.held_revision = revision;
        self.freshness.advance(revision);
    }

    fn clock(&self, time: u64) -> Clock {
        Clock::from_millis((time + self.ticks_ahead) * TICK_MS)
    }

    /// Returns a beacon to a peer.
    fn beacon(&self, from: usize, to: usize, now: u64) -> Packet {
        let clock = self.clock(now);
        let echo = self
            .peers
            .get(&to)
            .map(|(incarnation, stamp, received_at)| {
                let delay = clock.saturating_sub(*received_at);
                (*incarnation, *stamp, delay.as_millis() as u64)
            });
        let freshness = self.freshness.claim().map(|claim| {
            let age = clock.saturating_sub(claim.at);
            (claim.revision, age.as_millis() as u64 + 1)
        });
        Packet::Beacon {
            from,
            incarnation: self.incarnation,
            to,
            stamp: clock.as_millis() as u64,
            echo,
            freshness,
        }
    }
}

impl State {
    fn store_revision(&self) -> Revision {
        self.acknowledged.len() as Revision
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.budget.ticks > 0 {
            actions.push(Action::Tick);
        }
        if self.budget.writes > 0 {
            actions.push(Action::Write);
        }
        for (index, host) in self.hosts.iter().enumerate() {
            if self.budget.refusals > 0 && !host.refused_by_store {
                actions.push(Action::TurnAway(index));
            }
            if self.budget.restarts > 0 {
                actions.push(Action::Restart(index));
            }
            let now = host.clock(self.now);
            if !host.refused_by_store {
                if self.budget.queries > 0 && host.freshness.next_check() <= now {
                    actions.push(Action::Ask(index));
                }
                if host.freshness.revision().is_none()
                    || host.freshness.watches_store(now)
                    || host.freshness.behind_since().is_some()
                {
                    actions.push(Action::Read(index));
                }
            }
            if self.budget.beacons > 0 {
                let others = (0..self.hosts.len()).filter(|to| *to != index);
                actions.extend(others.map(|to| Action::Send { from: index, to }));
            }
        }
        actions.extend(self.network.iter().cloned().map(Action::Deliver));
        actions
    }

    fn apply(&mut self, action: &Action, mutation: Mutation) {
        match action {
            Action::Tick => {
                self.budget.ticks -= 1;
                self.now += 1;
            }
            Action::Write => {
                self.budget.writes -= 1;
                self.acknowledged.push(self.now);
            }
            Action::TurnAway(index) => {
                self.budget.refusals -= 1;
                self.hosts[*index].refused_by_store = true;
            }
            Action::Ask(index) => {
                self.budget.queries -= 1;
                let host = &self.hosts[*index];
                self.network.insert(Packet::Answer {
                    incarnation: host.incarnation,
                    to: *index,
                    at: host.clock(self.now),
                    revision: self.store_revision(),
                });
            }
            Action::Read(index) => {
                let revision = self.store_revision();
                self.hosts[*index].read(revision);
                for to in (0..self.hosts.len()).filter(|to| to != index) {
                    self.network.insert(Packet::Changes { to, revision });
                }
            }
            Action::Send { from, to } => {
                self.budget.beacons -= 1;
                let beacon = self.hosts[*from].beacon(*from, *to, self.now);
                self.network.insert(beacon);
            }
            Action::Deliver(packet) => {
                self.network.remove(packet);
                self.deliver(packet, mutation);
            }
            Action::Restart(index) => {
                self.budget.restarts -= 1;
                let host = &self.hosts[*index];
                let incarnation = host.incarnation + self.hosts.len() as Incarnation;
                let refused_by_store = host.refused_by_store;
                let mut host = Host::new(incarnation, host.ticks_ahead - RESTART_SETBACK_TICKS);
                host.refused_by_store = refused_by_store;
                host.freshness.set_rank((*index, self.hosts.len()), *index);
                self.hosts[*index] = host;
            }
        }
    }

    fn deliver(&mut self, packet: &Packet, mutation: Mutation) {
        match packet {
            Packet::Beacon {
                from,
                incarnation,
                to,
                stamp,
                echo,
                freshness,
            } => {
                let host = &mut self.hosts[*to];
                let now = host.clock(self.now);
                let known = host.peers.get(from);
                if known.is_some_and(|(last, at, _)| last == incarnation && at >= stamp) {
                    return;
                }
                host.peers.insert(*from, (*incarnation, *stamp, now));
                let beacon = Beacon {
                    freshness: freshness.map(|(revision, age_ms)| Age { revision, age_ms }),
                    echo: echo.map(|(incarnation, timestamp, delay_ms)| Echo {
                        incarnation,
                        timestamp,
                        delay_ms,
                    }),
                    ..Beacon::default()
                };
                let receiver = match (mutation, echo) {
                    (Mutation::IgnoreIncarnation, Some((incarnation, _, _))) => *incarnation,
                    _ => host.incarnation,
                };
                let Some(mut claim) = beacon.claim(receiver) else {
                    return;
                };
                if mutation == Mutation::DateClaimOnArrival {
                    claim.at = now;
                }
                if mutation == Mutation::ClaimRaisesRevision {
                    host.freshness.advance(claim.revision);
                }
                host.freshness.receive(now, claim);
            }
            Packet::Changes { to, revision } => {
                let host = &mut self.hosts[*to];
                if host.freshness.revision() == Some(revision - 1) {
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
                let at = match mutation {
                    Mutation::DateResponseOnArrival => now,
                    _ => *at,
                };
                let revision = *revision;
                host.freshness.confirm(now, Claim { revision, at });
            }
        }
    }
}
