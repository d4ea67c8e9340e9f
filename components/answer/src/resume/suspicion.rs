//! Suspicion before certainty: the clock of an answer.
//!
//! An engine that stopped, or a host that is gone, says nothing; waiting for proof would hold the
//! caller for many seconds. Past the threshold of silence a second epoch starts while the first is
//! still listened to. A wrong suspicion costs one prefill, never a token of the answer.

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

/// Epochs that are listened to at one time.
const MOST_LIVE: usize = 2;

/// Part of the threshold after which a silent epoch is dialled anew.
const PROBE: u32 = 2;

impl Resume {
    /// Time at which the driver must give [`super::Event::Tick`].
    pub fn next_wake(&self) -> Option<Clock> {
        if self.done {
            return None;
        }
        let mut wake = self.settings.deadline;
        if let Some(due) = self.refusals.again {
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
        self.ask_again(now, actions);
        self.dial(now, actions);
        self.probe(now, actions);
        if self.suspicion_due().is_some_and(|due| due <= now) {
            self.hedge(now, actions);
        }
    }

    /// A hint that a server is gone: its epochs are overdue at once. The hint may be wrong, so they
    /// are still listened to.
    pub(super) fn suspect(&mut self, server: &Server) {
        for attempt in &mut self.attempts {
            if attempt.server.as_ref() == Some(server) {
                attempt.suspect = true;
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

    /// When an epoch's silence calls for a new link.
    ///
    /// A link can go silent for good while the engine goes on; its heartbeats tell only after
    /// seconds. A dial is cheap: if the tokens are there, it brings them before a second epoch would
    /// have to prefill, and if the sidecar lost the generation, it says so.
    fn probe_due(&self, attempt: &Attempt) -> Option<Clock> {
        let probeable = attempt.spoke && !attempt.probed && attempt.state == State::Running;
        probeable.then(|| attempt.heard + self.threshold.limit() / PROBE)
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

    /// When the last of the live epochs is overdue.
    fn suspicion_due(&self) -> Option<Clock> {
        let startable = self.settings.continues || self.cursor.next() == 0;
        if !startable || self.started >= self.settings.max_epochs {
            return None;
        }
        let last = self.attempts.iter().map(|attempt| self.due(attempt)).max();
        last.map(|due| due.max(self.quiet_until))
    }

    fn due(&self, attempt: &Attempt) -> Clock {
        if attempt.suspect {
            return attempt.heard;
        }
        if attempt.spoke {
            return attempt.heard + self.threshold.limit();
        }
        attempt.heard + self.settings.first_token_timeout
    }

    fn hedge(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.attempts.len() >= MOST_LIVE {
            let oldest = self.attempts.remove(0);
            self.avoid(oldest.server);
            actions.push(Action::Cancel {
                epoch: oldest.epoch,
            });
        }
        self.start(now, Cause::Suspicion, actions);
    }
}
