//! Retry budget of each service, shared by all gateways.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use admission::{
    Accounts,
    Bound,
    Confirmation,
    Contact,
    Counts,
    Departed,
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

/// Longest interval of beacons of a peer that confirms reports promptly, in milliseconds.
const MAX_PROMPT_INTERVAL_MS: u32 = 1000;

/// Shortest time for which a departed process's retries still count when peers are told of them, in
/// milliseconds.
const MIN_REMAINING_MS: u32 = 250;

/// Maximum number of departed processes in a beacon, for each service.
const MAX_DEPARTED: usize = 16;

/// Requests and retries of this gateway and of its peers.
#[derive(Debug)]
pub struct RetryBudgets {
    /// Id of this process's run.
    incarnation: Incarnation,
    services: HashMap<Id, Retries>,
    accounts: Accounts,
}

/// Permission to send a request to a server. It is held until the request has arrived there or won't
/// any more.
#[derive(Debug, Default)]
pub struct Permit {
    /// `None` for the first send of a request.
    taken: Option<Taken>,
}

/// A retry that was taken from a budget.
#[derive(Debug)]
struct Taken {
    budgets: Rc<RefCell<RetryBudgets>>,
    service: Id,
    bound: Bound,
    /// Number of retries that the budget had left.
    left: f64,
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
        let left = budgets
            .borrow_mut()
            .take_retries(service, bound, purpose, 1)?;
        Some(Permit::taken(budgets, service, bound, left))
    }

    /// Takes two retries like [`Permit::retry`], or none: one for the replacement of a quiet run, and one
    /// for the way back to its server.
    pub fn replacement(
        budgets: &Rc<RefCell<RetryBudgets>>,
        service: &Service,
        bound: &Bound,
    ) -> Option<(Permit, Permit)> {
        let purpose = Purpose::QuietRun;
        let left = budgets
            .borrow_mut()
            .take_retries(service, bound, purpose, 2)?;
        let permit = || Permit::taken(budgets, service, bound, left);
        Some((permit(), permit()))
    }

    fn taken(
        budgets: &Rc<RefCell<RetryBudgets>>,
        service: &Service,
        bound: &Bound,
        left: f64,
    ) -> Permit {
        Permit {
            taken: Some(Taken {
                budgets: budgets.clone(),
                service: beacon::id(service),
                bound: *bound,
                left,
            }),
        }
    }

    /// Returns the number of retries that the budget had left once it was taken; `None` for the first
    /// send of a request.
    pub fn left(&self) -> Option<i64> {
        self.taken.as_ref().map(|taken| taken.left as i64)
    }
}

impl RetryBudgets {
    /// Creates the budgets of a gateway that starts now. `has_seeds` says whether its settings name
    /// other gateways, `retries_known` that none sent a retry in the last window.
    pub fn new(has_seeds: bool, retries_known: bool) -> RetryBudgets {
        RetryBudgets {
            incarnation: 0,
            services: HashMap::new(),
            accounts: Accounts::new(clock::now(), has_seeds, retries_known),
        }
    }

    /// Sets the id of this process's run, by which peers know it.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Counts the first send of a request.
    pub fn count_request(&mut self, service: &Service, bound: &Bound) {
        self.budget(beacon::id(service))
            .request(clock::now(), bound);
    }

