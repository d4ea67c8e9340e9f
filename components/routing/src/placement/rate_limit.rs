//! Limits that servers name on the rate of requests from all processes together.
//!
//! Each process takes a part of the limit that corresponds to its part of the demand, as far as it
//! has heard from the others. A token bucket in each process would not keep the limit: most of many
//! processes are idle for a while, and what they save up may be sent at the same moment. Sends
//! therefore fall due one after the other, and lapse when they are not used soon.

use std::time::Duration;

use names::Clock;

/// Time for which a send that is due can be used. All processes together send at most what falls
/// due in an interval and in this time before it.
const SEND_VALIDITY: Duration = Duration::from_secs(1);

/// Share of a limit that is used: the sends of many processes don't come evenly.
const USABLE_SHARE: f64 = 0.9;

/// Rate at which a server that accepts nothing is asked whether it still does, in requests per
/// second.
const MIN_RATE: f64 = 0.25;

/// Change of a limit that is news to other processes, as a share of it.
const MIN_NEWS_CHANGE: f64 = 0.1;

/// Limit of one server, as this process keeps it.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    /// Requests per second from all processes together; `None` while the server names no limit.
    per_second: Option<f64>,
    /// Time of the last answer, here or elsewhere, that the limit is taken from.
    known_at: Clock,
    /// Part of this process.
    share: f64,
    /// Sends that were due at `updated_at`, with the fraction of the next one.
    due: f64,
    updated_at: Clock,
}

impl Default for RateLimit {
    fn default() -> RateLimit {
        RateLimit {
            per_second: None,
            known_at: Clock::ZERO,
            share: 1.0,
            due: 0.0,
            updated_at: Clock::ZERO,
        }
    }
}

impl RateLimit {
    /// Returns the limit, if the server names one.
    pub(super) fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Returns the time of the answer that the limit is taken from.
    pub(super) fn known_at(&self) -> Clock {
        self.known_at
    }

    /// Records the limit in an answer that arrived now to a request sent at `sent_at`. Returns
    /// whether it is news to other processes.
    pub(super) fn record_answer(
        &mut self,
        now: Clock,
        sent_at: Clock,
        per_second: Option<f64>,
        initial_due: f64,
    ) -> bool {
        // An answer without a limit may be older than one that named it.
        if per_second.is_none() && (self.per_second.is_none() || sent_at < self.known_at) {
            return false;
        }
        self.set(now, now, per_second, initial_due)
    }

    /// Records a limit that another process got in an answer at the time `at`. Returns whether it
    /// changed.
    pub(super) fn record_report(
        &mut self,
        now: Clock,
        at: Clock,
        per_second: Option<f64>,
        initial_due: f64,
    ) -> bool {
        at > self.known_at && self.set(now, at, per_second, initial_due)
    }

    fn set(&mut self, now: Clock, at: Clock, per_second: Option<f64>, initial_due: f64) -> bool {
        self.due = match self.per_second {
            Some(_) => self.due_at(now),
            None => initial_due,
        };
        self.updated_at = now;
        self.known_at = at;
        let before = std::mem::replace(&mut self.per_second, per_second);
        match (before, per_second) {
            (None, None) => false,
            (None, Some(_)) | (Some(_), None) => true,
            (Some(before), Some(after)) => {
                (before - after).abs() > MIN_NEWS_CHANGE * before.max(after)
            }
        }
    }

    /// Sets the part of this process.
    pub(super) fn set_share(&mut self, now: Clock, share: f64) {
        self.due = self.due_at(now);
        self.updated_at = now;
        self.share = share;
    }

    /// Returns how many requests this process may send now; `None` if the server has no limit.
    pub(super) fn available(&self, now: Clock) -> Option<u32> {
        self.per_second?;
        Some(self.due_at(now) as u32)
    }

    /// Returns the time from which this process may send a request.
    pub(super) fn next_send_at(&self, now: Clock) -> Clock {
        let missing = 1.0 - self.due_at(now);
        match self.per_second {
            Some(_) if missing > 0.0 => now + interval(self.rate()).mul_f64(missing),
            _ => now,
        }
    }

    /// Records that a request was sent.
    pub(super) fn take(&mut self, now: Clock) {
        self.due = (self.due_at(now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    /// Returns the requests per second of this process.
    pub(super) fn rate(&self) -> f64 {
        let usable = self.per_second.unwrap_or_default() * USABLE_SHARE;
        usable.max(MIN_RATE) * self.share.clamp(0.0, 1.0)
    }

    /// Returns the sends that are due and have not lapsed, with the fraction of the next one.
    fn due_at(&self, now: Clock) -> f64 {
        let rate = self.rate();
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let due = self.due + rate * elapsed;
        let lapsed = due - (1.0 + rate * SEND_VALIDITY.as_secs_f64());
        due - lapsed.max(0.0).ceil()
    }
}

/// Returns the time between two sends at a rate in requests per second.
pub(super) fn interval(rate: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::from_secs(3600))
}
