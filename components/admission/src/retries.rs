//! Retries of one service over all entries of a fleet.
//!
//! The load that it answers: the servers of a data centre end at one moment, and every entry sends
//! again what it had there. In a large fleet entries hear from one another seconds apart, so that
//! sums alone would let each of them use up what is left. Those of a data centre tell one another of
//! retries at once; the other data centres are taken to have sent as many since they were last
//! heard.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use names::Clock;

use crate::quota::{
    Bound,
    Peers,
    Purpose,
    Quota,
    Totals, //
};

/// Number of a peer.
pub type Peer = u64;

/// Time for which retries of the data centre are remembered one by one. A peer of another data
/// centre that was heard before that is silent.
const REMEMBERED: Duration = Duration::from_secs(30);

/// What a peer says that it sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Within the window.
    pub totals: Totals,
    /// Retries since it started.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    told: Counts,
    at: Clock,
    near: bool,
}

/// Retries of one service: this entry's, and what is known of the others'.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    own: Quota,
    /// Retries of this entry since it started.
    sent: u32,
    heard: HashMap<Peer, Heard>,
    /// Retries of the data centre's entries, this one's among them, as they were heard of.
    near: VecDeque<(Clock, u32)>,
}

impl Retries {
    /// Counts a request's first send.
    pub fn request(&mut self, now: Clock, bound: &Bound) {
        self.own.request(now, bound);
    }

    /// Takes a retry, if there is one left over all entries. `known` is the part of all entries that
    /// are heard, this one among them.
    pub fn retry(&mut self, now: Clock, bound: &Bound, known: f64, purpose: Purpose) -> bool {
        let others = self.others(known);
        let left = self.own.retry(now, bound, others, purpose);
        if left {
            self.sent = self.sent.wrapping_add(1);
            self.note_near(now, 1);
        }
        left
    }

    /// What the others sent, as far as it is known or has to be assumed.
    pub fn others(&self, known: f64) -> Peers {
        let mut totals = Totals::default();
        let mut near = 1;
        let mut unheard = 0;
        for heard in self.heard.values() {
            totals.requests += heard.told.totals.requests;
            totals.retries += heard.told.totals.retries;
            match heard.near {
                true => near += 1,
                false => unheard += self.near_since(heard.at),
            }
        }
        // For each entry elsewhere, as many as one of the data centre's sent.
        let unheard = f64::from(unheard) / f64::from(near);
        Peers {
            totals,
            coverage: known,
            unreported: unheard,
        }
    }

    /// What this entry sent.
    pub fn counts(&mut self, now: Clock, bound: &Bound) -> Counts {
        Counts {
            totals: self.own.totals(now, bound),
            retries: self.sent,
        }
    }

    /// Takes what a peer sent; `near` when it is of the same data centre.
    pub fn record_peer(&mut self, now: Clock, peer: Peer, told: Counts, near: bool) {
        let at = now;
        let before = self.heard.insert(peer, Heard { told, at, near });
        let Some(before) = before.filter(|_| near) else {
            return;
        };
        let more = told.retries.wrapping_sub(before.told.retries);
        // Messages may overtake one another.
        if more > 0 && more < u32::MAX / 2 {
            self.note_near(now, more);
        }
    }

    /// Forgets a peer that ended or fell silent.
    pub fn forget(&mut self, peer: Peer) {
        self.heard.remove(&peer);
    }

    fn note_near(&mut self, now: Clock, retries: u32) {
        self.near.push_back((now, retries));
        while let Some((first, _)) = self.near.front()
            && now.saturating_sub(*first) > REMEMBERED
        {
            self.near.pop_front();
        }
    }

    fn near_since(&self, at: Clock) -> u32 {
        let since = self.near.iter().rev().take_while(|(sent, _)| *sent >= at);
        since.map(|(_, retries)| retries).sum()
    }
}
