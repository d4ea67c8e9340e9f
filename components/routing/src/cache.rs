//! Index of the replicas that are assumed to cache each prefix.

use std::collections::{
    HashMap,
    VecDeque, //
};

use names::Clock;

use crate::{
    Prefix,
    Settings,
    member::Member, //
};

const MAX_HOLDERS_PER_PREFIX: usize = 4;

/// Type of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The replica stored the prefix.
    Stored,
    /// The replica evicted the prefix.
    Evicted,
}

/// A cache event of a replica. Events can be delayed or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Sequence number; a replica increments it by one for each event.
    pub seq: u64,
    /// Type of the event.
    pub kind: Kind,
    /// Prefix that was stored or evicted.
    pub prefix: Prefix,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    member: usize,
    last_seen: Clock,
}

/// Members that hold each prefix. The index is a hint: a wrong holder costs one repeated prefill
/// and nothing else.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    holders: HashMap<Prefix, Vec<Holder>>,
    /// Prefixes, the oldest first.
    insertion_order: VecDeque<Prefix>,
}

impl Cache {
    pub(crate) fn insert(
        &mut self,
        now: Clock,
        prefix: Prefix,
        member: usize,
        settings: &Settings,
    ) {
        let count = self.holders.len();
        let holders = self.holders.entry(prefix).or_default();
        match holders.iter_mut().find(|holder| holder.member == member) {
            Some(holder) => holder.last_seen = now,
            None => {
                if holders.len() >= MAX_HOLDERS_PER_PREFIX {
                    // The least recently seen holder is the most likely to have evicted it.
                    let oldest = holders.iter().enumerate().min_by_key(|(_, h)| h.last_seen);
                    if let Some((oldest, _)) = oldest {
                        holders.swap_remove(oldest);
                    }
                }
                holders.push(Holder {
                    member,
                    last_seen: now,
                });
            }
        }
        if self.holders.len() > count {
            self.insertion_order.push_back(prefix);
        }
        while self.insertion_order.len() > settings.max_prefixes {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    pub(crate) fn remove(&mut self, prefix: Prefix, member: usize) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.member != member);
        }
    }

    /// Returns the members that are assumed to hold the prefix.
    pub(crate) fn holders(
        &self,
        now: Clock,
        prefix: Prefix,
        members: &[Member],
        settings: &Settings,
    ) -> impl Iterator<Item = usize> {
        let holders = self.holders.get(&prefix).map_or(&[][..], Vec::as_slice);
        holders.iter().filter_map(move |holder| {
            let member = members.get(holder.member)?;
            // Events from before the member joined refer to a previous replica at the same index.
            if holder.last_seen < member.joined_at {
                return None;
            }
            let is_doubtful = holder.last_seen < member.cache_doubtful_before;
            let ttl = if is_doubtful {
                settings.doubtful_prefix_ttl
            } else {
                settings.prefix_ttl
            };
            (now.saturating_sub(holder.last_seen) < ttl).then_some(holder.member)
        })
    }
}
