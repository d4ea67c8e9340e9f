//! The platform's host list.
//!
//! The list lags and can be wrong. A host that is missing from it keeps its link while the link is
//! up; [`connector`] has which hosts those are.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    sync::Mutex, //
};

use answer::pointer;
use names::{
    DataCentre,
    Host, //
};
use store::hosts::Role;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub(crate) mod connector;

/// The hosts that the platform has listed.
#[derive(Default)]
pub(crate) struct Hosts {
    known: Mutex<HashMap<Host, Known>>,
}

/// A listed host.
#[derive(Clone)]
struct Known {
    address: SocketAddr,
    data_centre: DataCentre,
    role: Role,
    /// When it was last in the list.
    listed: Instant,
    /// Ends the task that keeps the link; none while there is no such task.
    kept: Option<CancellationToken>,
    /// When a link was last asked for on demand.
    asked: Option<Instant>,
}

impl Hosts {
    fn address(&self, host: &str) -> Option<SocketAddr> {
        let known = self.known.lock().expect("no panic while held");
        known.get(host).map(|host| host.address)
    }

    /// Number of data centres that have an entry, the own one included.
    pub(crate) fn data_centres(&self, own: &str) -> usize {
        let known = self.known.lock().expect("no panic while held");
        let entries = known.values().filter(|host| host.role == Role::Entry);
        let mut names: HashSet<_> = entries.map(|host| host.data_centre.as_str()).collect();
        names.insert(own);
        names.len()
    }

    /// Entries that are known, this one included.
    pub(crate) fn entries(&self) -> u32 {
        let known = self.known.lock().expect("no panic while held");
        let others = known
            .values()
            .filter(|host| host.role == Role::Entry)
            .count();
        u32::try_from(others + 1).unwrap_or(u32::MAX)
    }

    /// Names of the other entries that are known.
    pub(crate) fn other_entries(&self) -> Vec<Host> {
        let known = self.known.lock().expect("no panic while held");
        let entries = known.iter().filter(|(_, host)| host.role == Role::Entry);
        entries.map(|(name, _)| name.clone()).collect()
    }

    /// About how many entries have links to the same sidecars, this one included, when each has at
    /// most `links`.
    pub(crate) fn sharing(&self, links: usize) -> u32 {
        let known = self.known.lock().expect("no panic while held");
        let sidecars = known
            .values()
            .filter(|host| host.role == Role::Sidecar)
            .count();
        let entries = known.len() - sidecars + 1;
        let linked = sidecars.min(links);
        let sharing = (entries * linked).div_ceil(sidecars.max(1));
        u32::try_from(sharing.max(1)).unwrap_or(u32::MAX)
    }

    /// The hosts that hold a request's pointer.
    pub(crate) fn holders(&self, request: &str) -> Vec<Host> {
        let known = self.known.lock().expect("no panic while held");
        let sidecars = known.iter().filter(|(_, host)| host.role == Role::Sidecar);
        let candidates: Vec<_> = sidecars
            .map(|(name, host)| pointer::Candidate {
                host: name.clone(),
                data_centre: host.data_centre.clone(),
            })
            .collect();
        let holders = pointer::holders(request, &candidates).into_iter();
        holders.map(|holder| holder.host.clone()).collect()
    }
}
