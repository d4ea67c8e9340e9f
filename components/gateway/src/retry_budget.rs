//! Retry budget of each service, shared by all gateways.

use std::collections::{
    HashMap,
    HashSet, //
};

use admission::{
    Bound,
    Counts,
    Purpose,
    Retries,
    Totals, //
};
use events::{
    forwarding,
    note, //
};
use names::Service;
use spread::beacon::{
    self,
    Attempts, //
    Id,
    Incarnation,
};

use crate::{
    clock,
    meter, //
};

/// Requests and retries of this gateway and of its peers.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    services: HashMap<Id, Retries>,
    peers: HashSet<Incarnation>,
    /// Largest number of gateways that were known at the same time.
    max_gateways: usize,
}

impl RetryBudgets {
    /// Counts the first send of a request.
    pub fn count_request(&mut self, service: &Service, bound: &Bound) {
        self.budget(beacon::id(service))
            .request(clock::now(), bound);
    }

    /// Takes a retry from the budget; returns `false` if it is used up.
    pub fn take_retry(&mut self, service: &Service, bound: &Bound, purpose: Purpose) -> bool {
        let now = clock::now();
        let live = self.peers.len() + 1;
        let known_share = live as f64 / self.max_gateways.max(live) as f64;
        let retries = self.budget(beacon::id(service));
        let own = retries.counts(now, bound).totals;
        let granted = retries.retry(now, bound, known_share, purpose);
        meter::retry(service, if granted { "granted" } else { "spent" });
        if !granted {
            let departed = retries.departed(now);
            let peers = retries.peers(now, known_share);
            note!(
                forwarding::RETRY_BUDGET_SPENT,
                service = service.as_str(),
                requests = own.requests,
                retries = own.retries,
                others_requests = peers.totals.requests,
                others_retries = peers.totals.retries,
                others_unheard = peers.unreported,
                departed = departed,
                known = known_share
            );
        }
        granted
    }

    /// Returns the recent attempts of this gateway, for its peers.
    pub fn attempts(&mut self, bound: &Bound) -> Vec<Attempts> {
        let now = clock::now();
        let mut attempts = Vec::with_capacity(self.services.len());
        for (service, retries) in &mut self.services {
            let Counts {
                totals: window_totals,
                retries: total_retries,
            } = retries.counts(now, bound);
            attempts.push(Attempts {
                service: *service,
                requests: window_totals.requests,
                retries: window_totals.retries,
                total_retries,
            });
        }
        attempts
    }

    /// Applies the recent attempts of a peer; `is_local` if it is in the same data centre.
    pub fn apply_attempts(&mut self, peer: Incarnation, attempts: &[Attempts], is_local: bool) {
        let now = clock::now();
        for sent in attempts {
            let sent_totals = Counts {
                totals: Totals {
                    requests: sent.requests,
                    retries: sent.retries,
                },
                retries: sent.total_retries,
            };
            self.budget(sent.service)
                .record_peer(now, peer, sent_totals, is_local);
        }
        self.peers.insert(peer);
        self.max_gateways = self.max_gateways.max(self.peers.len() + 1);
    }

    /// Removes a peer that ended or stopped sending. Its retries count until they leave the window.
    pub fn remove_peer(&mut self, peer: Incarnation, bound: &Bound) {
        self.peers.remove(&peer);
        for (service, retries) in &mut self.services {
            let totals = retries.forget(peer, bound.window);
            let Some(totals) = totals.filter(|totals| totals.retries > 0) else {
                continue;
            };
            note!(
                forwarding::RETRIES_UNREPORTED,
                peer = peer,
                service = *service,
                requests = totals.requests,
                retries = totals.retries
            );
        }
    }

    fn budget(&mut self, service: Id) -> &mut Retries {
        self.services.entry(service).or_default()
    }
}
