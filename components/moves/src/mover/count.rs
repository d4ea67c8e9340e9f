//! Counts this entry's own requests and publishes the counts to the other entries.

use std::time::{
    Duration,
    SystemTime, //
};

use names::Clock;

use crate::{
    evidence::{
        Cells,
        Key,
        Tally,
        Times, //
    },
    mover::Mover,
    share::{
        Level,
        Side, //
    },
    step::{
        Action,
        Ending,
        Fact,
        Pick, //
    },
    times::Histogram,
};

/// Interval between publications of the cells that changed.
const CELLS_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between publications of the latency histograms.
const TIMES_PUBLISH_INTERVAL: Duration = Duration::from_secs(20);

/// Quantile of the old version's latencies above which a request is slow.
const SLOW_QUANTILE: f64 = 0.9;

/// Highest share of a measured time by which this entry's own scheduling may be delayed. Delays are
/// sampled, so a small observed delay stands for a larger one.
const MAX_OWN_DELAY: f64 = 0.01;

/// Factor on the slowness limit when there is no old version to compare with. Daily load slows a
/// service by some tens of percent; latencies cluster just below the limit, so a small slowdown
/// would put most of them over it.
const SOLE_VERSION_LIMIT_FACTOR: f64 = 1.3;

/// Minimum interval between counted samples when there is no old version to compare with.
/// Overlapping answers are slowed by the same cause and would count as many independent signs of
/// it.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum number of the old version's samples from which a limit is derived.
const MIN_LIMIT_SAMPLES: u64 = 12;

/// Maximum number of remembered failed requests, which keep retries from being counted again.
const MAX_FAILED_HASHES: usize = 4096;

impl Mover {
    pub(super) fn record_first_token(
        &mut self,
        pick: &Pick,
        time: Duration,
        late: f64,
        wall: SystemTime,
        out: &mut Vec<Action>,
    ) {
        let times = self
            .evidence
            .times(&self.owner.source, &pick.route, pick.side);
        times.first.record(time);
        let limit = self.limits.get(&pick.route).and_then(|limit| limit.first);
        let Some(slow) = self.exceeds(pick, time, late, limit) else {
            return;
        };
        if pick.level == Level::FULL && !is_independent(&mut self.first_counted_at, wall) {
            return;
        }
        self.count(pick, |tally| {
            tally.firsts += 1;
            tally.slow_first += u32::from(slow);
        });
        if slow && pick.side == Side::New {
            self.judge(wall, out);
        }
    }

    pub(super) fn record_end(
        &mut self,
        pick: &Pick,
        ending: Ending,
        wall: SystemTime,
        out: &mut Vec<Action>,
    ) {
        match ending {
            Ending::Inconclusive => {}
            Ending::Failed => self.record_failure(pick, wall, out),
            Ending::Completed => self.count(pick, |tally| tally.requests += 1),
        }
    }

    fn record_failure(&mut self, pick: &Pick, wall: SystemTime, out: &mut Vec<Action>) {
        // A pick for the new version implies a small hash; the lower half is uniform for both
        // versions.
        let hash = (pick.hash & u64::from(u32::MAX)) as u32;
        if self.failed_hashes.contains(&hash) {
            return;
        }
        self.remember_failed_hash(hash);
        self.count(pick, |tally| {
            tally.requests += 1;
            tally.failed += 1;
            tally.failures.add(hash);
        });
        if pick.side == Side::New {
            self.judge(wall, out);
        }
    }

    /// Remembers a failed request. The smallest hashes are kept, as in the sketches of the cells.
    pub(super) fn remember_failed_hash(&mut self, hash: u32) {
        self.failed_hashes.insert(hash);
        if self.failed_hashes.len() > MAX_FAILED_HASHES {
            self.failed_hashes.pop_last();
        }
    }

    pub(super) fn record_token_gap(
        &mut self,
        pick: &Pick,
        time: Duration,
        late: f64,
        wall: SystemTime,
        out: &mut Vec<Action>,
    ) {
        let times = self
            .evidence
            .times(&self.owner.source, &pick.route, pick.side);
        times.between.record(time);
        let limit = self.limits.get(&pick.route).and_then(|limit| limit.between);
        let Some(slow) = self.exceeds(pick, time, late, limit) else {
            return;
        };
        if pick.level == Level::FULL && !is_independent(&mut self.between_counted_at, wall) {
            return;
        }
        self.count(pick, |tally| {
            tally.betweens += 1;
            tally.slow_between += u32::from(slow);
        });
        if slow && pick.side == Side::New {
            self.judge(wall, out);
        }
    }

