//! Fenced orders: two orderers, one sidecar that restarts, one server that checks or doesn't.
//!
//! An order is written to the store, whose revision is its number, and then sent; messages arrive
//! in any order. The server carries out what it was sent at any later time. Only a new process of
//! the server, or the settling time after its connection closed, ends an order that is with it.

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

/// Orders that are given at most.
const ORDERS: u64 = 3;

/// A way to get it wrong, which the search must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Twin {
    /// The production code as it is.
    None,
    /// A sidecar that starts takes any number for the newest.
    NoRead,
    /// A sidecar that starts doesn't wait for what its predecessor left with the server.
    NoSettle,
    /// An order that isn't answered in time counts as over.
    SlowIsOver,
    /// A timer of an earlier settling ends a later one.
    StaleCounts,
    /// The server is taken for one that checks, but ignores the number.
    IgnoresFence,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// An order is written to the store.
    Issue,
    /// The order with this number arrives at the sidecar.
    Arrive(Fence),
    /// The store answers the sidecar.
    StoreAnswers,
    /// The store is out.
    StoreOut,
    /// The server carries out an order and answers, if the connection is still there.
    Effect(Fence),
    /// An order takes long.
    Slow,
    /// The connection to the server closes.
    Close,
    /// The settling time is over.
    Settled,
    /// A timer of an earlier settling ends.
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
pub struct World {
    twin: Twin,
    settings: Settings,
    faults: u32,
    newest: Fence,
    on_the_way: Vec<Fence>,
    sequencer: Sequencer,
    reads: bool,
    settles: bool,
    timers: bool,
    pending: Vec<Pending>,
    /// Highest number that a server which checks has taken.
    taken: Fence,
    effects: Vec<Fence>,
}

/// Searches every state within a budget of faults.
pub fn check(twin: Twin, checks: bool, faults: u32) -> Outcome<Step> {
    search(World::new(twin, checks, faults), World::next, World::broken)
}

impl World {
    fn new(twin: Twin, checks: bool, faults: u32) -> Self {
        let settings = Settings {
            checks_fence: checks,
            ..Settings::default()
        };
        let mut world = Self {
            twin,
            settings,
            faults,
            newest: 0,
            on_the_way: Vec::new(),
            sequencer: Sequencer::new(settings),
            reads: false,
            settles: false,
            timers: false,
            pending: Vec::new(),
            taken: 0,
            effects: Vec::new(),
        };
        world.start();
        world
    }

    fn broken(&self) -> Option<&'static str> {
        let old = self.effects.windows(2).any(|pair| pair[1] < pair[0]);
        old.then_some("no order takes effect after a newer one")
    }

    fn next(&self) -> Vec<(Step, Self)> {
        let mut steps = Vec::new();
        if self.newest < ORDERS {
            steps.push(Step::Issue);
        }
        steps.extend(self.on_the_way.iter().copied().map(Step::Arrive));
        if self.reads {
            steps.push(Step::StoreAnswers);
        }
        let pending = self.pending.iter();
        steps.extend(pending.map(|pending| Step::Effect(pending.fence)));
        if self.settles && self.settled() {
            steps.push(Step::Settled);
        }
        if self.timers {
            steps.push(Step::StaleTimer);
        }
        if self.faults > 0 {
            steps.extend(self.faulty());
        }
        let lead = |step| (step, self.after(step));
        steps.into_iter().map(lead).collect()
    }

    fn faulty(&self) -> Vec<Step> {
        let mut steps = vec![Step::SidecarRestarts, Step::ServerRestarts];
        if self.reads {
            steps.push(Step::StoreOut);
        }
        if self.pending.iter().any(|pending| pending.connected) {
            steps.extend([Step::Slow, Step::Close]);
        }
        steps
    }

    /// The settling time ends only when nothing of a closed connection is left with the server.
    fn settled(&self) -> bool {
        self.twin == Twin::NoSettle || self.pending.iter().all(|pending| pending.connected)
    }

    fn after(&self, step: Step) -> Self {
        let mut world = self.clone();
        world.take(step);
        world
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Issue => {
                self.newest += 1;
                self.on_the_way.push(self.newest);
            }
            Step::Arrive(fence) => {
                self.on_the_way.retain(|other| *other != fence);
                self.tell(Event::Order(numbered(fence)));
            }
            Step::StoreAnswers => {
                self.reads = false;
                let newest = match self.twin {
                    Twin::NoRead => 0,
                    _ => self.newest,
                };
                self.tell(Event::NewestRead(newest));
            }
            Step::StoreOut => {
                self.faults -= 1;
                self.reads = false;
                self.tell(Event::StoreUnavailable);
            }
            Step::Effect(fence) => self.effect(fence),
            Step::Slow => self.slow(),
            Step::Close => self.close(),
            Step::Settled => {
                self.settles = false;
                self.tell_at(Event::TimerFired, self.settings.settle_time);
            }
            Step::StaleTimer => {
                let now = match self.twin {
                    Twin::StaleCounts => self.settings.settle_time,
                    _ => Clock::ZERO,
                };
                self.tell_at(Event::TimerFired, now);
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
                self.taken = 0;
                self.tell(Event::Restarted);
            }
        }
    }

    fn start(&mut self) {
        self.reads = false;
        self.settles = false;
        self.timers = false;
        self.tell(Event::Started);
    }

    fn effect(&mut self, fence: Fence) {
        let Some(at) = self.pending.iter().position(|p| p.fence == fence) else {
            return;
        };
        let pending = self.pending.remove(at);
        let checks = self.settings.checks_fence && self.twin != Twin::IgnoresFence;
        if checks && fence < self.taken {
            let highest = self.taken;
            return self.answer(&pending, Event::Refused { fence, highest });
        }
        self.taken = fence;
        self.effects.push(fence);
        self.answer(&pending, Event::Applied(fence));
    }

    fn answer(&mut self, pending: &Pending, event: Event) {
        if pending.connected {
            self.tell(event);
        }
    }

    fn slow(&mut self) {
        self.faults -= 1;
        let Some(fence) = self.first_connected() else {
            return;
        };
        match self.twin {
            Twin::SlowIsOver => self.tell(Event::Restarted),
            _ => self.tell(Event::TimedOut(fence)),
        }
    }

    fn close(&mut self) {
        self.faults -= 1;
        let Some(fence) = self.first_connected() else {
            return;
        };
        for pending in &mut self.pending {
            pending.connected &= pending.fence != fence;
        }
        self.tell(Event::Closed(fence));
    }

    fn first_connected(&self) -> Option<Fence> {
        let mut pending = self.pending.iter();
        pending.find(|p| p.connected).map(|p| p.fence)
    }

    fn tell(&mut self, event: Event) {
        self.tell_at(event, Clock::ZERO);
    }

    fn tell_at(&mut self, event: Event, now: Clock) {
        for action in self.sequencer.handle(event, now) {
            match action {
                Action::ReadStore => self.reads = true,
                Action::Wait(_) => {
                    self.timers = self.settles;
                    self.settles = true;
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

fn numbered(fence: Fence) -> Fenced {
    Fenced {
        fence,
        order: Order::Role {
            role: String::new(),
        },
    }
}
