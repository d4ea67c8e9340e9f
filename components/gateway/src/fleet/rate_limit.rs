//! Limits that servers name on the rate of requests from all gateways together.

use std::{
    rc::Rc,
    time::Duration, //
};

use events::{
    forwarding,
    note, //
};
use names::{
    Clock,
    Server,
    Service, //
};
use spread::beacon::{
    self,
    RateLimit, //
};
use tokio::sync::Notify;

use crate::{
    clock,
    fleet::Fleet, //
};

/// Requests per second in the unit of messages.
const UNITS_PER_REQUEST: f64 = 1000.0;

impl Fleet {
    /// Records the limit that a server named in an answer, or that it named none, to a request sent
    /// at `sent_at`.
    pub fn record_rate_limit(&mut self, server: &Server, per_second: Option<f64>, sent_at: Clock) {
        let now = clock::now();
        let is_news =
            self.placement
                .record_rate_limit(now, sent_at, server, per_second, &mut self.rng);
        if is_news {
            log(server, per_second, false);
            self.rate_limit_news.push(now, (server.clone(), per_second));
        }
    }

    /// Applies the limits that a peer received.
    pub fn apply_rate_limits(&mut self, limits: &[RateLimit]) {
        let now = clock::now();
        for limit in limits {
            let Some(server) = self.servers_by_id.get(&limit.server) else {
                continue;
            };
            let per_second = limit
                .per_1000_seconds
                .map(|rate| rate as f64 / UNITS_PER_REQUEST);
            let at = now.saturating_sub(Duration::from_millis(limit.age_ms.into()));
            let changed =
                self.placement
                    .record_peer_rate_limit(now, at, server, per_second, &mut self.rng);
            if changed {
                log(server, per_second, true);
            }
        }
    }

    /// Returns the handle that is notified when there is news about a limit.
    pub fn rate_limit_notify(&self) -> Rc<Notify> {
        self.rate_limit_news.notify()
    }

    /// Returns the news about limits that are due to be sent to all peers; see
    /// [`Announcements::due`](crate::announcements::Announcements::due).
    pub fn due_rate_limits(&self, is_new: bool) -> Vec<RateLimit> {
        let now = clock::now();
        let due = self.rate_limit_news.due(now, is_new).into_iter();
        due.map(|(at, (server, per_second))| message(now, at, &server, per_second))
            .collect()
    }

    /// Returns all known limits, for a peer that may know none.
    pub fn all_rate_limits(&self) -> Vec<RateLimit> {
        let now = clock::now();
        let limits = self.placement.rate_limits();
        limits
            .map(|(server, per_second, at)| message(now, at, server, Some(per_second)))
            .collect()
    }

    /// Returns the services of which a server limits its request rate.
    pub fn rate_limited_services(&self) -> Vec<Service> {
        let limits = self.placement.rate_limits();
        let specs = limits.filter_map(|(server, ..)| self.placement.spec(server));
        let mut services: Vec<Service> = specs.map(|spec| spec.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Sets the part of this gateway in the demand of a service.
    pub fn set_demand_share(&mut self, service: &Service, share: f64) {
        self.placement
            .set_demand_share(clock::now(), service, share);
    }

    /// Returns whether a server takes a request now: the limit on its request rate allows one, and it
    /// wants one.
    pub fn allows_request(&self, server: &Server) -> bool {
        self.placement.allows_request(clock::now(), server)
    }

    /// Returns the time until the first server of a service takes a request; `None` if one does now, or
    /// there is none.
    pub fn next_request_in(&self, service: &Service) -> Option<Duration> {
        let now = clock::now();
        let next = self.placement.next_request_at(now, service)?;
        Some(next - now)
    }

    /// Returns when a caller should return if no server of a service takes a request now, as all limit
    /// their request rates or want no requests.
    pub fn unplaced_retry_after(&mut self, service: &Service) -> Option<Duration> {
        let now = clock::now();
        self.placement.next_request_at(now, service)?;
        Some(self.placement.retry_after(now, service, &mut self.rng))
    }
}

fn message(now: Clock, at: Clock, server: &Server, per_second: Option<f64>) -> RateLimit {
    let age_ms = now.saturating_sub(at).as_millis();
    RateLimit {
        server: beacon::id(server),
        per_1000_seconds: per_second.map(|rate| (rate * UNITS_PER_REQUEST).round() as u64),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}

fn log(server: &Server, per_second: Option<f64>, from_peer: bool) {
    note!(
        forwarding::RATE_LIMITED,
        server = server.as_str(),
        per_second = per_second,
        from_peer = from_peer
    );
}
