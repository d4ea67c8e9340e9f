//! Other data centres, by their summaries.

use std::time::Duration;

use names::{
    Clock,
    DataCentre, //
};

use crate::member::{
    Member,
    Report, //
};

/// A group of replicas of one version in a data centre, taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Runs in progress or waiting.
    pub load: u32,
    /// Runs at full speed, of the replicas that can be used.
    pub capacity: u32,
    /// How old the reading is.
    pub age: Duration,
}

/// Summaries are corrected by own work like a replica's reports.
#[derive(Clone, Debug)]
pub(crate) struct Far {
    pub(crate) data_centre: DataCentre,
    pub(crate) whole: Member,
    pub(crate) capacity: u32,
    learnt: Clock,
}

/// A summary that is older says nothing any more.
const STALE: Duration = Duration::from_secs(30);

impl Far {
    pub(crate) fn new(now: Clock, data_centre: DataCentre) -> Far {
        Far {
            data_centre,
            whole: Member::new(now, String::new()),
            capacity: 0,
            learnt: now,
        }
    }

    pub(crate) fn learn(&mut self, now: Clock, summary: &Summary) {
        self.capacity = summary.capacity;
        self.learnt = now;
        let report = Report {
            running: summary.load,
            queued: 0,
            capacity: summary.capacity,
            healthy: true,
            leaving: false,
            age: summary.age,
        };
        self.whole.learn(now, &report);
    }

    /// Load relative to capacity; `None` when nothing can be sent there.
    pub(crate) fn load(&self, now: Clock) -> Option<f64> {
        if self.capacity == 0 || self.stale(now) {
            return None;
        }
        Some(self.whole.load() / f64::from(self.capacity))
    }

    /// Nothing was heard for long: the data centre may be lost.
    pub(crate) fn stale(&self, now: Clock) -> bool {
        now.saturating_sub(self.learnt) > STALE
    }

    pub(crate) fn sent(&mut self, now: Clock) {
        self.whole.sent(now);
    }

    pub(crate) fn done(&mut self, now: Clock) {
        self.whole.release(now);
    }
}
