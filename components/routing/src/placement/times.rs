//! Times that work takes at servers: what was measured, and what is expected.

use std::time::Duration;

use names::{
    Clock,
    Server,
    Service, //
};

use super::{
    Peer,
    Placement,
    Work,
    candidate::Candidate,
    speed::{
        Counts,
        Kind, //
    }, //
};

/// Weight of a new measurement in the mean time of a request.
const REQUEST_TIME_EWMA_WEIGHT: f64 = 0.05;

/// Weight of a new measurement in the mean time per prompt token.
const TOKEN_TIME_EWMA_WEIGHT: f64 = 0.1;

/// Weight of a new measurement in the mean number of events of a token.
const EVENT_SHARE_EWMA_WEIGHT: f64 = 0.05;

/// Smallest number of prompt tokens whose time says how fast a server processes prompts.
const MIN_MEASURED_TOKENS: u64 = 64;

impl Placement {
    /// Records that a server has processed a prompt of `tokens` tokens, `time` after it was sent.
    /// `ahead` is the number of prompt tokens that were pending at the server then, its own
    /// included.
    pub fn record_prefill(
        &mut self,
        now: Clock,
        server: &Server,
        tokens: u64,
        ahead: u64,
        time: Duration,
    ) {
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        candidate.own_work.prefill_tokens =
            candidate.own_work.prefill_tokens.saturating_sub(tokens);
        candidate.member.answered();
        if ahead == 0 {
            return;
        }
        let token_time = time.as_secs_f64() / ahead as f64;
        let usual = token_time / candidate.steady;
        let mean = self
            .token_times
            .entry(candidate.spec.service.clone())
            .or_insert(usual);
        candidate.recent.record(now, usual / *mean);
        *mean += TOKEN_TIME_EWMA_WEIGHT * (usual - *mean);
        if tokens >= MIN_MEASURED_TOKENS {
            self.speeds.record(now, server, Kind::Request, token_time);
        }
    }

    /// Records how long a request of a plain service took.
    pub(super) fn record_whole(&mut self, now: Clock, server: &Server, time: Duration) {
        let Some(candidate) = self.candidates.get_mut(server) else {
            return;
        };
        let time = time.as_secs_f64();
        let usual = time / candidate.steady;
        let mean = self
            .request_times
            .entry(candidate.spec.service.clone())
            .or_insert(usual);
        candidate
            .recent
            .record(now, usual / mean.max(f64::MIN_POSITIVE));
        *mean += REQUEST_TIME_EWMA_WEIGHT * (usual - *mean);
        self.speeds.record(now, server, Kind::Request, time);
    }

    /// Records the time between two events of a stream while its server processed no prompt.
    pub fn record_step(&mut self, now: Clock, server: &Server, time: f64) {
        let Some(candidate) = self.candidates.get(server) else {
            return;
        };
        let runs = candidate.total_work().requests;
        self.speeds.record_step(now, server, runs, time);
    }

    /// Records that a whole stream of a service had this number of events, for this number of tokens
    /// beyond its prompt.
    pub fn record_events(&mut self, server: &Server, events: u64, tokens: u64) {
        let Some(candidate) = self.candidates.get(server) else {
            return;
        };
        let share = events as f64 / tokens.max(1) as f64;
        let service = candidate.spec.service.clone();
        let mean = self.event_shares.entry(service).or_insert(share);
        *mean += EVENT_SHARE_EWMA_WEIGHT * (share - *mean);
    }

    /// Returns the number of prompt tokens that are pending at a server.
    pub fn queued_prefill_tokens(&self, server: &Server) -> u64 {
        self.candidates
            .get(server)
            .map_or(0, |candidate| candidate.total_work().prefill_tokens)
    }

    /// Returns the mean time of a request of a plain service.
    pub fn mean_time(&self, service: &Service) -> Option<Duration> {
        Duration::try_from_secs_f64(*self.request_times.get(service)?).ok()
    }

    /// Returns the expected time to process the prompts that are pending at a server. A faster
    /// server is given the time of a usual one, as the time is waited before it counts as silent.
    pub fn queued_prefill_time(&self, server: &Server) -> Option<Duration> {
        let candidate = self.candidates.get(server)?;
        let token_time = self.token_times.get(&candidate.spec.service)?;
        let tokens = candidate.total_work().prefill_tokens as f64;
        Duration::try_from_secs_f64(token_time * candidate.steady.max(1.0) * tokens).ok()
    }

