//! One server of a service that is over capacity.

use std::time::Duration;

use names::Clock;
use rand::{
    Rng,
    RngExt, //
};

/// Time constant of a server's share of late and rejected requests, in seconds, and bounds of the
/// weight of a new result in it.
const BAD_TIME_S: f64 = 0.5;
const BAD_EWMA_WEIGHTS: (f64, f64) = (0.05, 0.3);

/// Weight of a new measurement in a server's time while there is no overload.
const TIME_EWMA_WEIGHT: f64 = 0.1;

/// Number of measurements from which a server's own time counts.
const MIN_MEASUREMENTS: u32 = 5;

/// Change of the logarithm of a server's factor per second and unit of the relative error.
const FACTOR_GAIN: f64 = 0.3;

/// Maximum time for which one measurement changes the factor, in seconds.
const MAX_MEASUREMENT_S: f64 = 0.3;

/// Bounds of the logarithm of a server's factor.
const FACTOR_BOUNDS: (f64, f64) = (-2.3, 1.0);

/// Time for which sends that are due can be used.
const SEND_VALIDITY_S: f64 = 0.02;

/// What the bound of a server follows from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// Time of an unloaded server.
    pub(super) base_s: f64,
    /// Correction of the expected rate.
    pub(super) factor: f64,
    /// Momentary correction for the length of the queues.
    pub(super) pressure: f64,
    /// Time within which requests should be answered.
    pub(super) target_s: f64,
    /// Part of this process.
    pub(super) share: f64,
}

/// One server.
#[derive(Clone, Debug, Default)]
pub(super) struct Backend {
    slots: u32,
    /// Requests of this process.
    pub(super) in_flight: u32,
    /// Recent share of late and rejected requests.
    pub(super) bad: f64,
    /// Mean time while there is no overload, in seconds.
    time: f64,
    measurements: u32,
    result_at: Option<Clock>,
    /// Logarithm of the server's speed in proportion to the mean.
    factor: f64,
    /// Sends that are due, with the fraction of the next one.
    due: f64,
    refilled_at: Clock,
}

impl Backend {
    pub(super) fn set_slots(&mut self, slots: u32, rng: &mut impl Rng) {
        if self.slots == 0 {
            self.due = rng.random_range(0.0..1.0);
        }
        self.slots = slots.max(1);
    }

    pub(super) fn remove_slots(&mut self) {
        self.slots = 0;
    }

    /// Records that the bound takes effect, and that sends fall due from `from` on; `mean` is the
    /// mean time of all servers. The first sends of many processes come at different times.
    pub(super) fn begin(&mut self, mean: f64, from: Clock, rng: &mut impl Rng) {
        self.due = rng.random_range(0.0..1.0);
        self.refilled_at = from;
        self.factor = self
            .mean_time()
            .map_or(0.0, |time| (mean / time).ln().clamp(FACTOR_BOUNDS.0, 0.0));
    }

    /// Returns the mean time while there was no overload, if it is known.
    pub(super) fn mean_time(&self) -> Option<f64> {
        (self.measurements >= MIN_MEASUREMENTS && self.time > 0.0).then_some(self.time)
    }

    pub(super) fn sent(&mut self) {
        self.in_flight += 1;
        self.due = (self.due - 1.0).max(-super::MAX_SENDS_AWAITED);
    }

    /// Records the result of a request. `service_time` is the recent mean of all servers while the
    /// bound is in force; queues that take the same time everywhere use all servers.
    pub(super) fn record(
        &mut self,
        now: Clock,
        time: f64,
        is_bad: bool,
        service_time: Option<f64>,
    ) {
        let before = self.result_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(before).as_secs_f64();
        let (min, max) = BAD_EWMA_WEIGHTS;
        let weight = (elapsed / BAD_TIME_S).clamp(min, max);
        self.bad += weight * (f64::from(u8::from(is_bad)) - self.bad);
        let Some(service_time) = service_time else {
            return;
        };
        let error = (1.0 - time / service_time.max(f64::MIN_POSITIVE)).clamp(-1.0, 1.0);
        let change = FACTOR_GAIN * elapsed.min(MAX_MEASUREMENT_S) * error;
        self.factor = (self.factor + change).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
    }

    /// Records the time of a request while there is no overload.
    pub(super) fn measure(&mut self, time: f64) {
        self.measurements = self.measurements.saturating_add(1);
        let weight = TIME_EWMA_WEIGHT.max(1.0 / f64::from(self.measurements));
        self.time += weight * (time - self.time);
    }

    pub(super) fn has_result_since(&self, now: Clock, within: Duration) -> bool {
        let is_recent = |at: Clock| now.saturating_sub(at) <= within;
        self.result_at.is_some_and(is_recent)
    }

    /// Returns the requests per second that the server is expected to answer.
    fn capacity(&self, terms: &Terms) -> f64 {
        f64::from(self.slots) / terms.base_s * terms.factor * self.factor.exp()
    }

    /// Returns the number of requests of all processes that may be at the server.
    pub(super) fn bound(&self, terms: &Terms) -> f64 {
        self.capacity(terms) * terms.target_s
    }

    /// Returns the requests per second that this process may send to the server.
    pub(super) fn rate(&self, terms: &Terms) -> f64 {
        self.capacity(terms) * terms.pressure * terms.share
    }

    /// Adds the sends that fell due since the last call.
    pub(super) fn refill(&mut self, now: Clock, terms: &Terms) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let rate = self.rate(terms);
        let max = 1.0 + rate * SEND_VALIDITY_S;
        self.due = (self.due + rate * elapsed).min(max);
    }

    pub(super) fn has_room(&self, terms: &Terms) -> bool {
        let bound = super::limit(self.bound(terms) * terms.share);
        self.slots > 0 && self.due >= 1.0 && f64::from(self.in_flight) < bound
    }

    /// Returns the sends that are due.
    pub(super) fn due_sends(&self, terms: &Terms) -> f64 {
        if self.has_room(terms) { self.due } else { 0.0 }
    }

    /// Returns the time until a send is due, in seconds, if one ever is.
    pub(super) fn next_send(&self, terms: &Terms) -> Option<f64> {
        let rate = self.rate(terms);
        (self.slots > 0 && rate > 0.0).then(|| (1.0 - self.due).max(0.0) / rate)
    }
}
