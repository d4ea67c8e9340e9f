//! What servers say of themselves in their answers: that they leave, or that they want no requests
//! from this process for a time.
//!
//! Both hold for one run of a server, whatever its registration says and whether it has one.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::{
    Clock,
    Server, //
};
use rand::{
    Rng,
    RngExt, //
};

use super::Placement;

/// Longest delay after the end of a backoff until the server is used again, as a share of the
/// backoff and in time: the processes that a server asked together don't return together.
const MAX_RESUME_DELAY_SHARE: f64 = 0.1;
const MAX_RESUME_DELAY: Duration = Duration::from_millis(500);

/// Interval between requests to a server that hasn't answered any since its backoff.
const TRIAL_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of servers without a registration whose notices are kept.
const MAX_UNREGISTERED: usize = 256;

/// What a server said in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Said {
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// Time for which it asked for no requests.
    pub backoff: Option<Duration>,
}

/// What is new in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Whether the server had not said before that it leaves.
    pub leaving: bool,
    /// Whether its backoff was prolonged.
    pub backoff: bool,
}

/// What a run of a server said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Notice {
    /// Start of the run; `None` while it is unknown.
    started_ms: Option<u64>,
    leaving: bool,
    backoff_until: Clock,
    /// Whether no request that was sent after the backoff was answered.
    on_trial: bool,
    /// Time until which the server gets no further request on trial.
    trial_until: Clock,
}

impl Notice {
    /// Returns whether the server said that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether the server wants requests.
    pub(super) fn wants_requests(&self, now: Clock) -> bool {
        self.next_request_at() <= now
    }

    /// Returns from when the server wants requests.
    pub(super) fn next_request_at(&self) -> Clock {
        self.backoff_until.max(self.trial_until)
    }

    /// Records that a request was sent.
    pub(super) fn sent(&mut self, now: Clock) {
        if self.on_trial && self.backoff_until <= now {
            self.trial_until = now + TRIAL_INTERVAL;
        }
    }

    fn record(&mut self, now: Clock, sent_at: Clock, said: Said, rng: &mut impl Rng) -> News {
        let mut news = News {
            leaving: said.leaving && !self.leaving,
            backoff: false,
        };
        self.leaving |= said.leaving;
        let Some(backoff) = said.backoff else {
            if self.on_trial && sent_at >= self.backoff_until {
                (self.on_trial, self.trial_until) = (false, Clock::ZERO);
            }
            return news;
        };
        let end = now.saturating_add(backoff);
        if end > self.backoff_until {
            let max_delay = backoff
                .mul_f64(MAX_RESUME_DELAY_SHARE)
                .min(MAX_RESUME_DELAY);
            let delay = max_delay.mul_f64(rng.random_range(0.0..1.0));
            self.backoff_until = end.saturating_add(delay);
            (self.on_trial, self.trial_until) = (true, Clock::ZERO);
            news.backoff = true;
        }
        news
    }

    /// Records that the run has started at a time; what an earlier one said doesn't hold for it.
    fn set_started(&mut self, started_ms: u64) {
        if self.started_ms.is_some_and(|known| known != started_ms) {
            *self = Notice::default();
        }
        self.started_ms = Some(started_ms);
    }

    fn matters(&self, now: Clock) -> bool {
        self.leaving || !self.wants_requests(now)
    }
}

/// Notices of servers that have no registration.
#[derive(Clone, Debug, Default)]
pub(super) struct Unregistered(BTreeMap<Server, Notice>);

impl Unregistered {
    /// Keeps the notice of a server whose registration was removed.
    pub(super) fn keep(&mut self, server: &Server, notice: Notice) {
        if !notice.leaving && notice.backoff_until == Clock::ZERO {
            return;
        }
        if self.0.len() >= MAX_UNREGISTERED {
            let ends_first = self.0.iter().min_by_key(|(_, notice)| notice.backoff_until);
            let ends_first = ends_first.map(|(server, _)| server.clone());
            self.0
                .retain(|server, _| Some(server) != ends_first.as_ref());
        }
        self.0.insert(server.clone(), notice);
    }

    /// Takes the notice of a server that registers.
    pub(super) fn take(&mut self, server: &Server) -> Notice {
        self.0.remove(server).unwrap_or_default()
    }
}

impl Placement {
    /// Records what a server said in an answer to a request that was sent at `sent_at`.
    pub fn record_said(
        &mut self,
        now: Clock,
        sent_at: Clock,
        server: &Server,
        said: Said,
        rng: &mut impl Rng,
    ) -> News {
        self.unregistered.0.retain(|_, notice| notice.matters(now));
        match self.candidates.get_mut(server) {
            Some(candidate) => {
                let news = candidate.notice.record(now, sent_at, said, rng);
                let end = candidate.notice.next_request_at();
                self.last_backoff_end = self.last_backoff_end.max(end);
                news
            }
            None if said == Said::default() => News::default(),
            None => {
                let mut notice = self.unregistered.take(server);
                let news = notice.record(now, sent_at, said, rng);
                self.unregistered.keep(server, notice);
                news
            }
        }
    }

    /// Sets the start of a server's run. What an earlier run said no longer holds.
    pub fn set_started(&mut self, server: &Server, started_ms: u64) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            candidate.notice.set_started(started_ms);
        }
    }

    /// Returns whether a server wants requests from this process now.
    pub fn wants_requests(&self, now: Clock, server: &Server) -> bool {
        let candidate = self.candidates.get(server);
        candidate.is_none_or(|candidate| candidate.notice.wants_requests(now))
    }
}
