//! Table of the known teams.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    ops::{
        Index,
        IndexMut, //
    },
};

use names::{
    Clock,
    Team, //
};

use crate::{
    Limit,
    fair::Queue,
    team::State, //
};

/// Number of queues that one tick checks for being idle.
const QUEUES_PER_SWEEP: usize = 64;

/// States of the teams' queues by index. Teams appear and disappear all the time; idle ones are
/// dropped, so that the table doesn't grow without bound.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    /// A vacant index keeps the state of its last team, which no name refers to.
    states: Vec<State>,
    free_indices: Vec<usize>,
    /// Index by team and priority: requests of one team with different priorities have separate
    /// queues, and the limits of the team apply to each.
    names: HashMap<Team, BTreeMap<u8, usize>>,
    /// Number of known queues.
    queues: usize,
    /// Index of the queue that was last checked for being idle.
    sweep_index: usize,
}

impl Index<usize> for Table {
    type Output = State;

    fn index(&self, index: usize) -> &State {
        &self.states[index]
    }
}

impl IndexMut<usize> for Table {
    fn index_mut(&mut self, index: usize) -> &mut State {
        &mut self.states[index]
    }
}

impl Table {
    pub(crate) fn len(&self) -> usize {
        self.queues
    }

    /// Returns the number of running requests with at least a priority.
    pub(crate) fn running(&self, priority: u8) -> u32 {
        let states = self.states.iter();
        let states = states.filter(|state| state.level >= priority);
        states.map(|state| state.running).sum()
    }

    pub(crate) fn index_of(&self, team: &Team, priority: u8) -> Option<usize> {
        self.names.get(team)?.get(&priority).copied()
    }

    /// Returns the index of the team with its current limits, adding it if necessary, or `None` if
    /// the table is full.
    pub(crate) fn get_or_insert(
        &mut self,
        now: Clock,
        team: &Team,
        limit: Limit,
        max_teams: usize,
    ) -> Option<usize> {
        if let Some(index) = self.index_of(team, limit.priority) {
            let state = &mut self.states[index];
            if state.queue.is_empty() {
                // The weight of a queue must not change while requests wait in it.
                state.limit = limit;
            }
            return Some(index);
        }
        if self.queues >= max_teams {
            return None;
        }
        let state = State::new(now, team.clone(), limit);
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.states[index] = state;
                index
            }
            None => {
                self.states.push(state);
                self.states.len() - 1
            }
        };
        let priorities = self.names.entry(team.clone()).or_default();
        priorities.insert(limit.priority, index);
        self.queues += 1;
        Some(index)
    }

    /// Drops idle queues. Each call checks [`QUEUES_PER_SWEEP`] of them.
    pub(crate) fn drop_idle(&mut self, now: Clock, queue: &Queue) {
        for _ in 0..QUEUES_PER_SWEEP.min(self.states.len()) {
            self.sweep_index = (self.sweep_index + 1) % self.states.len();
            let state = &self.states[self.sweep_index];
            let priorities = self.names.get(&state.name);
            if priorities.and_then(|priorities| priorities.get(&state.level))
                != Some(&self.sweep_index)
            {
                continue;
            }
            // While no request waits, shares have no effect and virtual time may stand still.
            let virtual_time = if queue.weight() == 0 {
                u64::MAX
            } else {
                queue.virtual_time(state.level)
            };
            if state.is_idle(now, virtual_time) {
                let (name, level) = (state.name.clone(), state.level);
                self.free_indices.push(self.sweep_index);
                self.queues -= 1;
                if let Some(priorities) = self.names.get_mut(&name) {
                    priorities.remove(&level);
                    if priorities.is_empty() {
                        self.names.remove(&name);
                    }
                }
            }
        }
    }
}
