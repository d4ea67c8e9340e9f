//! Demand for one service at each of several processes that share a limit.
//!
//! All processes divide the limit by the demand that each last told the others, its own included.
//! If a process went by what it has got since, then at the start of a burst every process would
//! take itself for the only one with requests.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use names::Clock;

use crate::retries::Peer;

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Time over which requests are counted when the demand has just changed.
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// Length of the buckets in which requests are counted.
const BUCKET: Duration = Duration::from_millis(250);

/// Requests of this process and of its peers.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Start of each bucket and its requests, oldest first.
    buckets: VecDeque<(Clock, u32)>,
    /// Time from which on requests count.
    since: Clock,
    /// Count that this process last reported.
    reported: u32,
    /// Counts that peers last reported.
    peers: HashMap<Peer, u32>,
}

impl Demand {
    /// Counts a request, whether it can be sent or not.
    pub fn request(&mut self, now: Clock) {
        match self.buckets.back_mut() {
            Some((start, count)) if now.saturating_sub(*start) < BUCKET => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
        self.expire(now);
    }

    /// Returns the count that is reported to the peers now, and divides the limit by it from now
    /// on.
    pub fn report(&mut self, now: Clock) -> u32 {
        self.expire(now);
        let count: u32 = self.buckets.iter().map(|(_, count)| count).sum();
        let covered = now.saturating_sub(self.since).clamp(MIN_WINDOW, WINDOW);
        self.reported = (f64::from(count) * WINDOW.div_duration_f64(covered)).round() as u32;
        self.reported
    }

    /// Records the count that a peer reported.
    pub fn record_peer(&mut self, peer: Peer, count: u32) {
        self.peers.insert(peer, count);
    }

    /// Removes a peer that ended or stopped reporting.
    pub fn forget(&mut self, peer: Peer) {
        self.peers.remove(&peer);
    }

    /// Returns the part of this process in the demand at `processes` processes. One that has
    /// reported nothing counts like this one, and each as one request more, so that none has no
    /// part at all.
    pub fn share(&self, processes: usize) -> f64 {
        let own = f64::from(self.reported) + 1.0;
        let peers = self.peers.values().map(|count| f64::from(*count) + 1.0);
        let unheard = processes.saturating_sub(self.peers.len() + 1) as f64;
        own / (own + peers.sum::<f64>() + own * unheard)
    }

    /// Returns the part of some peers in the demand at `processes` processes.
    pub fn part(&self, peers: impl IntoIterator<Item = Peer>, processes: usize) -> f64 {
        let peers = peers.into_iter().filter_map(|peer| self.peers.get(&peer));
        let count: f64 = peers.map(|count| f64::from(*count) + 1.0).sum();
        count * self.share(processes) / (f64::from(self.reported) + 1.0)
    }

    /// Records that the demand has changed: requests that came before say little about it. Does
    /// nothing soon after the last time.
    pub fn restart(&mut self, now: Clock) {
        if now.saturating_sub(self.since) < WINDOW {
            return;
        }
        let is_old = |start: Clock| now.saturating_sub(start) > MIN_WINDOW;
        while let Some((start, _)) = self.buckets.front()
            && is_old(*start)
        {
            self.buckets.pop_front();
        }
        self.since = now.saturating_sub(MIN_WINDOW);
        self.report(now);
    }

    fn expire(&mut self, now: Clock) {
        while let Some((start, _)) = self.buckets.front()
            && now.saturating_sub(*start) > WINDOW
        {
            self.buckets.pop_front();
        }
    }
}
