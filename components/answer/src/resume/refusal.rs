//! What follows when a replica refuses a generation.
//!
//! Nothing was run, so a refusal costs none of the answer's epochs, but for one that came beside a
//! run that may yet go on; another replica is asked at once. When several refuse in a row, an answer that has never run is given up at once, so that its
//! caller hears it. An answer that has run is worth more: after a death many answers look for a new
//! place in the same moment, and those that were in flight with a crash are kept apart for a while.
//! Given up there, an innocent answer would be lost although a place is free a moment later. So it
//! asks again after a pause, up to a limit.

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

/// Shortest and longest pause before an answer that was refused asks again.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Refusals since the last token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Refusals {
    /// In a row, without a pause in between.
    row: u32,
    /// When the first of them came.
    since: Option<Clock>,
    /// When the answer asks again.
    pub(super) again: Option<Clock>,
}

impl Resume {
    pub(super) fn refused(
        &mut self,
        now: Clock,
        epoch: Epoch,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.remove(epoch) else {
            return;
        };
        self.avoid(attempt.server);
        if !self.attempts.is_empty() {
            // It counts all the same: a suspicion that is refused again and again must end.
            self.quiet_until = now + self.threshold.limit();
            return;
        }
        self.started -= 1;
        self.refusals.row += 1;
        let since = *self.refusals.since.get_or_insert(now);
        if self.refusals.row < self.settings.max_refusals {
            self.replace(now, actions);
            return;
        }
        if self.started == 0 || now.saturating_sub(since) >= self.settings.refusal_timeout {
            self.interrupt(Interruption::Refused, retry_after, actions);
            return;
        }
        self.refusals.row = 0;
        self.refusals.again = Some(now + retry_after.clamp(PAUSE.0, PAUSE.1));
    }

    /// Asks again when the pause is over.
    pub(super) fn ask_again(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.refusals.again.is_some_and(|due| due <= now) {
            self.refusals.again = None;
            self.replace(now, actions);
        }
    }
}
