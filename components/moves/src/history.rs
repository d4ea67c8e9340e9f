//! What the old version did before, as the yardstick once the new one has all the traffic.
//!
//! With all traffic on the new version nothing can be compared over the same time. The old
//! version's past takes its place, with a margin: rates change over a day, and a good version must
//! not be taken back for that.

/// Factor between the old version's rate and what counts as no worse.
const BASELINE_MARGIN: f64 = 1.5;

/// Fewest requests of a slot for its own rate to count.
const MIN_SLOT_REQUESTS: u32 = 50;

/// Highest rate that can be a yardstick; above it nothing would count as worse.
const MAX_BASELINE_RATE: f64 = 0.6;

/// Events among requests of the old version, by slot.
#[derive(Clone, Debug, Default)]
pub struct History {
    events: u32,
    requests: u32,
    highest: f64,
}

impl History {
    /// Adds what happened in a slot.
    pub fn add(&mut self, events: u32, requests: u32) {
        self.events = self.events.saturating_add(events);
        self.requests = self.requests.saturating_add(requests);
        if requests < MIN_SLOT_REQUESTS {
            return;
        }
        let events = f64::from(events);
        let low = (events - 2.0 * events.sqrt()) / f64::from(requests);
        self.highest = self.highest.max(low);
    }

    /// Rate up to which the new version is no worse; none without a past.
    pub fn baseline_rate(&self) -> Option<f64> {
        if self.requests == 0 {
            return None;
        }
        let events = f64::from(self.events);
        let high = (events + 2.0 + 2.0 * (events + 1.0).sqrt()) / f64::from(self.requests);
        Some((BASELINE_MARGIN * high.max(self.highest)).min(MAX_BASELINE_RATE))
    }
}
