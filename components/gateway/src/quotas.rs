//! Retries of each service, over all entries.

use std::collections::{
    HashMap,
    HashSet, //
};

use admission::{
    Bound,
    Purpose,
    Retries,
    Told,
    Totals, //
};
use events::{
    direct,
    note, //
};
use names::Service;
use spread::beacon::{
    self,
    Id,
    Incarnation,
    Sends, //
};

use crate::clock;

/// Requests and retries of this entry, and what the others told.
#[derive(Debug, Default)]
pub struct Quotas {
    services: HashMap<Id, Retries>,
    peers: HashSet<Incarnation>,
    /// Most entries that were known at once.
    most: usize,
}

impl Quotas {
    /// Counts a request's first send.
    pub fn request(&mut self, service: &Service, bound: &Bound) {
        self.of(beacon::id(service)).request(clock::now(), bound);
    }

    /// Takes a retry, if there is one left over all entries.
    pub fn retry(&mut self, service: &Service, bound: &Bound, purpose: Purpose) -> bool {
        let now = clock::now();
        let heard = self.peers.len() + 1;
        let known = heard as f64 / self.most.max(heard) as f64;
        let retries = self.of(beacon::id(service));
        let own = retries.told(now, bound).totals;
        let left = retries.retry(now, bound, known, purpose);
        if !left {
            let others = retries.others(known);
            note!(
                direct::SPENT,
                service = service.as_str(),
                requests = own.requests,
                retries = own.retries,
                others_requests = others.totals.requests,
                others_retries = others.totals.retries,
                others_unheard = others.unheard,
                known = known
            );
        }
        left
    }

    /// What this entry sent, for its peers.
    pub fn sends(&mut self, bound: &Bound) -> Vec<Sends> {
        let now = clock::now();
        let mut sends = Vec::with_capacity(self.services.len());
        for (service, retries) in &mut self.services {
            let Told { totals, retries } = retries.told(now, bound);
            sends.push(Sends {
                service: *service,
                requests: totals.requests,
                retries: totals.retries,
                total_retries: retries,
            });
        }
        sends
    }

    /// Takes what a peer sent; `near` when it is of the same data centre.
    pub fn hear(&mut self, peer: Incarnation, sends: &[Sends], near: bool) {
        let now = clock::now();
        for sent in sends {
            let told = Told {
                totals: Totals {
                    requests: sent.requests,
                    retries: sent.retries,
                },
                retries: sent.total_retries,
            };
            self.of(sent.service).hear(now, peer, told, near);
        }
        self.peers.insert(peer);
        self.most = self.most.max(self.peers.len() + 1);
    }

    /// Forgets a peer that ended or fell silent.
    pub fn forget(&mut self, peer: Incarnation) {
        self.peers.remove(&peer);
        for retries in self.services.values_mut() {
            retries.forget(peer);
        }
    }

    fn of(&mut self, service: Id) -> &mut Retries {
        self.services.entry(service).or_default()
    }
}
