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
    team::Member, //
};

/// Number of teams that one tick checks for being idle.
const TEAMS_PER_SWEEP: usize = 64;

/// Teams by index. Teams appear and disappear all the time; idle ones are dropped, so that the
/// table doesn't grow without bound.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    /// A vacant index keeps its last team, which no name refers to.
    members: Vec<Member>,
    free_indices: Vec<usize>,
    /// Index by team and priority: requests of one team with different priorities have separate
    /// queues, and the limits of the team apply to each.
    names: HashMap<Team, BTreeMap<u8, usize>>,
    /// Number of known queues.
    queues: usize,
    /// Index of the team that was last checked for being idle.
    sweep_index: usize,
}

impl Index<usize> for Table {
    type Output = Member;

    fn index(&self, number: usize) -> &Member {
        &self.members[number]
    }
}

impl IndexMut<usize> for Table {
    fn index_mut(&mut self, number: usize) -> &mut Member {
        &mut self.members[number]
    }
}

impl Table {
    pub(crate) fn len(&self) -> usize {
        self.queues
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
        if let Some(number) = self.index_of(team, limit.priority) {
            let member = &mut self.members[number];
            if member.queue.is_empty() {
                // The weight of a queue must not change while requests wait in it.
                member.limit = limit;
            }
            return Some(number);
        }
        if self.queues >= max_teams {
            return None;
        }
        let member = Member::new(now, team.clone(), limit);
        let number = match self.free_indices.pop() {
            Some(number) => {
                self.members[number] = member;
                number
            }
            None => {
                self.members.push(member);
                self.members.len() - 1
            }
        };
        let priorities = self.names.entry(team.clone()).or_default();
        priorities.insert(limit.priority, number);
        self.queues += 1;
        Some(number)
    }

    /// Drops teams that are idle, checking a part of the table.
    pub(crate) fn drop_idle(&mut self, now: Clock, queue: &Queue) {
        for _ in 0..TEAMS_PER_SWEEP.min(self.members.len()) {
            self.sweep_index = (self.sweep_index + 1) % self.members.len();
            let member = &self.members[self.sweep_index];
            let priorities = self.names.get(&member.name);
            if priorities.and_then(|priorities| priorities.get(&member.level))
                != Some(&self.sweep_index)
            {
                continue;
            }
            // While no request waits, shares have no effect and virtual time may stand still.
            let paid_until = if queue.weight() == 0 {
                u64::MAX
            } else {
                queue.virtual_time(member.level)
            };
            if member.is_idle(now, paid_until) {
                let (name, level) = (member.name.clone(), member.level);
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
