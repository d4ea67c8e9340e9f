//! Order among the teams that wait: start-time fair queueing within each priority.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Virtual time of one unit of cost at weight 1.
const UNIT: u64 = 1 << 10;

/// Virtual time that work takes.
pub(crate) fn length(cost: u64, weight: u64) -> u64 {
    cost.saturating_mul(UNIT) / weight.max(1)
}

/// One priority: its virtual time, and the teams that wait by the time at which they start.
#[derive(Clone, Debug, Default)]
struct Level {
    time: u64,
    waiting: BTreeSet<(u64, usize)>,
    /// Sum of the weights of the teams that wait.
    weight: u64,
}

/// All priorities.
#[derive(Clone, Debug, Default)]
pub(crate) struct Order {
    levels: BTreeMap<u8, Level>,
}

impl Order {
    /// Virtual time of a priority.
    pub(crate) fn time(&self, priority: u8) -> u64 {
        self.levels.get(&priority).map_or(0, |level| level.time)
    }

    /// Starts work of a team that didn't wait, while nobody else did; gives the time at which it
    /// starts.
    pub(crate) fn start(&mut self, priority: u8, paid: u64) -> u64 {
        let level = self.levels.entry(priority).or_default();
        level.time = level.time.max(paid);
        level.time
    }

    /// Puts a team in, to start at the time at which its work so far is paid.
    pub(crate) fn wait(&mut self, priority: u8, paid: u64, team: usize, weight: u64) {
        let level = self.levels.entry(priority).or_default();
        let start = level.time.max(paid);
        level.waiting.insert((start, team));
        level.weight += weight;
    }

    /// Takes a team out that no longer waits.
    pub(crate) fn leave(&mut self, priority: u8, team: usize, weight: u64) {
        let Some(level) = self.levels.get_mut(&priority) else {
            return;
        };
        let before = level.waiting.len();
        level.waiting.retain(|(_, waiting)| *waiting != team);
        if level.waiting.len() < before {
            level.weight -= weight;
        }
    }

    /// Takes out the team that goes next, with the time at which it starts: of the highest
    /// priority the one that starts first.
    pub(crate) fn next(&mut self, weight: impl Fn(usize) -> u64) -> Option<(u64, usize)> {
        for level in self.levels.values_mut().rev() {
            if let Some((start, team)) = level.waiting.pop_first() {
                level.weight -= weight(team);
                level.time = start;
                return Some((start, team));
            }
        }
        None
    }

    /// The team whose last request would be served last, with its priority: of the lowest priority
    /// that anything waits in.
    pub(crate) fn last(&self, tail: impl Fn(usize) -> u64) -> Option<(u8, usize)> {
        for (priority, level) in &self.levels {
            let last = level.waiting.iter().max_by_key(|(_, team)| tail(*team));
            if let Some((_, team)) = last {
                return Some((*priority, *team));
            }
        }
        None
    }

    /// Weights of all waiting teams.
    pub(crate) fn weight(&self) -> u64 {
        self.levels.values().map(|level| level.weight).sum()
    }
}
