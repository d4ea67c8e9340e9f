//! Deduplication of sends whose frame is delivered twice.

use std::collections::{
    BTreeSet,
    VecDeque, //
};

use names::Nonce;

/// Bounded set of the nonces of the most recent sends.
///
/// A send that is delivered twice would start two attempts. Only one of them can create the record,
/// but if the store becomes unavailable in between, the other one is refused and reports `not_run`
/// for a call that runs: a payout would be made although its caller received `not_run`. Each nonce
/// therefore starts one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seen {
    capacity: usize,
    nonces: BTreeSet<Nonce>,
    order: VecDeque<Nonce>,
}

impl Seen {
    /// Creates a set that retains the `capacity` most recent nonces.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            nonces: BTreeSet::new(),
            order: VecDeque::new(),
        }
    }

    /// Inserts a nonce and returns whether it was new.
    pub fn insert(&mut self, nonce: Nonce) -> bool {
        if !self.nonces.insert(nonce) {
            return false;
        }
        self.order.push_back(nonce);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.nonces.remove(&oldest);
        }
        true
    }
}
