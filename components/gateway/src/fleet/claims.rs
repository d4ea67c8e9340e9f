//! Which registration holds an address.
//!
//! A server that crashed stays registered for some seconds, while its successor registers at the
//! address under another name, and another writer may register anything. The holder follows from all
//! registrations at the address, whatever their order.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr, //
};

use names::{
    Revision,
    Server,
    Service, //
};

use crate::update::Registration;

/// Registrations by server, and the holders of the addresses.
#[derive(Debug, Default)]
pub(super) struct Claims {
    claims: HashMap<Server, Claim>,
    by_address: HashMap<SocketAddr, Vec<Server>>,
    /// Services of the operator's document; `None` before it is known.
    services: Option<HashSet<Service>>,
}

#[derive(Debug)]
struct Claim {
    registration: Registration,
    /// Revision at which the server at the address said that it is another one.
    denied_at: Option<Revision>,
}

/// Precedence of a claim among those to the same address.
type Precedence<'a> = (bool, bool, u64, Revision, &'a Server);

impl Claims {
    /// Adds or replaces a registration; returns the addresses whose holders may change.
    pub(super) fn put(&mut self, registration: Registration) -> Vec<SocketAddr> {
        let server = registration.server.clone();
        let address = registration.address;
        let before = self.claims.get(&server);
        let is_same = before.is_some_and(|before| {
            before.registration.address == address
                && before.registration.started_ms == registration.started_ms
        });
        let denied_at = before.and_then(|before| before.denied_at);
        let denied_at = denied_at.filter(|_| is_same);
        let mut addresses = vec![address];
        let old_address = before.map(|before| before.registration.address);
        if let Some(old_address) = old_address.filter(|old_address| *old_address != address) {
            self.withdraw(&server, old_address);
            addresses.push(old_address);
        }
        let claimants = self.by_address.entry(address).or_default();
        if !claimants.contains(&server) {
            claimants.push(server.clone());
        }
        let claim = Claim {
            registration,
            denied_at,
        };
        self.claims.insert(server, claim);
        addresses
    }

    /// Removes a registration; returns its address.
    pub(super) fn remove(&mut self, server: &Server) -> Option<SocketAddr> {
        let claim = self.claims.remove(server)?;
        self.withdraw(server, claim.registration.address);
        Some(claim.registration.address)
    }

    /// Records that the server at the address of a registration said that it is another one.
    pub(super) fn deny(&mut self, server: &Server) {
        if let Some(claim) = self.claims.get_mut(server) {
            claim.denied_at = Some(claim.registration.revision);
        }
    }

    /// Sets the services of the operator's document; returns the addresses whose holders may change.
    pub(super) fn set_services(&mut self, services: HashSet<Service>) -> Vec<SocketAddr> {
        if self.services.as_ref() == Some(&services) {
            return Vec::new();
        }
        self.services = Some(services);
        let contested = self.by_address.iter();
        let contested = contested.filter(|(_, claimants)| claimants.len() > 1);
        contested.map(|(address, _)| *address).collect()
    }

    /// Returns the registration that holds an address.
    pub(super) fn holder(&self, address: SocketAddr) -> Option<&Registration> {
        let claimants = self.by_address.get(&address)?;
        let claims = claimants
            .iter()
            .filter_map(|server| self.claims.get(server));
        let usable = claims.filter(|claim| {
            let revision = claim.registration.revision;
            claim.denied_at.is_none_or(|at| revision > at)
        });
        let holder = usable.max_by(|one, other| self.precedence(one).cmp(&self.precedence(other)));
        holder.map(|claim| &claim.registration)
    }

    fn precedence<'a>(&self, claim: &'a Claim) -> Precedence<'a> {
        let registration = &claim.registration;
        let service = &registration.spec.service;
        let is_known = self
            .services
            .as_ref()
            .is_none_or(|services| services.contains(service));
        (
            claim.denied_at.is_none(),
            is_known,
            registration.started_ms.unwrap_or(0),
            registration.revision,
            &registration.server,
        )
    }

    fn withdraw(&mut self, server: &Server, address: SocketAddr) {
        let Some(claimants) = self.by_address.get_mut(&address) else {
            return;
        };
        claimants.retain(|other| other != server);
        if claimants.is_empty() {
            self.by_address.remove(&address);
        }
    }
}
