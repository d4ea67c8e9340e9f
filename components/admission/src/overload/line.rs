//! Requests that wait for their turn.

use std::collections::BTreeSet;

use names::Clock;

/// Order in which requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order {
    /// Priority rank; 0 is sent first.
    pub(super) rank: u8,
    /// Whether its answer can no longer be in time.
    pub(super) is_late: bool,
    /// Latest time at which it should be sent: the least time to spare goes first.
    pub(super) latest: Clock,
}

/// Place of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    order: Order,
    sequence: u64,
}

impl Ticket {
    /// Returns the latest time at which the request is sent.
    pub fn latest(&self) -> Clock {
        self.order.latest
    }
}

/// Waiting requests in the order in which they are sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    waiting: BTreeSet<Ticket>,
    sequence: u64,
}

impl Line {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_first(&self, ticket: Ticket) -> bool {
        self.waiting.first() == Some(&ticket)
    }

    /// Returns how many requests would be sent before one with this order.
    pub(super) fn ahead(&self, order: Order) -> usize {
        let new = Ticket {
            order,
            sequence: u64::MAX,
        };
        self.waiting.range(..new).count()
    }

    pub(super) fn push(&mut self, order: Order) -> Ticket {
        self.sequence += 1;
        let ticket = Ticket {
            order,
            sequence: self.sequence,
        };
        self.waiting.insert(ticket);
        ticket
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }
}
