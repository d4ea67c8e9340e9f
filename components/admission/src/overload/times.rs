//! Times of a service's requests, and how far they are from their target.

use std::time::Duration;

use names::Clock;

use super::growth::Growth;

/// Part of the time that an unloaded server leaves until the objective which queues may take.
const QUEUE_SHARE: f64 = 0.35;

/// Time of an unloaded server that is assumed while none is known, as a share of the objective.
const INITIAL_BASE_SHARE: f64 = 0.25;

/// Minimum of the target, as a multiple of the time of an unloaded server.
const MIN_TARGET: f64 = 1.2;

/// Weight of a new measurement in the time of an unloaded server, after the first few.
const BASE_EWMA_WEIGHT: f64 = 0.02;

/// Factor of that weight for longer times than the mean: queues that build up before an overload is
/// observed are not the servers' time.
const LONGER_WEIGHT: f64 = 0.25;

/// Number of measurements that count alike.
const FIRST_SAMPLES: u32 = 8;

/// Weight with which shorter times during an overload lower the time of an unloaded server.
const LOWER_WEIGHT: f64 = 0.1;

/// Weight of a new measurement in the mean that lowers the time of an unloaded server.
const LOW_EWMA_WEIGHT: f64 = 0.06;

/// Time constant of the recent mean, in seconds.
const RECENT_TIME_S: f64 = 0.2;

/// Maximum weight of a new measurement in the recent mean.
const MAX_RECENT_WEIGHT: f64 = 0.3;

/// Change of the factor per second and unit of the logarithmic error.
const FACTOR_GAIN: f64 = 0.25;

/// Bounds of the logarithm of the factor.
const FACTOR_BOUNDS: (f64, f64) = (-1.5, 1.5);

/// Units in which the factor is told.
const FACTOR_UNITS: f64 = 1000.0;

/// Bounds of the momentary correction.
const PRESSURE_BOUNDS: (f64, f64) = (0.3, 1.6);

/// What a process learnt of the rate of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rates {
    /// Time of an unloaded server.
    pub base: Duration,
    /// Logarithm of the correction of the expected rate, in thousandths.
    pub factor: i16,
}

/// Times of the requests of one service, in seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    /// Mean time while there is no overload.
    base: Option<f64>,
    samples: u32,
    /// Mean time of the last few requests, whatever their rate.
    low: f64,
    /// Recent mean time; while the bound is in force, the expected time of a request sent now.
    recent: f64,
    recent_at: Clock,
    /// Growth of the queues while the bound is in force.
    growth: Growth,
    /// Time from which the bound keeps the queues short.
    from: Clock,
    /// Logarithm of the correction of the expected rate.
    factor: f64,
}

impl Times {
    pub(super) fn base_or(&self, objective: Duration) -> f64 {
        let initial = objective.as_secs_f64() * INITIAL_BASE_SHARE;
        self.base.unwrap_or(initial).max(0.0005)
    }

    pub(super) fn recent(&self) -> f64 {
        self.recent
    }

    pub(super) fn factor(&self) -> f64 {
        self.factor.exp()
    }

    /// Returns the time within which requests should be answered.
    pub(super) fn target(&self, objective: Duration) -> f64 {
        let base = self.base_or(objective);
        let spare = (objective.as_secs_f64() - base).max(0.0);
        (base + QUEUE_SHARE * spare).max(base * MIN_TARGET)
    }

    /// Returns what peers are told.
    pub(super) fn rates(&self, objective: Duration) -> Rates {
        Rates {
            base: Duration::from_secs_f64(self.base_or(objective)),
            factor: (self.factor * FACTOR_UNITS) as i16,
        }
    }

    /// Takes over what peers learnt when the bound takes effect: their correction, and the time of
    /// an unloaded server if it isn't known here.
    pub(super) fn adopt(&mut self, rates: impl Iterator<Item = Rates>) {
        let (mut base, mut factor, mut count) = (0.0, 0.0, 0.0);
        for rates in rates {
            base += rates.base.as_secs_f64();
            factor += f64::from(rates.factor) / FACTOR_UNITS;
            count += 1.0;
        }
        let factor = factor / f64::max(count, 1.0);
        self.factor = factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        if count > 0.0 && self.samples < FIRST_SAMPLES {
            self.base = Some(base / count);
            self.samples = FIRST_SAMPLES;
        }
    }

    /// Returns the momentary correction of the rate for the length of the queues.
    pub(super) fn pressure(&self, target: f64) -> f64 {
        if self.recent <= 0.0 {
            return 1.0;
        }
        let ratio = target / self.recent;
        // Queues are shortened faster than they are built up.
        let correction = if ratio < 1.0 { ratio } else { ratio.sqrt() };
        correction.clamp(PRESSURE_BOUNDS.0, PRESSURE_BOUNDS.1)
    }

    /// Records that the bound takes effect. Requests that were sent before `from` say nothing about
    /// it; from then on requests are expected to take `target`.
    pub(super) fn begin(&mut self, from: Clock, target: f64) {
        self.from = from;
        self.recent_at = from;
        self.low = self.recent;
        self.recent = target;
        self.growth.begin(from);
    }

    /// Updates the expected time by what has been sent at the rate that the momentary correction
    /// allows: at the expected rate the queues keep their length.
    pub(super) fn advance(&mut self, now: Clock, target: f64) {
        let Some(elapsed) = self.growth.due(now) else {
            return;
        };
        // Short queues may as well be due to an expected rate that is too low.
        let change = (self.pressure(target) - 1.0).min(0.0) * elapsed;
        // Beyond the target, the correction ends.
        let next = (self.recent + change).max(target.min(self.recent));
        self.growth.record(now, next - self.recent);
        self.recent = next;
    }

    /// Returns whether a request that took this long was sent when the bound was in force.
    pub(super) fn is_bounded(&self, now: Clock, time: f64) -> bool {
        now.as_secs_f64() - time >= self.from.as_secs_f64()
    }

    /// Records the time of a request; `target` is known while the bound is in force.
    pub(super) fn record(&mut self, now: Clock, time: f64, target: Option<f64>, is_bad: bool) {
        if target.is_some() && !self.is_bounded(now, time) {
            return;
        }
        let elapsed = now.saturating_sub(self.recent_at).as_secs_f64();
        self.recent_at = now;
        let weight = 1.0 - (-elapsed / RECENT_TIME_S).exp();
        let grown = match target {
            Some(_) => self.growth.since(now.as_secs_f64() - time),
            None => 0.0,
        };
        self.recent = match self.recent {
            0.0 => time,
            recent => recent + weight.min(MAX_RECENT_WEIGHT) * (time + grown - recent),
        };
        self.low += LOW_EWMA_WEIGHT * (time - self.low);
        let Some(target) = target else {
            if !is_bad {
                self.record_base(time);
            }
            return;
        };
        let error = (target / self.recent.max(f64::MIN_POSITIVE)).ln();
        let change = FACTOR_GAIN * elapsed.min(1.0) * error.clamp(-1.0, 1.0);
        self.factor = (self.factor + change).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        // An unloaded server is never slower than a loaded one.
        if let Some(base) = &mut self.base
            && self.low < *base
        {
            *base += LOWER_WEIGHT * (self.low - *base);
        }
    }

    fn record_base(&mut self, time: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = BASE_EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
        let base = self.base.get_or_insert(time);
        let is_longer = self.samples > FIRST_SAMPLES && time > *base;
        let weight = if is_longer {
            weight * LONGER_WEIGHT
        } else {
            weight
        };
        *base += weight * (time - *base);
    }
}
