//! Limits on the request rates of servers, as the placement keeps them.

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

    /// Returns whether the limit on a server's request rate allows a request now.
    pub fn allows_request(&self, now: Clock, server: &Server) -> bool {
        let Some(candidate) = self.candidates.get(server) else {
            return true;
        };
        candidate.rate_limit.available(now) != Some(0)
    }

    /// Returns when the limits on the servers' request rates allow a request to a service; `None`
    /// if they don't prevent it now.
    pub fn next_request_at(&self, now: Clock, service: &Service) -> Option<Clock> {
        let serves =
            |candidate: &&Candidate| !candidate.leaving && candidate.spec.service == *service;
        let times = self.candidates.values().filter(serves);
        let times = times.map(|candidate| candidate.rate_limit.next_send_at(now));
        times.min().filter(|at| *at > now)
    }

    /// Returns when a caller that is refused for the limits on the servers' request rates should
    /// return. Callers return one after the other, at the rate that the limits allow.
    pub fn retry_after(&mut self, now: Clock, service: &Service) -> Duration {
        let serving = self.candidates.values().filter(|candidate| {
            let has_limit = candidate.rate_limit.per_second().is_some();
            !candidate.leaving && candidate.spec.service == *service && has_limit
        });
        let rates = serving.map(|candidate| candidate.rate_limit.rate());
        let interval = rate_limit::interval(rates.sum());
        let next = self.next_request_at(now, service).unwrap_or(now);
        let last = self.last_returns.get(service).copied().unwrap_or_default();
        let at = next.max(last + interval).min(now + MAX_RETRY_AFTER);
        self.last_returns.insert(service.clone(), at);
        at - now
    }
}
