//! Fenced orders: concurrent issuers, a sidecar that restarts, and a server that checks fencing
//! tokens or does not.
//!
//! An order is first written to the store, where the revision of the write becomes its fencing
//! token, and then sent. Messages arrive in any order. The server executes an order at any time
//! after it receives it. An order that the server has received can no longer take effect once the
//! server's process is replaced, or once the settling time has passed after its connection closed.

use names::{
    Clock,
    Fence, //
};
use orders::{
    Order,
    order::Fenced,
    sequencer::{
        Action,
        Event,
        Sequencer,
        Settings, //
    },
};

use crate::search::{
    Outcome,
    search, //
};

/// Maximum number of orders that are issued.
const MAX_ORDERS: u64 = 3;

/// Defects built into the system, each of which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The system without a defect.
    None,
    /// A sidecar that starts accepts any token as the newest.
    NoRead,
    /// A sidecar that starts does not wait for the orders that its predecessor left in progress at
    /// the server.
    NoSettle,
    /// An order that times out counts as finished.
    SlowIsOver,
    /// A timer of an earlier settling period ends a later one.
    StaleCounts,
    /// The server is configured as one that checks tokens, but ignores them.
    IgnoresFence,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// An order is written to the store.
    Issue,
    /// The order with this token arrives at the sidecar.
    Arrive(Fence),
    /// The store responds to the sidecar.
    StoreAnswers,
    /// The store is unavailable to the sidecar.
    StoreOut,
    /// The server executes an order, and responds if the connection is still open.
    Effect(Fence),
    /// An order times out.
    Slow,
    /// The connection to the server closes.
    Close,
    /// The settling period ends.
    Settled,
    /// A timer of an earlier settling period fires.
    StaleTimer,
    /// The sidecar's process is replaced.
    SidecarRestarts,
    /// The server's process is replaced.
    ServerRestarts,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    fence: Fence,
    connected: bool,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    mutation: Mutation,
    settings: Settings,
    faults: u32,
    newest: Fence,
    in_transit: Vec<Fence>,
    sequencer: Sequencer,
    reading_store: bool,
    settling: bool,
    stale_timer: bool,
    pending: Vec<Pending>,
    /// Highest token that the server has accepted.
    highest_accepted: Fence,
    effects: Vec<Fence>,
}

/// Searches all states with at most `faults` faults.
pub fn check(mutation: Mutation, checks: bool, faults: u32) -> Outcome<Step> {
    search(
        State::new(mutation, checks, faults),
        State::successors,
        State::violated_invariant,
    )
}

impl State {
    fn new(mutation: Mutation, checks: bool, faults: u32) -> Self {
        let settings = Settings {
            checks_fence: checks,
            ..Settings::default()
        };
        let mut state = Self {
            mutation,
            settings,
            faults,
            newest: 0,
            in_transit: Vec::new(),
            sequencer: Sequencer::new(settings),
            reading_store: false,
            settling: false,
            stale_timer: false,
            pending: Vec::new(),
            highest_accepted: 0,
            effects: Vec::new(),
        };
        state.start();
        state
    }

