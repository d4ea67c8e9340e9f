//! Demand for each service here and at the peers, by which gateways divide limits among them.

use std::{
    cell::RefCell,
    collections::HashMap,
    time::Duration, //
};

use admission::{
    Demand,
    overload, //
};
use names::{
    Clock,
    Service, //
};
use spread::beacon::{
    self,
    Id,
    Incarnation, //
};

use crate::{
    clock,
    overload::Overloads, //
};

/// Time after which the count of a peer no longer divides the bound of an overload that begins.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Demand for each service.
#[derive(Debug, Default)]
pub struct Demands {
    services: RefCell<HashMap<Id, Demand>>,
    /// Time of each peer's last report.
    reported: RefCell<HashMap<Incarnation, Clock>>,
    /// Bounds of plain services that are over capacity.
    pub overloads: Overloads,
}

impl Demands {
    /// Counts a request, whether it can be sent or not.
    pub fn count_request(&self, service: &Service) {
        let mut services = self.services.borrow_mut();
        let demand = services.entry(beacon::id(service)).or_default();
        demand.request(clock::now());
    }

    /// Returns what is reported to the peers now.
    pub fn report(&self, incarnation: Incarnation) -> beacon::Demand {
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let counts = services.iter_mut();
        let requests = counts.map(|(service, demand)| (*service, demand.report(now)));
        beacon::Demand {
            incarnation,
            requests: requests.collect(),
            overloads: Some(self.overloads.report(now)),
        }
    }

    /// Applies what a peer reported, to this gateway as one of `gateways`. Peers of earlier
    /// releases don't tell which services are over capacity; without rate limits, they report as
    /// one is.
    pub fn apply_report(&self, report: &beacon::Demand, gateways: usize, has_rate_limits: bool) {
        let (now, peer) = (clock::now(), report.incarnation);
        self.reported.borrow_mut().insert(peer, now);
        for (service, count) in &report.requests {
            let mut services = self.services.borrow_mut();
            let demand = services.entry(*service).or_default();
            demand.record_peer(peer, *count);
            let rates = match &report.overloads {
                Some(overloads) => {
                    let rates = overloads.iter().find(|told| told.service == *service);
                    rates.copied().map(Some)
                }
                None => (!has_rate_limits).then_some(None),
            };
            let is_new = self.overloads.apply(*service, peer, rates, |over| {
                demand.part(over.iter().copied(), gateways)
            });
            if is_new {
                self.restart(demand, now);
            }
        }
    }

    /// Removes a peer that ended or stopped sending.
    pub fn remove_peer(&self, peer: Incarnation) {
        self.reported.borrow_mut().remove(&peer);
        self.overloads.forget(peer);
        for demand in self.services.borrow_mut().values_mut() {
            demand.forget(peer);
        }
    }

    /// Returns the part of this gateway, one of `gateways`, in the demand for a service.
    pub fn share(&self, service: &Service, gateways: usize) -> f64 {
        let services = self.services.borrow();
        let demand = services.get(&beacon::id(service));
        demand.cloned().unwrap_or_default().share(gateways)
    }

    /// Returns the part of this gateway in the demand for a service that has been over capacity for
    /// `elapsed`; `is_new` when the overload begins.
    pub fn overload_share(
        &self,
        service: &Service,
        gateways: usize,
        elapsed: Duration,
        is_new: bool,
    ) -> f64 {
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let demand = services.entry(beacon::id(service)).or_default();
        if is_new {
            self.restart(demand, now);
            demand.report(now);
        }
        overload::share(demand, gateways, elapsed)
    }

    /// Records that an overload begins, of which earlier counts say nothing.
    fn restart(&self, demand: &mut Demand, now: Clock) {
        demand.restart(now);
        let is_old = |at: Clock| now.saturating_sub(at) > REPORT_TTL;
        for (peer, at) in self.reported.borrow().iter() {
            if is_old(*at) {
                demand.forget(*peer);
            }
        }
    }
}
