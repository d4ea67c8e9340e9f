//! Where prefixes are believed to be cached.

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

/// Replicas remembered for a prefix.
const HOLDERS: usize = 4;

/// What happened to a prefix in a replica's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It is cached now.
    Stored,
    /// It is no longer cached.
    Evicted,
}

/// A cache event. Events come late, and some never come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, one up each event of a replica.
    pub seq: u64,
    /// What happened.
    pub kind: Kind,
    /// To which prefix.
    pub prefix: Prefix,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    member: usize,
    seen: Clock,
}

/// Which members hold which prefixes. It is a hint: a wrong one costs a prompt read anew, never
/// more.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    holders: HashMap<Prefix, Vec<Holder>>,
    /// Prefixes in the order in which they came.
    order: VecDeque<Prefix>,
}

impl Cache {
    pub(crate) fn seen(&mut self, now: Clock, prefix: Prefix, member: usize, settings: &Settings) {
        let known = self.holders.len();
        let holders = self.holders.entry(prefix).or_default();
        match holders.iter_mut().find(|holder| holder.member == member) {
            Some(holder) => holder.seen = now,
            None => {
                if holders.len() >= HOLDERS {
                    // The one seen longest ago is the least likely to have it still.
                    let oldest = holders.iter().enumerate().min_by_key(|(_, h)| h.seen);
                    if let Some((oldest, _)) = oldest {
                        holders.swap_remove(oldest);
                    }
                }
                holders.push(Holder { member, seen: now });
            }
        }
        if self.holders.len() > known {
            self.order.push_back(prefix);
        }
        while self.order.len() > settings.max_prefixes {
            if let Some(gone) = self.order.pop_front() {
                self.holders.remove(&gone);
            }
        }
    }

    pub(crate) fn gone(&mut self, prefix: Prefix, member: usize) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.member != member);
        }
    }

    /// Members that are believed to hold the prefix.
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
            // Whatever was seen before it joined is about another process of that place.
            if holder.seen < member.since {
                return None;
            }
            let doubted = holder.seen < member.doubt;
            let time = if doubted {
                settings.doubtful_prefix_ttl
            } else {
                settings.prefix_ttl
            };
            (now.saturating_sub(holder.seen) < time).then_some(holder.member)
        })
    }
}
