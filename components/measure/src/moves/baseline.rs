//! Baselines for the movers: a fixed ramp with thresholds, and an immediate switch.

use std::collections::VecDeque;

use moves::{
    Level,
    Side,
    step::Pick, //
};

use super::traffic::{
    ROUTES,
    RequestResult, //
};

/// Length of the window over which the thresholds are checked. It extends further back until it
/// holds [`MIN_REQUESTS`] of the new version.
const WINDOW_SECONDS: f64 = 300.0;

/// Minimum number of requests of a version in the window for its thresholds to apply.
const MIN_REQUESTS: u32 = 20;

/// Share of failed requests above which the new version is reverted.
const MAX_FAILED_SHARE: f64 = 0.03;

/// Factor between the versions' mean times above which the new version is reverted.
const MAX_SLOWDOWN: f64 = 1.5;

/// How the new version's share of the traffic is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Grows linearly to all traffic in 54 minutes. The thresholds are checked every minute, over
    /// the last five minutes.
    Ramp,
    /// All traffic at once, with the same threshold on failures. Times can't be compared, as the
    /// old version gets no requests.
    Switch,
}

/// A finished request.
struct FinishedRequest {
    at: f64,
    new: bool,
    failed: bool,
    first: f64,
    between: f64,
}

/// State of a rule. All entries share it without delay.
pub struct Baseline {
    rule: Rule,
    window: VecDeque<FinishedRequest>,
    /// The new version's share of the traffic.
    pub share: f64,
    /// Whether the new version was reverted.
    pub reverted: bool,
    checked_at: f64,
}

impl Baseline {
    /// Creates the state at the start of a move.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            window: VecDeque::new(),
            share: 0.0,
            reverted: false,
            checked_at: 0.0,
        }
    }

    /// Picks the version for a request.
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

    /// Records a finished request.
    pub fn finished(&mut self, pick: &Pick, result: &RequestResult, now: f64) {
        self.window.push_back(FinishedRequest {
            at: now,
            new: pick.side == Side::New,
            failed: result.fails,
            first: result.first.as_secs_f64(),
            between: result.between.as_secs_f64(),
        });
    }

    /// Updates the share and checks the thresholds; called every second of virtual time.
    pub fn tick(&mut self, now: f64) {
        if self.reverted {
            return;
        }
        self.share = match self.rule {
            Rule::Ramp => (now / 3240.0).min(1.0),
            Rule::Switch => 1.0,
        };
        if now - self.checked_at < 60.0 {
            return;
        }
        self.checked_at = now;
        let mut new = self.window.iter().filter(|request| request.new).count();
        while let Some(request) = self.window.front() {
            let needed = request.new && new <= MIN_REQUESTS as usize;
            if request.at >= now - WINDOW_SECONDS || needed {
                break;
            }
            new -= usize::from(request.new);
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
        for request in &self.window {
            let side = usize::from(request.new);
            counts[side] += 1;
            failed += u32::from(request.new && request.failed);
            first[side] += request.first;
            between[side] += request.between;
        }
        if counts[1] < MIN_REQUESTS {
            return false;
        }
        if f64::from(failed) > MAX_FAILED_SHARE * f64::from(counts[1]) {
            return true;
        }
        if counts[0] < MIN_REQUESTS {
            return false;
        }
        let mean = |sums: [f64; 2], side: usize| sums[side] / f64::from(counts[side]);
        mean(first, 1) > MAX_SLOWDOWN * mean(first, 0)
            || mean(between, 1) > MAX_SLOWDOWN * mean(between, 0)
    }
}
