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
    net::SocketAddr,
    time::Duration, //
};

use names::{
    Clock,
    Revision,
    Server,
    Service, //
};

use crate::update::Registration;

/// Time for which a server isn't used after an answer that came from another one. The answer may have
/// been wrong, so that a request asks again; the time doubles up to the maximum while the answers agree.
const MIN_DENIAL_TIME: Duration = Duration::from_millis(200);
const MAX_DENIAL_TIME: Duration = Duration::from_secs(10);

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
    denial: Option<Denial>,
}

/// Answer of the server at an address that it is another one than the registered one.
#[derive(Clone, Copy, Debug)]
struct Denial {
    /// Revision of the registration at that time.
    revision: Revision,
    /// Time for which the registration holds no address, and its end.
    time: Duration,
    until: Clock,
}

/// Precedence of a claim among those to the same address: whether it wasn't denied, and its
/// [`Rank`].
type Precedence<'a> = (bool, Rank<'a>);

/// Order of registrations: whether the service is known, the start of the process, and the revision.
type Rank<'a> = (bool, u64, Revision, &'a Server);

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
        let denial = before.and_then(|before| before.denial);
        let denial = denial.filter(|_| is_same);
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
            denial,
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

    /// Records that the server at the address of a registration said that it is another one. Returns
    /// the time for which the registration holds no address.
    pub(super) fn deny(&mut self, now: Clock, server: &Server) -> Option<Duration> {
        let claim = self.claims.get_mut(server)?;
        let time = match claim.denial {
            // Requests that were sent together are answered together.
            Some(denial) if now < denial.until => denial.time,
            Some(denial) => (denial.time * 2).min(MAX_DENIAL_TIME),
            None => MIN_DENIAL_TIME,
        };
        claim.denial = Some(Denial {
            revision: claim.registration.revision,
            time,
            until: now + time,
        });
        Some(time)
    }

    /// Returns how much longer a denied registration holds no address.
    pub(super) fn denied_for(&self, now: Clock, server: &Server) -> Option<Duration> {
        let denial = self.claims.get(server)?.denial?;
        denial.until.checked_sub(now)
    }

    /// Records that the server at the address of a registration is the registered one.
    pub(super) fn confirm(&mut self, server: &Server) {
        if let Some(claim) = self.claims.get_mut(server) {
            claim.denial = None;
        }
    }

    /// Returns whether a registration that isn't denied goes before that of a server at an address.
    pub(super) fn is_superseded(&self, server: &Server, address: SocketAddr) -> bool {
        let claim = self.claims.get(server);
        let Some(claim) = claim.filter(|claim| claim.registration.address == address) else {
            return false;
        };
        let claimants = self.by_address.get(&address).into_iter().flatten();
        let mut others = claimants.filter_map(|other| self.claims.get(other));
        others.any(|other| other.denial.is_none() && self.rank(other) > self.rank(claim))
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
    pub(super) fn holder(&self, now: Clock, address: SocketAddr) -> Option<&Registration> {
        let claimants = self.by_address.get(&address)?;
        let claims = claimants
            .iter()
            .filter_map(|server| self.claims.get(server));
        let usable = claims.filter(|claim| {
            let revision = claim.registration.revision;
            let holds = |denial: Denial| revision > denial.revision || now >= denial.until;
            claim.denial.is_none_or(holds)
        });
        let holder = usable.max_by(|one, other| self.precedence(one).cmp(&self.precedence(other)));
        holder.map(|claim| &claim.registration)
    }

    fn precedence<'a>(&self, claim: &'a Claim) -> Precedence<'a> {
        (claim.denial.is_none(), self.rank(claim))
    }

    fn rank<'a>(&self, claim: &'a Claim) -> Rank<'a> {
        let registration = &claim.registration;
        let service = &registration.spec.service;
        let is_known = self
            .services
            .as_ref()
            .is_none_or(|services| services.contains(service));
        (
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
