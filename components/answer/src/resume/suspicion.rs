//! Suspicion of silent engines, and the timers of an answer.
//!
//! A stopped engine or a lost host sends nothing, and waiting for proof would delay the caller by
//! many seconds. Beyond a threshold of silence a second epoch starts while the first is still
//! followed. A wrong suspicion costs one prefill, never a token of the answer.

use std::time::Duration;

use names::{
    Clock,
    Epoch,
    Server, //
};

use super::{
    Action,
    Cause,
    Interruption,
    Resume,
    attempt::{
        Attempt,
        State, //
    }, //
};

/// Maximum number of epochs followed at the same time, beside one that is being placed.
const MAX_LIVE_EPOCHS: usize = 2;

/// Divisor of the threshold that gives the silence after which an epoch is redialled.
const PROBE_DIVISOR: u32 = 2;

impl Resume {
    /// Returns the time at which the driver must send [`super::Event::Tick`].
    pub fn next_wake(&self) -> Option<Clock> {
        if self.done {
            return None;
        }
        let mut wake = self.settings.deadline;
        if let Some(due) = self.refusals.retry_at {
            wake = wake.min(due);
        }
        for attempt in &self.attempts {
            if let State::Waiting(due) = attempt.state {
                wake = wake.min(due);
            }
            if let Some(due) = self.probe_due(attempt) {
                wake = wake.min(due);
            }
        }
        if let Some(due) = self.suspicion_due() {
            wake = wake.min(due);
        }
        Some(wake)
    }

    pub(super) fn tick(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if now >= self.settings.deadline {
            self.interrupt(Interruption::Deadline, Duration::ZERO, actions);
            return;
        }
        self.retry_refused(now, actions);
        self.dial(now, actions);
        self.probe(now, actions);
        if self.suspicion_due().is_some_and(|due| due <= now) {
            self.start_hedge(now, actions);
        }
    }

    /// Excludes a pause of this process from the silence of all epochs. What arrived during the
    /// pause is read in the time after it, so the shortest limit of a silence is excluded as well.
    pub(super) fn discount_pause(&mut self, now: Clock, pause: Duration) {
        let excluded = pause + self.threshold.lowest();
        for attempt in &mut self.attempts {
            attempt.last_token_at = now.min(attempt.last_token_at + excluded);
        }
    }

    /// Marks the epochs of a server that was reported as gone as overdue. The report may be wrong,
    /// so they are still followed.
    pub(super) fn suspect(&mut self, server: &Server) {
        for attempt in &mut self.attempts {
            if attempt.server.as_ref() == Some(server) {
                attempt.suspected = true;
            }
        }
    }

    fn dial(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let from = self.cursor.next();
        for attempt in &mut self.attempts {
            let State::Waiting(due) = attempt.state else {
                continue;
            };
            if due > now {
                continue;
            }
            attempt.state = State::Dialling;
            actions.push(Action::Attach {
                epoch: attempt.epoch,
                from,
            });
        }
    }

    /// Returns when an epoch's silence calls for a new link.
    ///
    /// A link can go silent for good while the engine continues; missing heartbeats show that only
    /// after seconds. A dial is cheap: if the tokens are there, it delivers them before a second
    /// epoch could prefill, and if the sidecar lost the generation, it reports that.
    fn probe_due(&self, attempt: &Attempt) -> Option<Clock> {
        let probeable = attempt.has_token && !attempt.probed && attempt.state == State::Running;
        probeable.then(|| attempt.last_token_at + self.threshold.limit() / PROBE_DIVISOR)
    }

    fn probe(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let from = self.cursor.next();
        let due = |attempt: &Attempt| self.probe_due(attempt).is_some_and(|due| due <= now);
        let epochs: Vec<Epoch> = self
            .attempts
            .iter()
            .filter(|one| due(one))
            .map(|one| one.epoch)
            .collect();
        for epoch in epochs {
            if let Some(attempt) = self.attempt(epoch) {
                attempt.probed = true;
                attempt.state = State::Dialling;
            }
            actions.push(Action::Attach { epoch, from });
        }
    }

    /// Returns when the last of the live epochs is overdue.
    fn suspicion_due(&self) -> Option<Clock> {
        let can_start = self.settings.continues || self.cursor.next() == 0;
        if !can_start || self.started >= self.settings.max_epochs {
            return None;
        }
        let last = self
            .attempts
            .iter()
            .map(|attempt| self.overdue_at(attempt))
            .max();
        last.map(|due| due.max(self.next_suspicion_at))
    }

    fn overdue_at(&self, attempt: &Attempt) -> Clock {
        if attempt.suspected {
            return attempt.last_token_at;
        }
        if attempt.has_token {
            return attempt.last_token_at + self.threshold.limit();
        }
        attempt.last_token_at + self.settings.first_token_timeout
    }

    fn start_hedge(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.attempts.len() > MAX_LIVE_EPOCHS {
            // One of them is still being placed.
            self.next_suspicion_at = now + self.threshold.limit();
            return;
        }
        self.start(now, Cause::Suspicion, actions);
    }

    /// Cancels the oldest epoch beside one that was placed, if there are too many. Until then it may still
    /// complete the answer.
    pub(super) fn cancel_oldest(&mut self, placed: Epoch, actions: &mut Vec<Action>) {
        if self.attempts.len() <= MAX_LIVE_EPOCHS {
            return;
        }
        let mut others = self.attempts.iter().map(|attempt| attempt.epoch);
        let oldest = others.find(|epoch| *epoch != placed);
        let Some(oldest) = oldest.and_then(|epoch| self.remove(epoch)) else {
            return;
        };
        self.avoid_server(oldest.server);
        actions.push(Action::Cancel {
            epoch: oldest.epoch,
        });
    }
}
