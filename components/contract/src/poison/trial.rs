//! Permits for runs that show whether a request crashes servers.
//!
//! Causes that are together at each crash can't be told apart. A request with such a cause runs
//! beside no other one, over all processes: one process at a time grants the permits of a service.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::Clock;

use super::evidence::ServiceId;

/// Time after which a permit that its holder doesn't renew ends.
pub const LEASE: Duration = Duration::from_millis(600);

/// Permit to run one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permit {
    /// Id of the run of the process that asks for it.
    pub process: u64,
    /// Number of the permit at that process.
    pub number: u32,
}

/// Grants the permits of all services, one at a time for each.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    /// Granted permits, and when they end.
    granted: BTreeMap<ServiceId, (Permit, Clock)>,
}

impl Arbiter {
    /// Grants or renews a permit; returns whether it is granted.
    pub fn grant(&mut self, now: Clock, service: ServiceId, permit: Permit) -> bool {
        let other = self.granted.get(&service);
        if other.is_some_and(|(other, until)| *other != permit && *until > now) {
            return false;
        }
        self.granted.insert(service, (permit, now + LEASE));
        true
    }

    /// Ends a permit.
    pub fn release(&mut self, service: ServiceId, permit: Permit) {
        if self
            .granted
            .get(&service)
            .is_some_and(|(other, _)| *other == permit)
        {
            self.granted.remove(&service);
        }
    }
}
