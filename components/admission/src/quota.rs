//! Retries of one service, bounded over a sliding window and over all entries together.
//!
//! The load that it answers: servers that refuse or fall over, one after the other, while every
//! request that they fail is sent again at once. Entries tell one another what they sent, so that
//! one whose servers fail may use what the others leave; no agreement is needed, as each keeps clear
//! of the bound by a margin.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use names::Clock;

/// Buckets of a window.
const BUCKETS: u32 = 20;

/// Part of the bound that is used: entries' windows don't begin at the same moment, what others sent
/// is known a little later, and what one sent before it was restarted is known to nobody.
const USED: f64 = 0.8;

/// Part of that which first answers may use; the rest is kept for answers that have begun, whose
/// loss costs more.
const FIRST: f64 = 0.75;

/// The bound over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries besides, in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that has no answer yet.
    First,
    /// An answer that has begun.
    Resume,
}

/// Requests and retries within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// First sends of requests.
    pub requests: u32,
    /// Sends beyond the first.
    pub retries: u32,
}

/// What the other entries sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peers {
    /// Their sums.
    pub totals: Totals,
    /// Part of all entries whose sums are known, this one's among them. What the others may have
    /// sent is left to them.
    pub coverage: f64,
    /// Retries that they are taken to have sent since they told their sums.
    pub unreported: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Clock,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at this entry.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    buckets: VecDeque<Bucket>,
}

impl Quota {
    /// Counts a request's first send.
    pub fn request(&mut self, now: Clock, bound: &Bound) {
        self.bucket(now, bound).requests += 1;
    }

    /// Takes a retry out of the quota, if there is one left over all entries.
    pub fn retry(&mut self, now: Clock, bound: &Bound, others: Peers, purpose: Purpose) -> bool {
        let own = self.totals(now, bound);
        let requests = own.requests + others.totals.requests;
        let retries = own.retries + others.totals.retries;
        let slack = bound.slack * others.coverage.clamp(0.0, 1.0);
        let mut allowed = (bound.ratio * f64::from(requests) + slack) * USED;
        if purpose == Purpose::First {
            allowed *= FIRST;
        }
        if f64::from(retries) + others.unreported + 1.0 > allowed {
            return false;
        }
        self.bucket(now, bound).retries += 1;
        true
    }

    /// What this entry sent within the window.
    pub fn totals(&mut self, now: Clock, bound: &Bound) -> Totals {
        self.bucket(now, bound);
        let mut totals = Totals::default();
        for bucket in &self.buckets {
            totals.requests += bucket.requests;
            totals.retries += bucket.retries;
        }
        totals
    }

    fn bucket(&mut self, now: Clock, bound: &Bound) -> &mut Bucket {
        let length = bound.window / BUCKETS;
        while let Some(first) = self.buckets.front()
            && now.saturating_sub(first.start) > bound.window + length
        {
            self.buckets.pop_front();
        }
        let fresh = self
            .buckets
            .back()
            .is_none_or(|last| now.saturating_sub(last.start) >= length);
        if fresh {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was added where there was none")
    }
}
