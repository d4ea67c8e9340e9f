//! Limits on the request rates of servers, as the placement keeps them, and when the servers of a
//! service take requests again.

use std::time::Duration;

use names::{
    Clock,
    Server,
    Service, //
};
use rand::{
    Rng,
    RngExt, //
};

use super::{
    Placement,
    candidate::Candidate,
    rate_limit, //
};

/// Longest time after which a caller that is refused for a rate limit is told to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest time over which callers are spread who return when servers that wanted no requests do.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);

const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

impl Placement {
    /// Sets the part of this process in the demand of a service.
    pub fn set_demand_share(&mut self, now: Clock, service: &Service, share: f64) {
        self.demand_shares.insert(service.clone(), share);
        for candidate in self.candidates.values_mut() {
            let has_limit = candidate.rate_limit.per_second().is_some();
            if has_limit && candidate.spec.service == *service {
                candidate.rate_limit.set_share(now, share);
            }
        }
    }

    /// Records the limit on the request rate in a server's answer, or that it named none, to a
    /// request sent at `sent_at`. Returns whether it is news to other processes.
    pub fn record_rate_limit(
        &mut self,
        now: Clock,
        sent_at: Clock,
        server: &Server,
        per_second: Option<f64>,
        rng: &mut impl Rng,
    ) -> bool {
        let initial_due = self.initial_due(rng);
        self.limited_candidate(now, server)
            .is_some_and(|candidate| {
                candidate
                    .rate_limit
                    .record_answer(now, sent_at, per_second, initial_due)
            })
    }

    /// Records a limit that a peer got in an answer at the time `at`. Returns whether it changed.
    pub fn record_peer_rate_limit(
        &mut self,
        now: Clock,
        at: Clock,
        server: &Server,
        per_second: Option<f64>,
        rng: &mut impl Rng,
    ) -> bool {
        let initial_due = self.initial_due(rng);
        self.limited_candidate(now, server)
            .is_some_and(|candidate| {
                candidate
                    .rate_limit
                    .record_report(now, at, per_second, initial_due)
            })
    }

    /// Returns a candidate whose limit has the current part of this process.
    fn limited_candidate(&mut self, now: Clock, server: &Server) -> Option<&mut Candidate> {
        let candidate = self.candidates.get_mut(server)?;
        if candidate.rate_limit.per_second().is_none() {
            let service = &candidate.spec.service;
            let equal = 1.0 / self.rank.1.max(1) as f64;
            let share = self.demand_shares.get(service).copied().unwrap_or(equal);
            candidate.rate_limit.set_share(now, share);
        }
        Some(candidate)
    }

    /// Returns the fraction of a send that is due under a new limit. All processes learn of the
    /// limit together, so each begins in its own part of the interval between two sends. Multiples
    /// of the golden ratio are spread evenly over all processes as well as over any few with
    /// adjacent ranks.
    fn initial_due(&self, rng: &mut impl Rng) -> f64 {
        let (rank, processes) = self.rank;
        let jitter = rng.random_range(0.0..1.0) / processes.max(1) as f64;
        (rank as f64 * GOLDEN_RATIO + jitter).fract()
    }

    /// Returns the servers that limit their request rate, with the limits and the times of the
    /// answers that they are taken from.
    pub fn rate_limits(&self) -> impl Iterator<Item = (&Server, f64, Clock)> {
        self.candidates.iter().filter_map(|(server, candidate)| {
            let limit = &candidate.rate_limit;
            Some((server, limit.per_second()?, limit.known_at()))
        })
    }

    /// Returns whether a server takes a request now: the limit on its request rate allows one, and it
    /// wants one.
    pub fn allows_request(&self, now: Clock, server: &Server) -> bool {
        let Some(candidate) = self.candidates.get(server) else {
            return true;
        };
        candidate.rate_limit.available(now) != Some(0) && candidate.notice.wants_requests(now)
    }

    /// Returns when the first server of a service takes a request; `None` if one does now, or there is
    /// none.
    pub fn next_request_at(&self, now: Clock, service: &Service) -> Option<Clock> {
        let times = self.serving(service);
        let times = times.map(|candidate| candidate.next_request_at(now));
        times.min().filter(|at| *at > now)
    }

    /// Returns when the first server of a service wants requests again; `None` if one does now, or
    /// there is none.
    pub fn backing_off_until(&self, now: Clock, service: &Service) -> Option<Clock> {
        if self.last_backoff_end <= now {
            return None;
        }
        let times = self.serving(service);
        let times = times.map(|candidate| candidate.notice.next_request_at());
        times.min().filter(|at| *at > now)
    }

    fn serving<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Candidate> {
        let candidates = self.candidates.values();
        candidates.filter(|candidate| !candidate.is_leaving() && candidate.spec.service == *service)
    }

    /// Returns when a caller that is refused as no server takes a request should return. Callers
    /// return one after the other, at the rate that the servers' limits allow; without limits they are
    /// spread over a time.
    pub fn retry_after(&mut self, now: Clock, service: &Service, rng: &mut impl Rng) -> Duration {
        let limited = self.serving(service);
        let limited = limited.filter(|candidate| candidate.rate_limit.per_second().is_some());
        let rate: f64 = limited.map(|candidate| candidate.rate_limit.rate()).sum();
        let next = self.next_request_at(now, service).unwrap_or(now);
        if rate == 0.0 {
            return next - now + MAX_RETURN_SPREAD.mul_f64(rng.random_range(0.0..1.0));
        }
        let last = self.last_returns.get(service).copied().unwrap_or_default();
        let latest = next.max(now + MAX_RETRY_AFTER);
        let at = next.max(last + rate_limit::interval(rate)).min(latest);
        self.last_returns.insert(service.clone(), at);
        at - now
    }
}
