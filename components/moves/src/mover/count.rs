//! Counting this entry's own requests, and telling the others.

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

/// Time between two tellings of the cells that changed.
const CELLS_EVERY: Duration = Duration::from_secs(1);

/// Time between two tellings of the histograms.
const TIMES_EVERY: Duration = Duration::from_secs(20);

/// A time slower than this share of the old version's times is slow.
const SLOW: f64 = 0.9;

/// Part of a time by which an entry may run late itself. Lateness is seen by samples, so that little
/// of it stands for more.
const LATE: f64 = 0.01;

/// Multiple of the limit beyond which a time is slow when there is no old version to compare with. A
/// day's load slows a service by some tens of percent; times gather below the limit, so that a
/// little more carries most of them over it.
const MUCH: f64 = 1.3;

/// Time between two times that are counted when there is no old version to compare with. Answers
/// that overlap are slowed by the same thing, and would count as many signs of it.
const APART: Duration = Duration::from_millis(100);

/// Fewest times of the old version from which a limit is taken.
const ENOUGH_TIMES: u64 = 12;

/// Failing requests that are remembered, so that a retry isn't counted again.
const REMEMBERED: usize = 4096;

impl Mover {
    pub(super) fn first(
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
        if pick.level == Level::FULL && !apart(&mut self.first_counted_at, wall) {
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

    pub(super) fn finished(
        &mut self,
        pick: &Pick,
        ending: Ending,
        wall: SystemTime,
        out: &mut Vec<Action>,
    ) {
        match ending {
            Ending::Inconclusive => {}
            Ending::Failed => self.failed(pick, wall, out),
            Ending::Completed => self.count(pick, |tally| tally.requests += 1),
        }
    }

    fn failed(&mut self, pick: &Pick, wall: SystemTime, out: &mut Vec<Action>) {
        // The pick's hash is small for the new version; the other half is as good for both.
        let hash = (pick.hash & u64::from(u32::MAX)) as u32;
        if self.failed_hashes.contains(&hash) {
            return;
        }
        self.remember(hash);
        self.count(pick, |tally| {
            tally.requests += 1;
            tally.failed += 1;
            tally.failures.add(hash);
        });
        if pick.side == Side::New {
            self.judge(wall, out);
        }
    }

    /// Remembers a failing request. The smallest hashes stay, as in the sketches of the cells.
    pub(super) fn remember(&mut self, hash: u32) {
        self.failed_hashes.insert(hash);
        if self.failed_hashes.len() > REMEMBERED {
            self.failed_hashes.pop_last();
        }
    }

    pub(super) fn between(
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
        if pick.level == Level::FULL && !apart(&mut self.between_counted_at, wall) {
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

    /// Whether a time is over its limit; none when there is no limit, or the time doesn't count.
    ///
    /// While both versions have traffic, what slows this entry or the whole service down slows both.
    /// Afterwards it would look like the new version's fault, so that only much slower times count.
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
        if self.overload || late > LATE {
            return None;
        }
        limit.map(|limit| time > limit.mul_f64(MUCH))
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

    pub(super) fn tell(&mut self, now: Clock, wall: SystemTime, actions: &mut Vec<Action>) {
        if self.outcome.is_some() {
            return;
        }
        if now.saturating_sub(self.cells_published_at) >= CELLS_EVERY
            && !self.changed_cells.is_empty()
        {
            self.cells_published_at = now;
            let source = self.owner.source.clone();
            let mut cells = Cells::new();
            for key in std::mem::take(&mut self.changed_cells) {
                let pair = self.evidence.cell(&source, &key).clone();
                cells.insert(key, pair);
            }
            actions.push(Action::Publish(Fact::Cells { source, cells }));
        }
        if now.saturating_sub(self.times_published_at) >= TIMES_EVERY {
            self.times_published_at = now;
            actions.push(Action::Publish(Fact::Began(self.ramp.began())));
            self.tell_times(actions);
            self.set_limits(wall);
        }
    }

    fn tell_times(&mut self, actions: &mut Vec<Action>) {
        for (route, side, times) in self.evidence.times_of(&self.owner.source) {
            actions.push(Action::Publish(Fact::Times {
                source: self.owner.source.clone(),
                route: route.clone(),
                side,
                times: times.clone(),
            }));
        }
    }

    /// Takes the limits from the old version's times, while it has traffic to take them from.
    fn set_limits(&mut self, wall: SystemTime) {
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
            let first = quantile(&times.first, &all.first);
            let between = quantile(&times.between, &all.between);
            limit.first = first.or(limit.first);
            limit.between = between.or(limit.between);
        }
    }
}

/// Whether a time is far enough from the one that was counted before; notes it if so.
fn apart(before: &mut Option<SystemTime>, wall: SystemTime) -> bool {
    let near = before.is_some_and(|at| wall.duration_since(at).is_ok_and(|since| since < APART));
    if !near {
        *before = Some(wall);
    }
    !near
}

/// The limit of slowness by a route's own times, or by all routes' while it has too few.
fn quantile(route: &Histogram, all: &Histogram) -> Option<Duration> {
    for times in [route, all] {
        if times.count() >= ENOUGH_TIMES {
            return times.quantile(SLOW);
        }
    }
    None
}
