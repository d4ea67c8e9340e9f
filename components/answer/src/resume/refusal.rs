//! Handling of replicas that refuse a generation.
//!
//! A refused generation didn't run, so a refusal doesn't count as an epoch of the answer, except
//! for an epoch started beside a run that may still continue. Another replica is asked at once.
//! After several consecutive refusals, an answer that has never run is abandoned at once, which
//! gives its caller an early error. An answer that has run is retried for longer: after a death
//! many answers look for a replica at the same moment, and those in flight during a crash are
//! isolated for a while. Abandoned then, an innocent answer would be lost although a replica has
//! capacity a moment later. So it asks again after a pause, up to a limit.

use std::time::Duration;

use names::{
    Clock,
    Epoch, //
};

use super::{
    Action,
    Interruption,
    Resume, //
};

/// Minimum and maximum pause before a refused answer asks again.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Refusals since the last token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Refusals {
    /// Consecutive refusals without a pause.
    consecutive: u32,
    /// Time of the first refusal.
    since: Option<Clock>,
    /// Time at which the answer asks again.
    pub(super) retry_at: Option<Clock>,
}

impl Resume {
    pub(super) fn handle_refused(
        &mut self,
        now: Clock,
        epoch: Epoch,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.remove(epoch) else {
            return;
        };
        self.avoid_server(attempt.server);
        if !self.attempts.is_empty() {
            // The epoch counts nevertheless: a suspicion that is refused repeatedly must end.
            self.next_suspicion_at = now + self.threshold.limit();
            return;
        }
        self.started -= 1;
        self.refusals.consecutive += 1;
        let since = *self.refusals.since.get_or_insert(now);
        if self.refusals.consecutive < self.settings.max_refusals {
            self.start_replacement(now, actions);
            return;
        }
        if self.started == 0 || now.saturating_sub(since) >= self.settings.refusal_timeout {
            self.interrupt(Interruption::Refused, retry_after, actions);
            return;
        }
        self.refusals.consecutive = 0;
        self.refusals.retry_at = Some(now + retry_after.clamp(PAUSE_BOUNDS.0, PAUSE_BOUNDS.1));
    }

    /// Starts a new epoch once the pause is over.
    pub(super) fn retry_refused(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.refusals.retry_at.is_some_and(|due| due <= now) {
            self.refusals.retry_at = None;
            self.start_replacement(now, actions);
        }
    }
}
