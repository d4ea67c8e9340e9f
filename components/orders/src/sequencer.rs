//! The sidecar's sequencer of orders: the only way to its backend server.
//!
//! A server that checks fencing tokens protects itself. For one that doesn't, the sequencer lets one
//! order at a time through and holds the next one back until the last can't take effect any more.
//! A sequencer that has just started knows neither the newest number nor what its predecessor left
//! with the server; it learns the first from the store and waits out the second. Until then it
//! refuses orders, while the sidecar serves.

use std::time::Duration;

use names::{
    Clock,
    Fence, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::order::Fenced;

/// What the sequencer is told of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The server refuses old numbers itself.
    pub checks_fence: bool,
    /// Longest time for which a server that doesn't check may still carry out an order after the
    /// connection it came on was closed.
    pub settle_time: Duration,
    /// Wait between tries to read the store, and when orderers may come back.
    pub retry_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            checks_fence: false,
            settle_time: Duration::from_secs(30),
            retry_interval: Duration::from_secs(2),
        }
    }
}

/// What happens to the sequencer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The sidecar started.
    Started,
    /// The store's newest order for the server: its number, 0 when there was never one.
    NewestRead(Fence),
    /// The store didn't answer.
    StoreOut,
    /// An order came.
    Order(Fenced),
    /// The server carried out the order with this number.
    Applied(Fence),
    /// The server refused an order for its number, or as one that it can't do.
    Refused {
        /// The order's number.
        fence: Fence,
        /// The highest number that the server took; 0 when it didn't say.
        highest: Fence,
    },
    /// The server has not answered in time; the connection is still open.
    TimedOut(Fence),
    /// The order's connection closed without an answer: the server may still carry it out.
    Closed(Fence),
    /// The server's process is a new one: nothing is left of earlier orders.
    Restarted,
    /// The time of [`Action::Wait`] is over.
    TimerFired,
}

/// What the sidecar has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the newest order from the store, see [`crate::key`].
    ReadStore,
    /// Send the order to the server.
    Send(Fenced),
    /// Come back with [`Event::TimerFired`].
    Wait(Duration),
    /// Tell the orderer.
    Answer {
        /// Number of its order.
        fence: Fence,
        /// What became of it.
        answer: Answer,
    },
}

/// What an orderer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The server carried the order out.
    Applied,
    /// A newer order came before; this one will not take effect.
    Old {
        /// The newer order's number.
        highest: Fence,
    },
    /// The server refused it.
    Refused,
    /// The sequencer can't know the newest number while the store is out. Nothing was sent.
    StoreOut {
        /// When to come back.
        retry_after: Duration,
    },
    /// The order was sent; whether it took effect isn't known.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Knowledge {
    Nothing,
    Asking,
    Highest(Fence),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Server {
    /// Nothing is left with the server.
    Idle,
    /// An order is with it.
    Busy(Fence),
    /// An order may still take effect until then; its connection is gone.
    Settling(Clock),
}

/// State of the sequencer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sequencer {
    settings: Settings,
    knowledge: Knowledge,
    server: Server,
    held: Option<Fenced>,
    applied: Fence,
}

