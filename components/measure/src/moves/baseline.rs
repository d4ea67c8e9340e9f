//! What the movers are compared with: a fixed ramp with thresholds, and an immediate switch.

use std::collections::VecDeque;

use moves::{
    Level,
    Side,
    step::Pick, //
};

use super::traffic::{
    Fate,
    ROUTES, //
};

/// Length of the window over which the thresholds are checked, in seconds. It reaches further back
/// until it holds enough requests of the new version.
const WINDOW: f64 = 300.0;

/// Fewest requests of the new version in the window.
const FEWEST: u32 = 20;

/// Share of failing requests that takes the new version back.
const FAILED: f64 = 0.03;

/// Factor between the versions' mean times that takes the new version back.
const SLOWER: f64 = 1.5;

/// How the share is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Grows with time up to 54 minutes; thresholds over the last five minutes, checked each one.
    Ramp,
    /// All at once, with the same thresholds on failures; there is nothing to compare times with.
    Switch,
}

/// One ended request.
struct Sample {
    at: f64,
    new: bool,
    failed: bool,
    first: f64,
    between: f64,
}

/// A rule's state: one for all entries, without any delay between them.
pub struct Baseline {
    rule: Rule,
    window: VecDeque<Sample>,
    /// Share of the new version.
    pub share: f64,
    /// Whether the new version was taken back.
    pub reverted: bool,
    checked: f64,
}

impl Baseline {
    /// Starts a rule.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            window: VecDeque::new(),
            share: 0.0,
            reverted: false,
            checked: 0.0,
        }
    }

    /// Picks a version.
    pub fn pick(&self, route: usize, hash: u64) -> Pick {
        let point = hash as f64 / u64::MAX as f64;
        Pick {
            side: if point < self.share {
                Side::New
            } else {
                Side::Old
            },
            level: Level::ZERO,
            slot: 0,
            route: ROUTES[route].0.into(),
            hash,
        }
    }

    /// A request ended.
    pub fn finished(&mut self, pick: &Pick, fate: &Fate, now: f64) {
        self.window.push_back(Sample {
            at: now,
            new: pick.side == Side::New,
            failed: fate.fails,
            first: fate.first.as_secs_f64(),
            between: fate.between.as_secs_f64(),
        });
    }

    /// A second passed.
    pub fn tick(&mut self, now: f64) {
        if self.reverted {
            return;
        }
        self.share = match self.rule {
            Rule::Ramp => (now / 3240.0).min(1.0),
            Rule::Switch => 1.0,
        };
        if now - self.checked < 60.0 {
            return;
        }
        self.checked = now;
        let mut new = self.window.iter().filter(|sample| sample.new).count();
        while let Some(sample) = self.window.front() {
            let needed = sample.new && new <= FEWEST as usize;
            if sample.at >= now - WINDOW || needed {
                break;
            }
            new -= usize::from(sample.new);
            self.window.pop_front();
        }
        if self.is_bad() {
            self.reverted = true;
            self.share = 0.0;
        }
    }

    fn is_bad(&self) -> bool {
        let mut counts = [0; 2];
        let mut failed = 0;
        let mut first = [0.0; 2];
        let mut between = [0.0; 2];
        for sample in &self.window {
            let side = usize::from(sample.new);
            counts[side] += 1;
            failed += u32::from(sample.new && sample.failed);
            first[side] += sample.first;
            between[side] += sample.between;
        }
        if counts[1] < FEWEST {
            return false;
        }
        if f64::from(failed) > FAILED * f64::from(counts[1]) {
            return true;
        }
        if counts[0] < FEWEST {
            return false;
        }
        let mean = |sums: [f64; 2], side: usize| sums[side] / f64::from(counts[side]);
        mean(first, 1) > SLOWER * mean(first, 0) || mean(between, 1) > SLOWER * mean(between, 0)
    }
}
