//! Hosts known from the platform's host list.
//!
//! The list lags and can be wrong. A host that is missing from it stays known while its link is up;
//! [`connector`] decides which hosts are linked and which are removed.

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

/// The known hosts.
#[derive(Default)]
pub(crate) struct Hosts {
    members: Mutex<HashMap<Host, Member>>,
}

/// A known host.
#[derive(Clone)]
struct Member {
    address: SocketAddr,
    data_centre: DataCentre,
    role: Role,
    /// Time at which it was last in the list.
    last_listed: Instant,
    /// Stops the task that maintains the link; none while no such task runs.
    link_task: Option<CancellationToken>,
    /// Time at which a link was last requested on demand.
    last_requested: Option<Instant>,
}

impl Hosts {
    /// Returns the address of a known host.
    fn address(&self, host: &str) -> Option<SocketAddr> {
        let members = self.members.lock().expect("no panic while held");
        members.get(host).map(|host| host.address)
    }

    /// Returns the number of data centres that have an entry, including `own`.
    pub(crate) fn data_centre_count(&self, own: &str) -> usize {
        let members = self.members.lock().expect("no panic while held");
        let entries = members.values().filter(|host| host.role == Role::Entry);
        let mut names: HashSet<_> = entries.map(|host| host.data_centre.as_str()).collect();
        names.insert(own);
        names.len()
    }

    /// Returns the number of known entries, including this one.
    pub(crate) fn entry_count(&self) -> u32 {
        let members = self.members.lock().expect("no panic while held");
        let others = members
            .values()
            .filter(|host| host.role == Role::Entry)
            .count();
        u32::try_from(others + 1).unwrap_or(u32::MAX)
    }

    /// Returns the names of the other known entries.
    pub(crate) fn other_entries(&self) -> Vec<Host> {
        let members = self.members.lock().expect("no panic while held");
        let entries = members.iter().filter(|(_, host)| host.role == Role::Entry);
        entries.map(|(name, _)| name.clone()).collect()
    }

    /// Estimates how many entries, including this one, are linked to the same sidecar when each has
    /// at most `links` links to sidecars.
    pub(crate) fn entries_per_sidecar(&self, links: usize) -> u32 {
        let members = self.members.lock().expect("no panic while held");
        let sidecars = members
            .values()
            .filter(|host| host.role == Role::Sidecar)
            .count();
        let entries = members.len() - sidecars + 1;
        let linked = sidecars.min(links);
        let sharing_entries = (entries * linked).div_ceil(sidecars.max(1));
        u32::try_from(sharing_entries.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the hosts that hold the pointer of a request.
    pub(crate) fn holders(&self, request: &str) -> Vec<Host> {
        let members = self.members.lock().expect("no panic while held");
        let sidecars = members
            .iter()
            .filter(|(_, host)| host.role == Role::Sidecar);
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
