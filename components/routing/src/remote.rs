//! Load of other data centres, from the summaries that they publish.

use std::time::Duration;

use names::{
    Clock,
    DataCentre, //
};

use crate::member::{
    Member,
    Report, //
};

/// Total load of the replicas of one version in a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Runs in progress or queued.
    pub load: u32,
    /// Runs that the usable replicas can execute at full speed.
    pub capacity: u32,
    /// Age of the measurement.
    pub age: Duration,
}

/// Replicas of one version in another data centre. As with the reports of a replica, the work of
/// this sender corrects the last summary.
#[derive(Clone, Debug)]
pub(crate) struct Remote {
    pub(crate) data_centre: DataCentre,
    pub(crate) total: Member,
    pub(crate) capacity: u32,
    updated_at: Clock,
}

/// Age beyond which a summary is ignored.
const SUMMARY_TTL: Duration = Duration::from_secs(30);

impl Remote {
    pub(crate) fn new(now: Clock, data_centre: DataCentre) -> Remote {
        Remote {
            data_centre,
            total: Member::new(now, String::new()),
            capacity: 0,
            updated_at: now,
        }
    }

    pub(crate) fn record_summary(&mut self, now: Clock, summary: &Summary) {
        self.capacity = summary.capacity;
        self.updated_at = now;
        let report = Report {
            running: summary.load,
            queued: 0,
            capacity: summary.capacity,
            healthy: true,
            leaving: false,
            age: summary.age,
        };
        self.total.record_report(now, &report);
    }

    /// Returns the load relative to capacity, or `None` if the data centre can take no work.
    pub(crate) fn load(&self, now: Clock) -> Option<f64> {
        if self.capacity == 0 || self.is_stale(now) {
            return None;
        }
        Some(self.total.load() / f64::from(self.capacity))
    }

    /// Returns whether the last summary is too old; the data centre may be unreachable.
    pub(crate) fn is_stale(&self, now: Clock) -> bool {
        now.saturating_sub(self.updated_at) > SUMMARY_TTL
    }

    pub(crate) fn sent(&mut self, now: Clock) {
        self.total.sent(now);
    }

    pub(crate) fn done(&mut self, now: Clock) {
        self.total.release(now);
    }
}
