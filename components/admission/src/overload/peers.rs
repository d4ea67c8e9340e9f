//! What peers tell about a service that is over capacity.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::Clock;

use crate::retries::Peer;

use super::Rates;

/// Time for which it counts that a peer finds the service over capacity.
const TOLD_TTL: Duration = Duration::from_secs(1);

/// Time for which a peer's report counts as one of an overload that goes on: several intervals of
/// reports in a large fleet.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Part of the demand that comes to peers over capacity from which the service is so here.
const MIN_PART: f64 = 0.5;

/// Reports of peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    /// Time until which one late or rejected request is enough, as a peer is over capacity.
    until: Clock,
    /// What each peer over capacity told last, and when.
    reports: BTreeMap<Peer, (Clock, Rates)>,
    /// Part of the demand that comes to such peers.
    part: f64,
}

impl Peers {
    /// Returns whether a peer found the service over capacity recently.
    pub(super) fn is_told(&self, now: Clock) -> bool {
        now < self.until
    }

    /// Returns whether most of the demand comes to peers over capacity.
    pub(super) fn is_most(&self, now: Clock) -> bool {
        self.is_told(now) && self.part >= MIN_PART
    }

    /// Records that a peer finds the service over capacity; one of an earlier release tells no
    /// rates.
    pub(super) fn record(&mut self, now: Clock, peer: Peer, rates: Option<Rates>) {
        self.until = now + TOLD_TTL;
        if let Some(rates) = rates {
            self.reports.insert(peer, (now, rates));
        }
    }

    /// Removes a peer that no longer finds the service over capacity, or that ended.
    pub(super) fn remove(&mut self, peer: Peer) {
        self.reports.remove(&peer);
    }

    /// Returns the peers over capacity.
    pub(super) fn iter(&mut self, now: Clock) -> impl Iterator<Item = Peer> {
        let is_recent = |at: Clock| now.saturating_sub(at) <= REPORT_TTL;
        self.reports.retain(|_, (at, _)| is_recent(*at));
        self.reports.keys().copied()
    }

    /// Returns what peers over capacity learnt.
    pub(super) fn rates(&self) -> impl Iterator<Item = Rates> {
        self.reports.values().map(|(_, rates)| *rates)
    }

    /// Updates the part of the demand that comes to peers over capacity.
    pub(super) fn set_part(&mut self, part: f64) {
        self.part = part;
    }
}
