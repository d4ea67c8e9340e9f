//! Retries of one service over all processes of a fleet.
//!
//! When the servers of a data centre fail together, every process retries what it had there. In a
//! large fleet, reports between processes are seconds apart, so that with the totals alone each
//! process would use up the remaining retries. Processes of one data centre therefore report
//! retries to each other at once, and those of other data centres are assumed to have sent as many
//! since their last reports.

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

/// Identifier of a peer process.
pub type Peer = u64;

/// Time for which retries of the data centre are kept individually. A peer of another data centre
/// whose last report is older counts as silent.
const RETRY_HISTORY: Duration = Duration::from_secs(30);

/// Time for which the times of own retries are kept: longer than a peer that receives this process's
/// reports takes to confirm one.
const CONFIRMATION_HISTORY: Duration = Duration::from_secs(5);

/// Retry counts of a process, as it reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Totals within the window.
    pub totals: Totals,
    /// Retries since the process started.
    pub retries: u32,
    /// Retries within the window of this process and of all that report to it.
    pub live: u32,
}

/// Retries of a process that ended or stopped reporting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departed {
    /// The process.
    pub peer: Peer,
    /// Its retries within the window, by its last report.
    pub retries: u32,
    /// End of the window that may have them.
    pub counts_until: Clock,
}

/// Standing of a process among those that share a bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Share of the slack that belongs to this process and the peers that count its retries.
    pub coverage: f64,
    /// Number of processes that are known.
    pub processes: usize,
    /// Time until which all of these peers count this process's retries; `None` if it has none.
    pub confirmed_at: Option<Clock>,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    counts: Counts,
    reported_at: Clock,
    is_local: bool,
}

/// Retries of one service: those of this process and the reported ones of its peers.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    own: Quota,
    /// Retries of this process since it started.
    sent: u32,
    /// Times of its latest retries.
    sent_at: VecDeque<Clock>,
    reported: HashMap<Peer, Reported>,
    /// Retries of peers that ended or stopped reporting, until they leave the window.
    departed: HashMap<Peer, Departed>,
    /// Retries of the processes of this data centre, including this one, by the time of their
    /// reports.
    local_retries: VecDeque<(Clock, u32)>,
}

impl Retries {
    /// Counts the first attempt of a request.
    pub fn request(&mut self, now: Clock, bound: &Bound) {
        self.own.request(now, bound);
    }

    /// Takes a retry, which counts until a window after [`Retries::settle`]. Returns `false` if none
    /// is available over all processes.
    pub fn retry(
        &mut self,
        now: Clock,
        bound: &Bound,
        standing: Standing,
        purpose: Purpose,
    ) -> bool {
        self.retries(now, bound, standing, purpose, 1)
    }

    /// Takes several retries like [`Retries::retry`], or none if not all of them are available.
    pub fn retries(
        &mut self,
        now: Clock,
        bound: &Bound,
        standing: Standing,
        purpose: Purpose,
        count: u32,
    ) -> bool {
        let needed = self.needed(now, &standing, count);
        if self.left(now, bound, standing, purpose) < needed {
            return false;
        }
        for _ in 0..count {
            self.own.take();
            self.sent_at.push_back(now);
        }
        self.sent = self.sent.wrapping_add(count);
        self.record_local(now, count);
        true
    }

    /// Returns how many more retries are available over all processes.
    pub fn left(&mut self, now: Clock, bound: &Bound, standing: Standing, purpose: Purpose) -> f64 {
        let peers = self.peers(now, bound, standing.coverage);
        self.own.available(now, bound, peers, purpose)
    }

    /// Returns how many retries must be available for `count` more. What peers don't count yet, each
    /// process may take for unused, so that this one takes only its part of it.
    fn needed(&mut self, now: Clock, standing: &Standing, count: u32) -> f64 {
        while let Some(first) = self.sent_at.front()
            && now.saturating_sub(*first) > CONFIRMATION_HISTORY
        {
            self.sent_at.pop_front();
        }
        let Some(confirmed_at) = standing.confirmed_at else {
            return f64::from(count);
        };
        let unconfirmed = self.sent_at.iter().rev();
        let unconfirmed = unconfirmed.take_while(|at| **at >= confirmed_at).count();
        let others = standing.processes.saturating_sub(1);
        // Of what was available before the unconfirmed ones, this process takes one part in all.
        f64::from(count) + (unconfirmed as f64 + f64::from(count)) * others as f64
    }

