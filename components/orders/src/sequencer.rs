//! The sidecar's sequencer of orders, through which all orders reach its backend server.
//!
//! A server that checks fencing tokens rejects old orders itself. For a server that doesn't, the
//! sequencer forwards one order at a time and holds the next one back until the previous one can no
//! longer take effect. A sequencer that has just started knows neither the newest token nor which
//! orders its predecessor left in progress at the server. It reads the token from the store and
//! waits until those orders can no longer take effect. Until it knows the newest token, it refuses
//! orders, while the sidecar serves requests.

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

/// Properties of the server, and timing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Whether the server rejects old fencing tokens itself.
    pub checks_fence: bool,
    /// Maximum time for which a server that doesn't check tokens may still carry out an order after
    /// the order's connection was closed.
    pub settle_time: Duration,
    /// Retry delay that issuers receive while the store is unavailable.
    pub retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            checks_fence: false,
            settle_time: Duration::from_secs(30),
            retry_after: Duration::from_secs(2),
        }
    }
}

/// Input to the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The sidecar started.
    Started,
    /// The store returned the token of the server's newest order; 0 if there has never been one.
    NewestRead(Fence),
    /// The store did not answer.
    StoreUnavailable,
    /// An order arrived.
    Order(Fenced),
    /// The server carried out the order with this token.
    Applied(Fence),
    /// The server refused an order because of its token, or because it can't carry it out.
    Refused {
        /// Token of the refused order.
        fence: Fence,
        /// Highest token that the server has accepted; 0 if it did not report one.
        highest: Fence,
    },
    /// The server did not respond in time; the connection is still open.
    TimedOut(Fence),
    /// The order's connection closed without a response; the server may still carry it out.
    Closed(Fence),
    /// The server's process was replaced, so no earlier order can take effect any more.
    Restarted,
    /// The timer set by [`Action::Wait`] expired.
    TimerFired,
}

/// Output of the state machine, to be carried out by the sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the newest order from the store, see [`crate::key`].
    ReadStore,
    /// Send the order to the server.
    Send(Fenced),
    /// Deliver [`Event::TimerFired`] after this time.
    Wait(Duration),
    /// Answer the issuer of an order.
    Answer {
        /// Token of the order.
        fence: Fence,
        /// Result of the order.
        answer: Answer,
    },
}

/// Result of an order, as reported to its issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The server carried the order out.
    Applied,
    /// A newer order arrived first; this one will not take effect.
    Old {
        /// Token of the newer order.
        highest: Fence,
    },
    /// The server refused the order.
    Refused,
    /// The newest token is unknown because the store is unavailable. Nothing was sent.
    StoreOut {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The order was sent, but whether it took effect is unknown.
    Unknown,
}

/// What the sequencer knows about the newest token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum NewestToken {
    Unknown,
    Reading,
    Known(Fence),
}

/// Which order may still take effect at the server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Progress {
    /// No order can still take effect.
    Idle,
    /// The order with this token is in progress.
    Busy(Fence),
    /// The connection of an order closed; the order may still take effect until this time.
    Settling(Clock),
}

/// State machine that sequences the orders to one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sequencer {
    settings: Settings,
    newest: NewestToken,
    progress: Progress,
    pending: Option<Fenced>,
    highest_applied: Fence,
}

