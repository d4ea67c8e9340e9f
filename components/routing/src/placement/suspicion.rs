//! Suspicions against servers, and against the data centres that they are in.

use std::{
    collections::HashMap,
    time::Duration, //
};

use names::{
    Clock,
    DataCentre,
    Server,
    Service, //
};

/// Age up to which a suspicion is shared with peers.
const MAX_SHARED_AGE: Duration = Duration::from_millis(700);

/// Time for which the other servers of a data centre are suspected after losses there, unless they
/// prove alive.
const DOMAIN_SUSPICION_TIME: Duration = Duration::from_secs(3);

/// Number of servers of a data centre that are lost together before its other servers are avoided.
/// Power and switches are shared, so that the others are probably lost too.
const DOMAIN_LOSS_THRESHOLD: usize = 2;

/// Reason not to send new work to a server for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// The server refused a connection: its process is gone, but its host is up.
    Refused,
    /// The server does not respond at all. This is stronger evidence against its data centre than a
    /// missing process, and each attempt to reach another server there costs a timeout.
    Unresponsive,
    /// The server closed a connection as soon as it had the request.
    Disconnected,
    /// The server is full.
    Full,
}

impl Suspicion {
    /// Returns the weight of the suspicion against the rest of the data centre, see
    /// [`DOMAIN_LOSS_THRESHOLD`].
    fn weight(self) -> usize {
        match self {
            Suspicion::Refused => 1,
            Suspicion::Unresponsive => DOMAIN_LOSS_THRESHOLD,
            Suspicion::Disconnected | Suspicion::Full => 0,
        }
    }

    /// Returns whether runs and copies on the server are unreachable as well.
    pub(super) fn is_unreachable(self) -> bool {
        matches!(self, Suspicion::Refused | Suspicion::Unresponsive)
    }
}

/// Failure domain: the servers of one service in a data centre.
pub(super) type Domain = (DataCentre, Service);

/// Servers that were recently suspected, by failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicions {
    domains: HashMap<Domain, HashMap<Server, (Clock, Suspicion)>>,
}

impl Suspicions {
    pub(super) fn record(
        &mut self,
        now: Clock,
        domain: Domain,
        server: &Server,
        suspicion: Suspicion,
    ) {
        let suspected = self.domains.entry(domain).or_default();
        suspected.retain(|_, (at, _)| now.saturating_sub(*at) <= DOMAIN_SUSPICION_TIME);
        suspected.insert(server.clone(), (now, suspicion));
    }

    /// Returns whether so many servers were suspected together that another server of the domain,
    /// last known to be alive at `last_alive`, is probably lost too.
    pub(super) fn is_domain_suspected(
        &self,
        now: Clock,
        domain: &Domain,
        last_alive: Clock,
    ) -> bool {
        let Some(suspected) = self.domains.get(domain) else {
            return false;
        };
        let mut weight = 0;
        for (at, suspicion) in suspected.values() {
            // Suspicions from before the last evidence that the server is alive don't count.
            if now.saturating_sub(*at) <= DOMAIN_SUSPICION_TIME && last_alive <= *at {
                weight += suspicion.weight();
            }
        }
        weight >= DOMAIN_LOSS_THRESHOLD
    }

    /// Returns when the server was last found unresponsive, or the last of so many servers of its
    /// domain that it is probably unresponsive too. It was last known to be alive at `last_alive`.
    /// A process that exits closes its connections itself, so that only [`Suspicion::Unresponsive`]
    /// counts.
    pub(super) fn suspected_since(
        &self,
        now: Clock,
        domain: &Domain,
        server: &Server,
        last_alive: Clock,
    ) -> Option<Clock> {
        let suspected = self.domains.get(domain)?;
        let is_unresponsive = |(at, suspicion): &(Clock, Suspicion)| {
            *suspicion == Suspicion::Unresponsive && *at >= last_alive
        };
        let own = suspected.get(server).copied().filter(is_unresponsive);
        if let Some((at, _)) = own {
            return Some(at);
        }
        if !self.is_domain_suspected(now, domain, last_alive) {
            return None;
        }
        let all = suspected.values().copied().filter(is_unresponsive);
        all.map(|(at, _)| at).max()
    }

    /// Returns the suspicions to share with peers, with their age.
    pub(super) fn recent(&self, now: Clock) -> Vec<(&Server, Duration, Suspicion)> {
        let mut recent = Vec::new();
        for suspected in self.domains.values() {
            for (server, (at, suspicion)) in suspected {
                let age = now.saturating_sub(*at);
                if age <= MAX_SHARED_AGE {
                    recent.push((server, age, *suspicion));
                }
            }
        }
        recent
    }
}
