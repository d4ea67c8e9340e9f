//! Baseline rates from the old version's past, used once the new version has all traffic.
//!
//! With all traffic on the new version the two can no longer be compared over the same time. The
//! old version's past takes its place, with a margin: rates change over a day, and a good version
//! must not be reverted for that.

/// Factor on the old version's rate up to which the new version counts as no worse.
const BASELINE_MARGIN: f64 = 1.5;

/// Minimum requests of a slot for its own rate to count.
const MIN_SLOT_REQUESTS: u32 = 50;

/// Upper bound of the baseline rate; above it nothing would count as worse.
const MAX_BASELINE_RATE: f64 = 0.6;

/// Events and requests of the old version, accumulated by slot.
#[derive(Clone, Debug, Default)]
pub struct History {
    events: u32,
    requests: u32,
    highest_slot_rate: f64,
}

impl History {
    /// Adds the counts of one slot.
    pub fn add(&mut self, events: u32, requests: u32) {
        self.events = self.events.saturating_add(events);
        self.requests = self.requests.saturating_add(requests);
        if requests < MIN_SLOT_REQUESTS {
            return;
        }
        let events = f64::from(events);
        let low = (events - 2.0 * events.sqrt()) / f64::from(requests);
        self.highest_slot_rate = self.highest_slot_rate.max(low);
    }

    /// Returns the rate up to which the new version is no worse, or `None` without history.
    pub fn baseline_rate(&self) -> Option<f64> {
        if self.requests == 0 {
            return None;
        }
        let events = f64::from(self.events);
        let high = (events + 2.0 + 2.0 * (events + 1.0).sqrt()) / f64::from(self.requests);
        Some((BASELINE_MARGIN * high.max(self.highest_slot_rate)).min(MAX_BASELINE_RATE))
    }
}
