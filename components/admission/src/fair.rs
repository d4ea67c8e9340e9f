//! Start-time fair queueing of the waiting teams within each priority.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use names::Clock;

/// Virtual time of one unit of cost at weight 1.
const VIRTUAL_TIME_UNIT: u64 = 1 << 10;

/// Returns how much virtual time work of this cost takes.
pub(crate) fn virtual_duration(cost: u64, weight: u64) -> u64 {
    cost.saturating_mul(VIRTUAL_TIME_UNIT) / weight.max(1)
}

/// Waiting teams of one priority, by virtual start time.
#[derive(Clone, Debug, Default)]
struct Level {
    virtual_time: u64,
    waiting: BTreeSet<(u64, usize)>,
    /// Sum of the weights of the waiting teams.
    weight: u64,
}

/// Queue of the waiting teams of all priorities.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    levels: BTreeMap<u8, Level>,
}

impl Queue {
    /// Returns the virtual time of a priority.
    pub(crate) fn virtual_time(&self, priority: u8) -> u64 {
        self.levels
            .get(&priority)
            .map_or(0, |level| level.virtual_time)
    }

    /// Advances the virtual time to the start of a request that is admitted while no team waits.
    /// `finish_tag` is that of its team. Returns the start time.
    pub(crate) fn start(&mut self, priority: u8, finish_tag: u64) -> u64 {
        let level = self.levels.entry(priority).or_default();
        level.virtual_time = level.virtual_time.max(finish_tag);
        level.virtual_time
    }

    /// Adds a waiting team, whose next request starts when its previous work finishes in virtual
    /// time.
    pub(crate) fn insert(&mut self, priority: u8, finish_tag: u64, team: usize, weight: u64) {
        let level = self.levels.entry(priority).or_default();
        let start = level.virtual_time.max(finish_tag);
        level.waiting.insert((start, team));
        level.weight += weight;
    }

    /// Removes a team that no longer waits.
    pub(crate) fn remove(&mut self, priority: u8, team: usize, weight: u64) {
        let Some(level) = self.levels.get_mut(&priority) else {
            return;
        };
        let before = level.waiting.len();
        level.waiting.retain(|(_, waiting)| *waiting != team);
        if level.waiting.len() < before {
            level.weight -= weight;
        }
    }

    /// Removes and returns the next team and its start time: of the highest priority, the one that
    /// starts first.
    pub(crate) fn pop(&mut self, weight: impl Fn(usize) -> u64) -> Option<(u64, usize)> {
        for level in self.levels.values_mut().rev() {
            if let Some((start, team)) = level.waiting.pop_first() {
                level.weight -= weight(team);
                level.virtual_time = start;
                return Some((start, team));
            }
        }
        None
    }

    /// Removes and returns a team of the highest priority and its start time: the one that is `due`
    /// first, among those whose turn comes at most `ahead` after that of the first.
    pub(crate) fn pop_due(
        &mut self,
        ahead: u64,
        due: impl Fn(usize) -> Clock,
        weight: impl Fn(usize) -> u64,
    ) -> Option<(u64, usize)> {
        for level in self.levels.values_mut().rev() {
            let Some((first, _)) = level.waiting.first().copied() else {
                continue;
            };
            let near = level
                .waiting
                .range(..=(first.saturating_add(ahead), usize::MAX));
            let next = near.min_by_key(|(start, team)| (due(*team), *start));
            let (start, team) = next.copied()?;
            level.waiting.remove(&(start, team));
            level.weight -= weight(team);
            level.virtual_time = first;
            return Some((start, team));
        }
        None
    }

    /// Returns the highest priority in which a team waits.
    pub(crate) fn highest(&self) -> Option<u8> {
        let mut levels = self.levels.iter().rev();
        let highest = levels.find(|(_, level)| !level.waiting.is_empty());
        highest.map(|(priority, _)| *priority)
    }

    /// Returns the team whose last request would be served last, and its priority: of the lowest
    /// priority in which a team waits.
    pub(crate) fn last(&self, finish_time: impl Fn(usize) -> u64) -> Option<(u8, usize)> {
        for (priority, level) in &self.levels {
            let last = level
                .waiting
                .iter()
                .max_by_key(|(_, team)| finish_time(*team));
            if let Some((_, team)) = last {
                return Some((*priority, *team));
            }
        }
        None
    }

    /// Returns the sum of the weights of all waiting teams.
    pub(crate) fn weight(&self) -> u64 {
        self.levels.values().map(|level| level.weight).sum()
    }
}