    /// Records that a retry has arrived at its server, or won't any more.
    pub fn settle(&mut self, now: Clock, bound: &Bound) {
        self.own.settle(now, bound);
    }

    /// Returns the retries of the other processes, as reported or estimated.
    pub fn peers(&mut self, now: Clock, bound: &Bound, coverage: f64) -> Peers {
        let reported = self.reported.values();
        // A peer may have heard from processes that this one hasn't.
        let told = reported.map(|reported| reported.counts.live).max();
        let live = self.live(now, bound);
        let departed = self.departed(now).map(|departed| departed.retries);
        let mut totals = Totals {
            requests: 0,
            retries: departed.sum::<u32>() + told.unwrap_or(0).saturating_sub(live),
        };
        let mut local_processes = 1;
        let mut unreported = 0;
        for reported in self.reported.values() {
            totals.requests += reported.counts.totals.requests;
            totals.retries += reported.counts.totals.retries;
            match reported.is_local {
                true => local_processes += 1,
                false => unreported += self.local_since(reported.reported_at),
            }
        }
        // Each remote process is assumed to send as many as one of this data centre.
        let unreported = f64::from(unreported) / f64::from(local_processes);
        Peers {
            totals,
            coverage,
            unreported,
        }
    }

    /// Returns the counts that this process reports to its peers.
    pub fn counts(&mut self, now: Clock, bound: &Bound) -> Counts {
        Counts {
            totals: self.own.totals(now, bound),
            retries: self.sent,
            live: self.live(now, bound),
        }
    }

    fn live(&mut self, now: Clock, bound: &Bound) -> u32 {
        let reported = self.reported.values();
        let reported = reported.map(|reported| reported.counts.totals.retries);
        self.own.totals(now, bound).retries + reported.sum::<u32>()
    }

    /// Records the counts that a peer reported; `is_local` says whether it is in the same data
    /// centre.
    pub fn record_peer(&mut self, now: Clock, peer: Peer, counts: Counts, is_local: bool) {
        let reported_at = now;
        self.departed.remove(&peer);
        let before = self.reported.insert(
            peer,
            Reported {
                counts,
                reported_at,
                is_local,
            },
        );
        let Some(before) = before.filter(|_| is_local) else {
            return;
        };
        let added = counts.retries.wrapping_sub(before.counts.retries);
        // Messages can arrive out of order.
        if added > 0 && added < u32::MAX / 2 {
            self.record_local(now, added);
        }
    }

    /// Removes a peer that ended or stopped reporting, and returns its last totals. Its retries count
    /// until they leave the window.
    pub fn forget(&mut self, peer: Peer, window: Duration) -> Option<Totals> {
        let reported = self.reported.remove(&peer)?;
        self.record_departed(Departed {
            peer,
            retries: reported.counts.totals.retries,
            counts_until: reported.reported_at + window,
        });
        Some(reported.counts.totals)
    }

    /// Records what another process knows of one that ended or stopped reporting.
    pub fn record_departed(&mut self, departed: Departed) {
        let reports = self.reported.contains_key(&departed.peer);
        if !reports && departed.retries > 0 {
            self.departed.entry(departed.peer).or_insert(departed);
        }
    }

    /// Returns the retries of peers that ended or stopped reporting.
    pub fn departed(&mut self, now: Clock) -> impl Iterator<Item = Departed> {
        self.departed
            .retain(|_, departed| departed.counts_until > now);
        self.departed.values().copied()
    }

    fn record_local(&mut self, now: Clock, retries: u32) {
        self.local_retries.push_back((now, retries));
        while let Some((first, _)) = self.local_retries.front()
            && now.saturating_sub(*first) > RETRY_HISTORY
        {
            self.local_retries.pop_front();
        }
    }

    fn local_since(&self, at: Clock) -> u32 {
        let since = self
            .local_retries
            .iter()
            .rev()
            .take_while(|(sent, _)| *sent >= at);
        since.map(|(_, retries)| retries).sum()
    }
}