    /// Returns whether a time exceeds its limit, or `None` without a limit or if the sample is
    /// excluded.
    ///
    /// While both versions have traffic, a slowdown of this entry or of the whole service affects
    /// both. Afterwards it would look like a fault of the new version, so only much slower times
    /// count.
    fn exceeds(
        &self,
        pick: &Pick,
        time: Duration,
        late: f64,
        limit: Option<Duration>,
    ) -> Option<bool> {
        if pick.level < Level::FULL {
            return limit.map(|limit| time > limit);
        }
        if self.overload || late > MAX_OWN_DELAY {
            return None;
        }
        limit.map(|limit| time > limit.mul_f64(SOLE_VERSION_LIMIT_FACTOR))
    }

    fn count(&mut self, pick: &Pick, change: impl Fn(&mut Tally)) {
        let key = Key {
            slot: pick.slot,
            level: pick.level,
            route: pick.route.clone(),
        };
        change(self.evidence.cell(&self.owner.source, &key).side(pick.side));
        change(self.total.entry(key.clone()).or_default().side(pick.side));
        self.changed_cells.insert(key);
    }

    pub(super) fn publish(&mut self, now: Clock, wall: SystemTime, actions: &mut Vec<Action>) {
        if self.outcome.is_some() {
            return;
        }
        if now.saturating_sub(self.cells_published_at) >= CELLS_PUBLISH_INTERVAL
            && !self.changed_cells.is_empty()
        {
            self.cells_published_at = now;
            let source = self.owner.source.clone();
            let mut cells = Cells::new();
            for key in std::mem::take(&mut self.changed_cells) {
                let cell = self.evidence.cell(&source, &key).clone();
                cells.insert(key, cell);
            }
            actions.push(Action::Publish(Fact::Cells { source, cells }));
        }
        if now.saturating_sub(self.times_published_at) >= TIMES_PUBLISH_INTERVAL {
            self.times_published_at = now;
            actions.push(Action::Publish(Fact::Began(self.ramp.began())));
            self.publish_times(actions);
            self.update_limits(wall);
        }
    }

    fn publish_times(&mut self, actions: &mut Vec<Action>) {
        for (route, side, times) in self.evidence.times_of(&self.owner.source) {
            actions.push(Action::Publish(Fact::Times {
                source: self.owner.source.clone(),
                route: route.clone(),
                side,
                times: times.clone(),
            }));
        }
    }

    /// Derives the limits from the old version's latencies while that version still has traffic.
    fn update_limits(&mut self, wall: SystemTime) {
        if self.ramp.slot(wall) > 0 && self.level == Level::FULL {
            return;
        }
        let mut all = Times::default();
        let mut by_route = Vec::new();
        for route in &self.routes {
            let times = self.evidence.all_times(route, Side::Old);
            all.first.add(&times.first);
            all.between.add(&times.between);
            by_route.push((route, times));
        }
        for (route, times) in by_route {
            let limit = self.limits.entry(route.clone()).or_default();
            let first = slowness_limit(&times.first, &all.first);
            let between = slowness_limit(&times.between, &all.between);
            limit.first = first.or(limit.first);
            limit.between = between.or(limit.between);
        }
    }
}

/// Returns whether enough time has passed since the last counted sample, and records this one if
/// so.
fn is_independent(last_counted: &mut Option<SystemTime>, wall: SystemTime) -> bool {
    let too_close = last_counted.is_some_and(|at| {
        wall.duration_since(at)
            .is_ok_and(|since| since < MIN_SAMPLE_INTERVAL)
    });
    if !too_close {
        *last_counted = Some(wall);
    }
    !too_close
}

/// Returns the slowness limit from the route's own latencies, or from all routes while it has too
/// few.
fn slowness_limit(route: &Histogram, all: &Histogram) -> Option<Duration> {
    for times in [route, all] {
        if times.count() >= MIN_LIMIT_SAMPLES {
            return times.quantile(SLOW_QUANTILE);
        }
    }
    None
}
