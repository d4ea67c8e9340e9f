//! Servers of each version of a service, and when the last ones of a version left.

use std::collections::HashMap;

use moves::rollout::Servers;
use names::{
    Clock,
    Service,
    Version, //
};

/// Registered servers that accept work, by service and version.
#[derive(Debug, Default)]
pub(super) struct Versions {
    services: HashMap<Service, HashMap<Version, Count>>,
    /// Time at which the whole registry was first known.
    known_since: Option<Clock>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    servers: usize,
    /// Time at which the last server left.
    left_at: Clock,
}

impl Versions {
    /// Records that the whole registry is known.
    pub(super) fn set_known(&mut self, now: Clock) {
        self.known_since.get_or_insert(now);
    }

    /// Adds a server of a version.
    pub(super) fn add(&mut self, service: &Service, version: &Version) {
        let versions = self.services.entry(service.clone()).or_default();
        versions.entry(version.clone()).or_default().servers += 1;
    }

    /// Removes a server of a version.
    pub(super) fn remove(&mut self, now: Clock, service: &Service, version: &Version) {
        let versions = self.services.get_mut(service);
        let Some(count) = versions.and_then(|versions| versions.get_mut(version)) else {
            return;
        };
        count.servers = count.servers.saturating_sub(1);
        if count.servers == 0 {
            count.left_at = now;
        }
    }

    /// Returns the servers of a service beside those of a version; `None` until the registry is known.
    pub(super) fn servers(&self, service: &Service, version: &Version) -> Option<Servers> {
        let mut servers = Servers {
            alone_since: self.known_since?,
            ..Servers::default()
        };
        for (known, count) in self.services.get(service).into_iter().flatten() {
            if known == version {
                servers.new = count.servers;
                continue;
            }
            servers.others += count.servers;
            servers.alone_since = servers.alone_since.max(count.left_at);
        }
        Some(servers)
    }
}
