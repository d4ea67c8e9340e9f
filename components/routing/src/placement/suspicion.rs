//! What speaks against servers, and against the data centres that they are in.

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

/// Age up to which a loss is told to peers.
const TOLD: Duration = Duration::from_millis(700);

/// Time for which the rest of a data centre is doubted after losses there, unless it is heard.
const DOUBTED: Duration = Duration::from_secs(3);

/// Servers of a data centre that are lost together before the rest of it is avoided: power and
/// switches are shared, and the others are probably lost too.
const MANY: usize = 2;

/// What speaks against sending new work to a server for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// It refused a connection: its process is gone, and its host is there.
    Refused,
    /// Nothing comes back from it at all. One server that goes dark says more of its data centre
    /// than one whose process is gone, and each look at another costs a time-out.
    Dark,
    /// It broke a connection as soon as it had the request.
    Broke,
    /// It is full.
    Full,
}

impl Suspicion {
    /// How much it says of the rest of the data centre, see [`MANY`].
    fn weight(self) -> usize {
        match self {
            Suspicion::Refused => 1,
            Suspicion::Dark => MANY,
            Suspicion::Broke | Suspicion::Full => 0,
        }
    }

    /// Whether what the server holds is out of reach as well.
    pub(super) fn unreachable(self) -> bool {
        matches!(self, Suspicion::Refused | Suspicion::Dark)
    }
}

/// Where servers were lost together: a data centre's servers of one service.
pub(super) type Domain = (DataCentre, Service);

/// Servers that were lost of late.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses {
    domains: HashMap<Domain, HashMap<Server, (Clock, Suspicion)>>,
}

impl Losses {
    pub(super) fn note(
        &mut self,
        now: Clock,
        domain: Domain,
        server: &Server,
        suspicion: Suspicion,
    ) {
        let lost = self.domains.entry(domain).or_default();
        lost.retain(|_, (at, _)| now.saturating_sub(*at) <= DOUBTED);
        lost.insert(server.clone(), (now, suspicion));
    }

    /// Whether so many servers were lost together that another one of the domain, which was last
    /// heard at `heard`, is probably lost too.
    pub(super) fn shaken(&self, now: Clock, domain: &Domain, heard: Clock) -> bool {
        let Some(lost) = self.domains.get(domain) else {
            return false;
        };
        let mut weight = 0;
        for (at, suspicion) in lost.values() {
            // Whoever was heard since is not meant.
            if now.saturating_sub(*at) <= DOUBTED && heard <= *at {
                weight += suspicion.weight();
            }
        }
        weight >= MANY
    }

    /// When a server was last found dark, or the last of so many of its domain that it is probably
    /// dark too; it was last heard at `heard`. A process that is gone breaks its connections itself.
    pub(super) fn doubted(
        &self,
        now: Clock,
        domain: &Domain,
        server: &Server,
        heard: Clock,
    ) -> Option<Clock> {
        let lost = self.domains.get(domain)?;
        let dark =
            |(at, suspicion): &(Clock, Suspicion)| *suspicion == Suspicion::Dark && *at >= heard;
        let own = lost.get(server).copied().filter(dark);
        if let Some((at, _)) = own {
            return Some(at);
        }
        if !self.shaken(now, domain, heard) {
            return None;
        }
        let all = lost.values().copied().filter(dark);
        all.map(|(at, _)| at).max()
    }

    /// Losses that peers are told of, with their age.
    pub(super) fn told(&self, now: Clock) -> Vec<(&Server, Duration, Suspicion)> {
        let mut told = Vec::new();
        for lost in self.domains.values() {
            for (server, (at, suspicion)) in lost {
                let age = now.saturating_sub(*at);
                if age <= TOLD {
                    told.push((server, age, *suspicion));
                }
            }
        }
        told
    }
}