    fn violated_invariant(&self) -> Option<&'static str> {
        let reordered = self.effects.windows(2).any(|pair| pair[1] < pair[0]);
        reordered.then_some("no order takes effect after a newer one")
    }

    fn successors(&self) -> Vec<(Step, Self)> {
        let mut steps = Vec::new();
        if self.newest < MAX_ORDERS {
            steps.push(Step::Issue);
        }
        steps.extend(self.in_transit.iter().copied().map(Step::Arrive));
        if self.reading_store {
            steps.push(Step::StoreAnswers);
        }
        let pending = self.pending.iter();
        steps.extend(pending.map(|pending| Step::Effect(pending.fence)));
        if self.settling && self.may_settle() {
            steps.push(Step::Settled);
        }
        if self.stale_timer {
            steps.push(Step::StaleTimer);
        }
        if self.faults > 0 {
            steps.extend(self.fault_steps());
        }
        let with_successor = |step| (step, self.successor(step));
        steps.into_iter().map(with_successor).collect()
    }

    fn fault_steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::SidecarRestarts, Step::ServerRestarts];
        if self.reading_store {
            steps.push(Step::StoreOut);
        }
        if self.pending.iter().any(|pending| pending.connected) {
            steps.extend([Step::Slow, Step::Close]);
        }
        steps
    }

    /// The settling period ends only when the server has no order left from a closed connection.
    fn may_settle(&self) -> bool {
        self.mutation == Mutation::NoSettle || self.pending.iter().all(|pending| pending.connected)
    }

    fn successor(&self, step: Step) -> Self {
        let mut state = self.clone();
        state.apply(step);
        state
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Issue => {
                self.newest += 1;
                self.in_transit.push(self.newest);
            }
            Step::Arrive(fence) => {
                self.in_transit.retain(|other| *other != fence);
                self.handle(Event::Order(fenced_order(fence)));
            }
            Step::StoreAnswers => {
                self.reading_store = false;
                let newest = match self.mutation {
                    Mutation::NoRead => 0,
                    _ => self.newest,
                };
                self.handle(Event::NewestRead(newest));
            }
            Step::StoreOut => {
                self.faults -= 1;
                self.reading_store = false;
                self.handle(Event::StoreUnavailable);
            }
            Step::Effect(fence) => self.execute(fence),
            Step::Slow => self.time_out(),
            Step::Close => self.close_connection(),
            Step::Settled => {
                self.settling = false;
                self.handle_at(Event::TimerFired, self.settings.settle_time);
            }
            Step::StaleTimer => {
                let now = match self.mutation {
                    Mutation::StaleCounts => self.settings.settle_time,
                    _ => Clock::ZERO,
                };
                self.handle_at(Event::TimerFired, now);
            }
            Step::SidecarRestarts => {
                self.faults -= 1;
                for pending in &mut self.pending {
                    pending.connected = false;
                }
                self.sequencer = Sequencer::new(self.settings);
                self.start();
            }
            Step::ServerRestarts => {
                self.faults -= 1;
                self.pending.clear();
                self.highest_accepted = 0;
                self.handle(Event::Restarted);
            }
        }
    }

    fn start(&mut self) {
        self.reading_store = false;
        self.settling = false;
        self.stale_timer = false;
        self.handle(Event::Started);
    }

    fn execute(&mut self, fence: Fence) {
        let Some(index) = self.pending.iter().position(|p| p.fence == fence) else {
            return;
        };
        let pending = self.pending.remove(index);
        let checks = self.settings.checks_fence && self.mutation != Mutation::IgnoresFence;
        if checks && fence < self.highest_accepted {
            let highest = self.highest_accepted;
            return self.respond(&pending, Event::Refused { fence, highest });
        }
        self.highest_accepted = fence;
        self.effects.push(fence);
        self.respond(&pending, Event::Applied(fence));
    }

    fn respond(&mut self, pending: &Pending, event: Event) {
        if pending.connected {
            self.handle(event);
        }
    }

    fn time_out(&mut self) {
        self.faults -= 1;
        let Some(fence) = self.first_connected() else {
            return;
        };
        match self.mutation {
            Mutation::SlowIsOver => self.handle(Event::Restarted),
            _ => self.handle(Event::TimedOut(fence)),
        }
    }

    fn close_connection(&mut self) {
        self.faults -= 1;
        let Some(fence) = self.first_connected() else {
            return;
        };
        for pending in &mut self.pending {
            pending.connected &= pending.fence != fence;
        }
        self.handle(Event::Closed(fence));
    }

    fn first_connected(&self) -> Option<Fence> {
        let mut pending = self.pending.iter();
        pending.find(|p| p.connected).map(|p| p.fence)
    }

    fn handle(&mut self, event: Event) {
        self.handle_at(event, Clock::ZERO);
    }

    fn handle_at(&mut self, event: Event, now: Clock) {
        for action in self.sequencer.handle(event, now) {
            match action {
                Action::ReadStore => self.reading_store = true,
                Action::Wait(_) => {
                    self.stale_timer = self.settling;
                    self.settling = true;
                }
                Action::Answer { .. } => {}
                Action::Send(order) => self.pending.push(Pending {
                    fence: order.fence,
                    connected: true,
                }),
            }
        }
    }
}

fn fenced_order(fence: Fence) -> Fenced {
    Fenced {
        fence,
        order: Order::Role {
            role: String::new(),
        },
    }
}
