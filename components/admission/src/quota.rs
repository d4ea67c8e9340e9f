//! Retries of one service, bounded over a sliding window and over all processes together.
//!
//! When servers refuse requests or fail one after the other, every failed request is retried at
//! once. Processes share their counts, so that a process whose servers fail may use what the others
//! leave. No agreement is needed, as each process stays below the bound by a margin.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use names::Clock;

/// Number of buckets of a window.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Share of the bound that is used. Windows of processes don't begin at the same moment, counts of
/// other processes are known with a delay, and the counts of a process before its restart are lost.
const USABLE_SHARE: f64 = 0.8;

/// Share of the usable part for retries of requests without an answer; the rest is reserved for
/// answers that have begun, whose loss costs more.
const UNANSWERED_REQUEST_SHARE: f64 = 0.75;

/// Bound on the retries of all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Share of the usable part for runs that may still go on; the rest is reserved for lost ones.
const QUIET_RUN_SHARE: f64 = 0.5;

/// Purpose of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that has no answer yet.
    Unanswered,
    /// An answer that has begun.
    Resume,
    /// A run that sends nothing and may still go on.
    QuietRun,
}

/// Requests and retries within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// First attempts of requests.
    pub requests: u32,
    /// Attempts after the first.
    pub retries: u32,
}

/// Retries of the other processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peers {
    /// Sum of the totals that they reported.
    pub totals: Totals,
    /// Share of all processes that know each other's totals, including this one. The rest of the
    /// slack is left to the others.
    pub coverage: f64,
    /// Estimated retries since their last reports.
    pub unreported: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Clock,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service in this process.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    buckets: VecDeque<Bucket>,
    /// Retries that may still arrive at their servers.
    unsettled: u32,
}

impl Quota {
    /// Counts the first attempt of a request.
    pub fn request(&mut self, now: Clock, bound: &Bound) {
        self.bucket(now, bound).requests += 1;
    }

    /// Takes a retry out of the quota. Returns `false` if none is available over all processes. A
    /// retry counts until a window after [`Quota::settle`], as it can arrive until then.
    pub fn retry(&mut self, now: Clock, bound: &Bound, peers: Peers, purpose: Purpose) -> bool {
        let is_allowed = self.available(now, bound, peers, purpose) >= 1.0;
        if is_allowed {
            self.take();
        }
        is_allowed
    }

    /// Returns how many retries are available over all processes.
    pub fn available(&mut self, now: Clock, bound: &Bound, peers: Peers, purpose: Purpose) -> f64 {
        let own = self.totals(now, bound);
        let requests = own.requests + peers.totals.requests;
        let retries = own.retries + peers.totals.retries;
        let slack = bound.slack * peers.coverage.clamp(0.0, 1.0);
        let mut allowed = (bound.ratio * f64::from(requests) + slack) * USABLE_SHARE;
        allowed *= match purpose {
            Purpose::Unanswered => UNANSWERED_REQUEST_SHARE,
            Purpose::Resume => 1.0,
            Purpose::QuietRun => QUIET_RUN_SHARE,
        };
        allowed - f64::from(retries) - peers.unreported
    }

    /// Takes a retry that is available.
    pub fn take(&mut self) {
        self.unsettled += 1;
    }

    /// Records that a retry has arrived at its server, or won't any more.
    pub fn settle(&mut self, now: Clock, bound: &Bound) {
        self.unsettled = self.unsettled.saturating_sub(1);
        self.bucket(now, bound).retries += 1;
    }

    /// Returns the requests and retries that this process sent within the window.
    pub fn totals(&mut self, now: Clock, bound: &Bound) -> Totals {
        self.bucket(now, bound);
        let mut totals = Totals {
            requests: 0,
            retries: self.unsettled,
        };
        for bucket in &self.buckets {
            totals.requests += bucket.requests;
            totals.retries += bucket.retries;
        }
        totals
    }

    fn bucket(&mut self, now: Clock, bound: &Bound) -> &mut Bucket {
        let length = bound.window / BUCKETS_PER_WINDOW;
        while let Some(first) = self.buckets.front()
            && now.saturating_sub(first.start) > bound.window + length
        {
            self.buckets.pop_front();
        }
        let needs_bucket = self
            .buckets
            .back()
            .is_none_or(|last| now.saturating_sub(last.start) >= length);
        if needs_bucket {
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
