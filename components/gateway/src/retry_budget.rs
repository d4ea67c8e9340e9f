//! Retry budget of each service, shared by all gateways.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc, //
};

use admission::{
    Accounts,
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
    Attempts,
    Beacon,
    Id,
    Incarnation, //
};

use crate::{
    clock,
    meter, //
};

/// Requests and retries of this gateway and of its peers.
#[derive(Debug)]
pub struct RetryBudgets {
    services: HashMap<Id, Retries>,
    accounts: Accounts,
}

/// Permission to send a request to a server. It is held until the request has arrived there or won't
/// any more.
#[derive(Debug, Default)]
pub struct Permit {
    /// `None` for the first send of a request.
    _taken: Option<Taken>,
}

/// A retry that was taken from a budget.
#[derive(Debug)]
struct Taken {
    budgets: Rc<RefCell<RetryBudgets>>,
    service: Id,
    bound: Bound,
}

impl Drop for Taken {
    fn drop(&mut self) {
        let mut budgets = self.budgets.borrow_mut();
        budgets
            .budget(self.service)
            .settle(clock::now(), &self.bound);
    }
}

impl Permit {
    /// Takes a retry from the budget of a service; returns `None` if it is used up.
    pub fn retry(
        budgets: &Rc<RefCell<RetryBudgets>>,
        service: &Service,
        bound: &Bound,
        purpose: Purpose,
    ) -> Option<Permit> {
        let granted = budgets.borrow_mut().take_retry(service, bound, purpose);
        granted.then(|| Permit {
            _taken: Some(Taken {
                budgets: budgets.clone(),
                service: beacon::id(service),
                bound: *bound,
            }),
        })
    }
}

impl RetryBudgets {
    /// Creates the budgets of a gateway that starts now. `has_seeds` says whether its settings name
    /// other gateways, `is_first_start` that no gateway has run before.
    pub fn new(has_seeds: bool, is_first_start: bool) -> RetryBudgets {
        RetryBudgets {
            services: HashMap::new(),
            accounts: Accounts::new(clock::now(), has_seeds, is_first_start),
        }
    }

    /// Counts the first send of a request.
    pub fn count_request(&mut self, service: &Service, bound: &Bound) {
        self.budget(beacon::id(service))
            .request(clock::now(), bound);
    }

    /// Takes a retry from the budget; returns `false` if it is used up.
    fn take_retry(&mut self, service: &Service, bound: &Bound, purpose: Purpose) -> bool {
        let now = clock::now();
        let coverage = self.accounts.coverage(now, bound.window);
        let are_complete = self.accounts.are_complete(now, bound.window);
        let retries = self.budget(beacon::id(service));
        let own = retries.counts(now, bound).totals;
        let granted = retries.retry(now, bound, coverage, purpose);
        meter::retry(service, if granted { "granted" } else { "spent" });
        if !granted {
            let departed = retries.departed(now);
            let peers = retries.peers(now, coverage);
            note!(
                forwarding::RETRY_BUDGET_SPENT,
                service = service.as_str(),
                requests = own.requests,
                retries = own.retries,
                others_requests = peers.totals.requests,
                others_retries = peers.totals.retries,
                others_unheard = peers.unreported,
                departed = departed,
                complete = are_complete,
                known = coverage
            );
        }
        granted
    }

    /// Adds the recent attempts of this gateway to a beacon.
    pub fn fill_beacon(&mut self, beacon: &mut Beacon, bound: &Bound) {
        beacon.attempts = self.attempts(bound);
        if self.accounts.are_complete(clock::now(), bound.window) {
            beacon.accounted = self.accounts.processes() as u32;
        }
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
                departed_retries: retries.departed(now),
            });
        }
        attempts
    }

    /// Applies a peer's beacon. `is_local` says whether it is in the same data centre, `is_received`
    /// whether it receives this gateway's beacons.
    pub fn apply_beacon(
        &mut self,
        beacon: &Beacon,
        bound: &Bound,
        is_local: bool,
        is_received: bool,
    ) {
        self.apply_attempts(beacon.incarnation, &beacon.attempts, is_local);
        self.accounts.record_peer(beacon.incarnation, is_received);
        let now = clock::now();
        if beacon.accounted == 0 || self.accounts.are_complete(now, bound.window) {
            return;
        }
        for sent in &beacon.attempts {
            self.budget(sent.service)
                .inherit(now, sent.departed_retries, bound.window);
        }
        self.accounts.inform(beacon.accounted as usize);
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
    }

    /// Removes a peer that ended or stopped sending. Its retries count until they leave the window.
    pub fn remove_peer(&mut self, peer: Incarnation, bound: &Bound) {
        self.accounts.remove_peer(peer);
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
