//! What a process knows of the retries of its fleet.
//!
//! Retries count for a window, also those of processes that ended meanwhile. A process that starts
//! knows none of them until another one has told it, and one that others don't hear can use up what
//! they take for unused. Such a process gets no part of the slack, or its part of it only; what its
//! own requests add to the bound is always its own.

use std::{
    collections::HashMap,
    time::Duration, //
};

use names::{
    Clock,
    Host, //
};

use crate::retries::{
    Peer,
    Standing, //
};

/// Time for which a part of the slack is left to a process that fell silent: it may still send, and
/// hear nobody. A host that is gone for longer was replaced.
const SILENT_TTL: Duration = Duration::from_secs(3600);

/// A peer, by its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Host of the peer.
    pub host: Host,
    /// What the peer counts of this process; `None` if it received nothing from it lately.
    pub confirmation: Option<Confirmation>,
    /// Number of processes that the peer knows.
    pub processes: usize,
}

/// Confirmation of a peer that it received a report of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// When the report was made.
    pub reported_at: Clock,
    /// Until when the peer counts it.
    pub counts_until: Clock,
    /// Whether the peer confirms reports within a small part of the window. Where it doesn't, what it
    /// can't know yet is estimated.
    pub is_prompt: bool,
}

/// Processes that a process exchanges retry counts with.
#[derive(Clone, Debug)]
pub struct Accounts {
    peers: HashMap<Peer, Contact>,
    /// Hosts of peers that fell silent, and until when they are counted.
    silent: HashMap<Host, Clock>,
    started: Clock,
    /// Whether other processes are configured.
    has_seeds: bool,
    /// Whether the retries before the start are known.
    is_informed: bool,
}

impl Accounts {
    /// Creates the accounts of a process that starts now. `has_seeds` says whether other processes
    /// are configured, `is_informed` that none sent a retry in the last window.
    pub fn new(now: Clock, has_seeds: bool, is_informed: bool) -> Accounts {
        Accounts {
            peers: HashMap::new(),
            silent: HashMap::new(),
            started: now,
            has_seeds,
            is_informed,
        }
    }

    /// Sets whether other processes are configured.
    pub fn set_has_seeds(&mut self, has_seeds: bool) {
        self.has_seeds = has_seeds;
    }

    /// Records a report of a peer.
    pub fn record_peer(&mut self, peer: Peer, contact: Contact) {
        self.silent.remove(&contact.host);
        self.peers.insert(peer, contact);
    }

    /// Returns whether a peer reports now.
    pub fn contains(&self, peer: Peer) -> bool {
        self.peers.contains_key(&peer)
    }

    /// Records that a peer that knows all retries of the last window told them.
    pub fn inform(&mut self) {
        self.is_informed = true;
    }

    /// Removes a peer that ended.
    pub fn remove_peer(&mut self, peer: Peer) {
        self.peers.remove(&peer);
    }

    /// Records that a peer fell silent.
    pub fn lose_peer(&mut self, now: Clock, peer: Peer) {
        if let Some(contact) = self.peers.remove(&peer) {
            self.silent.insert(contact.host, now + SILENT_TTL);
        }
    }

    /// Returns the number of processes, with this one and those that fell silent.
    pub fn processes(&self, now: Clock) -> usize {
        let silent = self.silent.values().filter(|until| **until > now);
        self.peers.len() + 1 + silent.count()
    }

    /// Returns whether this process has started within the last window, so that others may know of
    /// retries that it can't know itself.
    pub fn is_young(&self, now: Clock, window: Duration) -> bool {
        now.saturating_sub(self.started) <= window
    }

    /// Returns whether the retries of the last window are known, also those that were sent before
    /// this process started.
    pub fn are_complete(&self, now: Clock, window: Duration) -> bool {
        self.is_informed || !self.is_young(now, window)
    }

    /// Returns the standing of this process among all that share the bound.
    pub fn standing(&self, now: Clock, window: Duration) -> Standing {
        let told = self.peers.values().map(|contact| contact.processes);
        let processes = told.max().unwrap_or(0).max(self.processes(now));
        let confirmations = self
            .peers
            .values()
            .filter_map(|contact| contact.confirmation);
        let confirmations = confirmations.filter(|confirmation| confirmation.counts_until > now);
        let mutual = confirmations.clone().count() + 1;
        let has_met = processes > 1;
        let is_known = self.are_complete(now, window) && (has_met || !self.has_seeds);
        let prompt = confirmations.filter(|confirmation| confirmation.is_prompt);
        Standing {
            coverage: match is_known {
                true => mutual as f64 / processes as f64,
                false => 0.0,
            },
            processes,
            confirmed_at: prompt.map(|confirmation| confirmation.reported_at).min(),
        }
    }
}