    /// Takes retries from the budget, and returns how many are left; `None` if there aren't as many.
    fn take_retries(
        &mut self,
        service: &Service,
        bound: &Bound,
        purpose: Purpose,
        count: u32,
    ) -> Option<f64> {
        let now = clock::now();
        let standing = self.accounts.standing(now, bound.window);
        let are_complete = self.accounts.are_complete(now, bound.window);
        let retries = self.budget(beacon::id(service));
        let granted = retries.retries(now, bound, standing, purpose, count);
        // A quiet run that goes on asks again and again.
        if !granted && purpose == Purpose::QuietRun {
            return None;
        }
        meter::retry(service, if granted { "granted" } else { "spent" });
        let left = retries.left(now, bound, standing, purpose);
        meter::retries_left(service, left);
        if granted {
            return Some(left);
        }
        let own = retries.counts(now, bound).totals;
        let departed = retries.departed(now).map(|departed| departed.retries);
        let departed: u32 = departed.sum();
        let peers = retries.peers(now, bound, standing.coverage);
        let confirmed_at = standing.confirmed_at;
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
            confirmed_ms = confirmed_at.map(|at| now.saturating_sub(at).as_millis() as u64),
            known = standing.coverage
        );
        None
    }

    /// Sets whether the settings name other gateways.
    pub fn set_has_seeds(&mut self, has_seeds: bool) {
        self.accounts.set_has_seeds(has_seeds);
    }

    /// Adds the recent attempts of this gateway to a beacon.
    pub fn fill_beacon(&mut self, beacon: &mut Beacon, bound: &Bound) {
        let now = clock::now();
        beacon.attempts = self.attempts(bound);
        beacon.processes = self.accounts.processes(now) as u32;
        beacon.knows_retries = self.accounts.are_complete(now, bound.window);
    }

    /// Returns the recent attempts of this gateway, for its peers.
    pub fn attempts(&mut self, bound: &Bound) -> Vec<Attempts> {
        let now = clock::now();
        let mut attempts = Vec::with_capacity(self.services.len());
        for (service, retries) in &mut self.services {
            let departed = retries.departed(now).map(|departed| beacon::Departed {
                incarnation: departed.peer,
                retries: departed.retries,
                remaining_ms: departed.counts_until.saturating_sub(now).as_millis() as u32,
            });
            // One that is about to expire would be passed to and fro.
            let departed = departed.filter(|departed| departed.remaining_ms > MIN_REMAINING_MS);
            let departed = departed.take(MAX_DEPARTED).collect();
            let counts = retries.counts(now, bound);
            attempts.push(Attempts {
                service: *service,
                requests: counts.totals.requests,
                retries: counts.totals.retries,
                total_retries: counts.retries,
                live_retries: counts.live,
                departed,
            });
        }
        attempts
    }

    /// Applies a peer's beacon. `is_local` says whether it is in the same data centre, `received_for`
    /// for how long the peer still counts what it received of this gateway.
    pub fn apply_beacon(
        &mut self,
        beacon: &Beacon,
        is_local: bool,
        received_for: Option<Duration>,
    ) {
        let now = clock::now();
        let confirmation = beacon
            .echo
            .zip(received_for)
            .map(|(echo, time)| Confirmation {
                reported_at: Duration::from_millis(echo.timestamp),
                counts_until: now + time,
                is_prompt: beacon.interval_ms <= MAX_PROMPT_INTERVAL_MS,
            });
        let contact = Contact {
            host: beacon.host.clone(),
            confirmation,
            processes: beacon.processes as usize,
        };
        self.accounts.record_peer(beacon.incarnation, contact);
        if beacon.knows_retries {
            self.accounts.inform();
        }
        self.apply_attempts(beacon.incarnation, &beacon.attempts, is_local);
    }

    /// Applies the recent attempts of a peer; `is_local` if it is in the same data centre. Those of a
    /// peer that ended or fell silent may come late, and would never be removed.
    pub fn apply_attempts(&mut self, peer: Incarnation, attempts: &[Attempts], is_local: bool) {
        if !self.accounts.contains(peer) {
            return;
        }
        let now = clock::now();
        for sent in attempts {
            let counts = Counts {
                totals: Totals {
                    requests: sent.requests,
                    retries: sent.retries,
                },
                retries: sent.total_retries,
                live: sent.live_retries,
            };
            let own = self.incarnation;
            let retries = self.budget(sent.service);
            retries.record_peer(now, peer, counts, is_local);
            for departed in &sent.departed {
                // A peer that doesn't hear this process counts it as silent.
                if departed.incarnation == own {
                    continue;
                }
                retries.record_departed(Departed {
                    peer: departed.incarnation,
                    retries: departed.retries,
                    counts_until: now + Duration::from_millis(departed.remaining_ms.into()),
                });
            }
        }
    }

    /// Removes a peer that ended. Its retries count until they leave the window.
    pub fn remove_peer(&mut self, peer: Incarnation, bound: &Bound) {
        self.accounts.remove_peer(peer);
        self.forget(peer, bound);
    }

    /// Removes a peer that fell silent, and may still send. Its retries count until they leave the
    /// window.
    pub fn lose_peer(&mut self, peer: Incarnation, bound: &Bound) {
        self.accounts.lose_peer(clock::now(), peer);
        self.forget(peer, bound);
    }

    fn forget(&mut self, peer: Incarnation, bound: &Bound) {
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