impl Sequencer {
    /// Creates the sequencer of a sidecar that is starting.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            newest: NewestToken::Unknown,
            progress: Progress::Idle,
            pending: None,
            highest_applied: 0,
        }
    }

    /// Returns the newest token that the sequencer has accepted or read, if known.
    pub fn newest(&self) -> Option<Fence> {
        match self.newest {
            NewestToken::Known(fence) => Some(fence),
            NewestToken::Unknown | NewestToken::Reading => None,
        }
    }

    /// Handles an event. Events that don't apply to the current state are ignored.
    pub fn handle(&mut self, event: Event, now: Clock) -> Vec<Action> {
        match event {
            Event::Started => self.started(now),
            Event::NewestRead(fence) => self.newest_read(fence),
            Event::StoreUnavailable => self.store_unavailable(),
            Event::Order(order) => self.order(order),
            Event::Applied(fence) => self.answered(fence, Answer::Applied),
            Event::Refused { fence, highest } => self.refused(fence, highest),
            Event::TimedOut(fence) => vec![answer(fence, Answer::Unknown)],
            Event::Closed(fence) => self.closed(fence, now),
            Event::Restarted => self.idle(),
            Event::TimerFired => self.timer_fired(now),
        }
    }

    fn started(&mut self, now: Clock) -> Vec<Action> {
        self.newest = NewestToken::Reading;
        let mut actions = vec![Action::ReadStore];
        // The previous sidecar may have left an order in progress at a server that doesn't check
        // tokens.
        if !self.settings.checks_fence {
            actions.push(self.settle(now));
        }
        actions
    }

    fn newest_read(&mut self, fence: Fence) -> Vec<Action> {
        if self.newest == NewestToken::Reading {
            self.newest = NewestToken::Known(fence);
        }
        Vec::new()
    }

    fn store_unavailable(&mut self) -> Vec<Action> {
        if self.newest == NewestToken::Reading {
            self.newest = NewestToken::Unknown;
        }
        Vec::new()
    }

    fn order(&mut self, order: Fenced) -> Vec<Action> {
        let NewestToken::Known(highest) = self.newest else {
            return self.refuse_unready(order.fence);
        };
        if order.fence < highest {
            return vec![answer(order.fence, Answer::Old { highest })];
        }
        if order.fence == self.highest_applied {
            return vec![answer(order.fence, Answer::Applied)];
        }
        self.newest = NewestToken::Known(order.fence);
        if self.settings.checks_fence || self.progress == Progress::Idle {
            return self.send(order);
        }
        self.hold(order)
    }

    /// Refuses an order while the newest token is unknown, and reads it from the store.
    fn refuse_unready(&mut self, fence: Fence) -> Vec<Action> {
        let refusal = answer(
            fence,
            Answer::StoreOut {
                retry_after: self.settings.retry_after,
            },
        );
        if self.newest == NewestToken::Reading {
            return vec![refusal];
        }
        self.newest = NewestToken::Reading;
        vec![refusal, Action::ReadStore]
    }

    fn send(&mut self, order: Fenced) -> Vec<Action> {
        self.progress = Progress::Busy(order.fence);
        vec![Action::Send(order)]
    }

    /// Holds the order back until the server is idle. Only the newest order is retained.
    fn hold(&mut self, order: Fenced) -> Vec<Action> {
        if matches!(self.progress, Progress::Busy(fence) if fence == order.fence) {
            return Vec::new();
        }
        let highest = order.fence;
        let Some(older) = self.pending.replace(order) else {
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
            self.highest_applied = self.highest_applied.max(fence);
        }
        let mut actions = vec![answer(fence, result)];
        if self.progress == Progress::Busy(fence) {
            actions.extend(self.idle());
        }
        actions
    }

    fn closed(&mut self, fence: Fence, now: Clock) -> Vec<Action> {
        let mut actions = vec![answer(fence, Answer::Unknown)];
        if self.progress != Progress::Busy(fence) {
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
        self.progress = Progress::Settling(now + self.settings.settle_time);
        Action::Wait(self.settings.settle_time)
    }

    /// Ends a settling period. A timer of an earlier period may fire during a later one, so the
    /// deadline is checked.
    fn timer_fired(&mut self, now: Clock) -> Vec<Action> {
        match self.progress {
            Progress::Settling(until) if now >= until => self.idle(),
            _ => Vec::new(),
        }
    }

    fn idle(&mut self) -> Vec<Action> {
        self.progress = Progress::Idle;
        let Some(order) = self.pending.take() else {
            return Vec::new();
        };
        self.send(order)
    }
}

fn answer(fence: Fence, answer: Answer) -> Action {
    Action::Answer { fence, answer }
}