    /// Returns the expected time to process `prefill_tokens` prompt tokens at a server of the same
    /// service that processes nothing else.
    pub fn idle_prefill_time(&self, server: &Server, prefill_tokens: u64) -> Option<Duration> {
        let candidate = self.candidates.get(server)?;
        let token_time = self.token_times.get(&candidate.spec.service)?;
        Duration::try_from_secs_f64(token_time * prefill_tokens as f64).ok()
    }

    /// Returns the expected time to the first event of `work` that is sent to a server now: that of
    /// the prompts that are pending there, and of its own.
    pub fn expected_first(&self, now: Clock, server: &Server, work: Work) -> Option<Duration> {
        self.first_event_time(now, self.candidates.get(server)?, work)
    }

    pub(super) fn first_event_time(
        &self,
        now: Clock,
        candidate: &Candidate,
        work: Work,
    ) -> Option<Duration> {
        let token_time = self.token_times.get(&candidate.spec.service)?;
        let tokens = candidate.total_work().prefill_tokens + work.prefill_tokens;
        Duration::try_from_secs_f64(token_time * candidate.slowness(now) * tokens as f64).ok()
    }

    /// Returns the expected time until `work` that is sent to a server now is whole.
    pub fn expected_whole(&self, now: Clock, server: &Server, work: Work) -> Option<Duration> {
        let candidate = self.candidates.get(server)?;
        let service = &candidate.spec.service;
        if candidate.spec.memory == 0 {
            let time = self.mean_time(service)?;
            return Some(time.mul_f64(candidate.slowness(now)));
        }
        let first = self.expected_first(now, server, work)?;
        let runs = candidate.total_work().requests + work.requests;
        let step = self.speeds.step_time(server, runs)? * candidate.recent.slowness(now);
        let tokens = work.tokens.saturating_sub(work.prefill_tokens);
        let events = self.event_shares.get(service)? * tokens as f64;
        Some(first + Duration::try_from_secs_f64(step * events).ok()?)
    }

    /// Forgets the speed of a server whose process started again.
    pub fn reset_speed(&mut self, server: &Server) {
        self.speeds.reset(server);
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.steady = 1.0;
            candidate.recent = Default::default();
        }
    }

    /// Computes the steady speeds again if that is due. Returns the servers whose slowness changed,
    /// with the slowness before.
    pub fn refresh_speeds(&mut self, now: Clock) -> Vec<(Server, f64)> {
        if !self.speeds.is_due(now) {
            return Vec::new();
        }
        self.speeds.refresh(now);
        let mut changed = Vec::new();
        for (server, candidate) in &mut self.candidates {
            let slowness = self.speeds.slowness(server);
            if slowness != candidate.steady {
                changed.push((server.clone(), candidate.steady));
                candidate.steady = slowness;
            }
        }
        changed
    }

    /// Returns how many servers are slower than the others of their service, and how many are
    /// faster.
    pub fn unusual_speeds(&self) -> (usize, usize) {
        let steady = || self.candidates.values().map(|candidate| candidate.steady);
        let slower = steady().filter(|slowness| *slowness > 1.0).count();
        let faster = steady().filter(|slowness| *slowness < 1.0).count();
        (slower, faster)
    }

    /// Returns the steady slowness of a server relative to the others of its service: 1 for one as
    /// fast as they are, 2 for one that takes twice as long.
    pub fn steady_slowness(&self, server: &Server) -> f64 {
        self.candidates
            .get(server)
            .map_or(1.0, |candidate| candidate.steady)
    }

    /// Replaces a peer's counts of observations at a server, unless those of a later message are
    /// known.
    pub fn set_peer_counts(
        &mut self,
        now: Clock,
        (peer, sequence): (Peer, u32),
        server: &Server,
        counts: [Counts; 2],
    ) {
        self.speeds
            .set_peer_counts(now, (peer, sequence), server, counts);
    }

    /// Returns this process's counts at up to `count` servers with news, and at a few others in turn.
    pub fn take_counts(&mut self, now: Clock, count: usize) -> Vec<(Server, [Counts; 2])> {
        self.speeds.take_counts(now, count)
    }

    /// Returns this process's counts at all servers.
    pub fn all_counts(&self, now: Clock) -> Vec<(Server, [Counts; 2])> {
        self.speeds.all_counts(now)
    }
}