impl Sequencer {
    /// Makes the sequencer of a sidecar that is starting.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            knowledge: Knowledge::Nothing,
            server: Server::Idle,
            held: None,
            applied: 0,
        }
    }

    /// The newest number that the sequencer has taken or read.
    pub fn highest(&self) -> Option<Fence> {
        match self.knowledge {
            Knowledge::Highest(fence) => Some(fence),
            Knowledge::Nothing | Knowledge::Asking => None,
        }
    }

    /// Takes an event; events that don't fit are ignored.
    pub fn handle(&mut self, event: Event, now: Clock) -> Vec<Action> {
        match event {
            Event::Started => self.started(now),
            Event::NewestRead(fence) => self.newest(fence),
            Event::StoreOut => self.store_out(),
            Event::Order(order) => self.order(order),
            Event::Applied(fence) => self.answered(fence, Answer::Applied),
            Event::Refused { fence, highest } => self.refused(fence, highest),
            Event::TimedOut(fence) => vec![answer(fence, Answer::Unknown)],
            Event::Closed(fence) => self.closed(fence, now),
            Event::Restarted => self.idle(),
            Event::TimerFired => self.waited(now),
        }
    }

    fn started(&mut self, now: Clock) -> Vec<Action> {
        self.knowledge = Knowledge::Asking;
        let mut actions = vec![Action::ReadStore];
        // The last sidecar may have left an order with a server that doesn't check.
        if !self.settings.checks_fence {
            actions.push(self.settle(now));
        }
        actions
    }

    fn newest(&mut self, fence: Fence) -> Vec<Action> {
        if self.knowledge == Knowledge::Asking {
            self.knowledge = Knowledge::Highest(fence);
        }
        Vec::new()
    }

    fn store_out(&mut self) -> Vec<Action> {
        if self.knowledge == Knowledge::Asking {
            self.knowledge = Knowledge::Nothing;
        }
        Vec::new()
    }

    fn order(&mut self, order: Fenced) -> Vec<Action> {
        let Knowledge::Highest(highest) = self.knowledge else {
            return self.unready(order.fence);
        };
        if order.fence < highest {
            return vec![answer(order.fence, Answer::Old { highest })];
        }
        if order.fence == self.applied {
            return vec![answer(order.fence, Answer::Applied)];
        }
        self.knowledge = Knowledge::Highest(order.fence);
        if self.settings.checks_fence || self.server == Server::Idle {
            return self.send(order);
        }
        self.hold(order)
    }

    /// Refuses an order while the newest number isn't known, and asks the store for it.
    fn unready(&mut self, fence: Fence) -> Vec<Action> {
        let refusal = answer(
            fence,
            Answer::StoreOut {
                retry_after: self.settings.retry_interval,
            },
        );
        if self.knowledge == Knowledge::Asking {
            return vec![refusal];
        }
        self.knowledge = Knowledge::Asking;
        vec![refusal, Action::ReadStore]
    }

    fn send(&mut self, order: Fenced) -> Vec<Action> {
        self.server = Server::Busy(order.fence);
        vec![Action::Send(order)]
    }

    /// Keeps the order until the server is idle. Only the newest waits.
    fn hold(&mut self, order: Fenced) -> Vec<Action> {
        if matches!(self.server, Server::Busy(fence) if fence == order.fence) {
            return Vec::new();
        }
        let highest = order.fence;
        let Some(older) = self.held.replace(order) else {
            return Vec::new();
        };
        if older.fence == highest {
            return Vec::new();
        }
        vec![answer(older.fence, Answer::Old { highest })]
    }

    fn refused(&mut self, fence: Fence, highest: Fence) -> Vec<Action> {
        if highest > fence {
            return self.answered(fence, Answer::Old { highest });
        }
        self.answered(fence, Answer::Refused)
    }

    fn answered(&mut self, fence: Fence, result: Answer) -> Vec<Action> {
        if result == Answer::Applied {
            self.applied = self.applied.max(fence);
        }
        let mut actions = vec![answer(fence, result)];
        if self.server == Server::Busy(fence) {
            actions.extend(self.idle());
        }
        actions
    }

    fn closed(&mut self, fence: Fence, now: Clock) -> Vec<Action> {
        let mut actions = vec![answer(fence, Answer::Unknown)];
        if self.server != Server::Busy(fence) {
            return actions;
        }
        if self.settings.checks_fence {
            actions.extend(self.idle());
            return actions;
        }
        actions.push(self.settle(now));
        actions
    }

    fn settle(&mut self, now: Clock) -> Action {
        self.server = Server::Settling(now + self.settings.settle_time);
        Action::Wait(self.settings.settle_time)
    }

    /// A timer from an earlier settling may end within a later one, so the time decides.
    fn waited(&mut self, now: Clock) -> Vec<Action> {
        match self.server {
            Server::Settling(until) if now >= until => self.idle(),
            _ => Vec::new(),
        }
    }

    fn idle(&mut self) -> Vec<Action> {
        self.server = Server::Idle;
        let Some(order) = self.held.take() else {
            return Vec::new();
        };
        self.send(order)
    }
}

fn answer(fence: Fence, answer: Answer) -> Action {
    Action::Answer { fence, answer }
}
