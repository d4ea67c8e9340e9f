//! Frames that a sidecar has begun already.

use std::collections::{
    BTreeSet,
    VecDeque, //
};

use names::Nonce;

/// Numbers of the latest sends.
///
/// A send that arrives twice would begin two hand-overs. Only one could win the record, but the
/// other might be refused by a store that goes out in between, and say `not_run` of a call that
/// runs; a caller would notice money taken after it was told so. So each number begins once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seen {
    most: usize,
    numbers: BTreeSet<Nonce>,
    order: VecDeque<Nonce>,
}

impl Seen {
    /// Remembers the latest `most` numbers.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            numbers: BTreeSet::new(),
            order: VecDeque::new(),
        }
    }

    /// Notes a number; tells whether it is new.
    pub fn insert(&mut self, number: Nonce) -> bool {
        if !self.numbers.insert(number) {
            return false;
        }
        self.order.push_back(number);
        if self.order.len() > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.numbers.remove(&oldest);
        }
        true
    }
}
