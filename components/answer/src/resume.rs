//! The entry's decisions about one answer: which epoch's tokens to accept, when to redial, when to
//! start the next epoch, when to give up.
//!
//! At most two epochs are followed, and a third one until it is placed. A new token fences all other
//! epochs: the first epoch to deliver the next index owns the answer. An epoch starts from exactly the
//! tokens accepted so far, so the caller always receives a prefix of one generation's text, the
//! owner's.
//!
//! Obligations of the driver:
//! - On [`Action::Start`] it picks a replica of the pinned version and sends it the kept tokens as
//!   `continue_from`. It responds with [`Event::Placed`], [`Event::NoPlace`], [`Event::Refused`]
//!   or, for a suspicion without budget, [`Event::Denied`].
//! - On [`Action::Cancel`] of an epoch that is still being placed, it cancels the epoch once
//!   placed.
//! - After each event it waits for the next one, or sends [`Event::Tick`] at [`Resume::next_wake`];
//!   [`Event::Paused`] if its process was paused since the last event.

mod attempt;
mod message;
mod refusal;
mod suspicion;

use std::time::Duration;

use names::{
    Clock,
    Epoch,
    Index,
    Server, //
};

use crate::{
    Finish,
    cursor::{
        Cursor,
        Verdict, //
    },
    position::Position,
    threshold::Threshold, //
};
use attempt::{
    Attempt,
    State, //
};
pub use message::{
    Action,
    Cause,
    Event,
    Interruption,
    Settings, //
};
use refusal::Refusals;

/// Number of an answer's first epoch.
pub const FIRST_EPOCH: Epoch = 1;

/// State of one answer at its entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Resume {
    settings: Settings,
    threshold: Threshold,
    cursor: Cursor,
    /// Position after the accepted tokens.
    position: Position,
    /// Position of the caller on arrival; tokens before it are kept but not delivered.
    caller_position: Position,
    attempts: Vec<Attempt>,
    owner: Option<Epoch>,
    next_epoch: Epoch,
    /// Epochs that count towards `max_epochs`.
    started: u32,
    /// Servers that lost or refused an epoch, sorted.
    avoid: Vec<Server>,
    /// Earliest time of the next suspicion, after one that was denied or found no replica.
    next_suspicion_at: Clock,
    refusals: Refusals,
    done: bool,
}

impl Resume {
    /// Creates an answer that has not started.
    pub fn new(settings: Settings, now: Clock) -> Resume {
        let threshold = Threshold::new(settings.suspicion, settings.pool);
        Resume {
            settings,
            threshold,
            cursor: Cursor::default(),
            position: Position::default(),
            caller_position: Position::default(),
            attempts: Vec::new(),
            owner: None,
            next_epoch: FIRST_EPOCH,
            started: 0,
            avoid: Vec::new(),
            next_suspicion_at: now,
            refusals: Refusals::default(),
            done: false,
        }
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&mut self, now: Clock, event: Event, actions: &mut Vec<Action>) {
        if self.done {
            self.handle_late(event, actions);
            return;
        }
        match event {
            Event::Begin { from } => self.handle_begin(now, from, actions),
            Event::Return { position } => {
                self.caller_position = position;
                self.start(now, Cause::First, actions);
            }
            Event::Found {
                epoch,
                server,
                position,
            } => self.attach_found(now, epoch, server, position, actions),
            Event::Placed { epoch, server } => self.handle_placed(now, epoch, server, actions),
            Event::NoPlace { epoch, retry_after } => {
                self.handle_no_place(now, epoch, retry_after, actions);
            }
            Event::Refused { epoch, retry_after } => {
                self.handle_refused(now, epoch, retry_after, actions);
            }
            Event::Denied { epoch } => self.handle_denied(now, epoch, actions),
            Event::Tokens {
                epoch,
                index,
                tokens,
            } => self.accept(now, epoch, index, tokens, actions),
            Event::End {
                epoch,
                total,
                finish,
            } => self.handle_end(now, epoch, total, finish, actions),
            Event::LinkLost { epoch } => self.redial(now, epoch, actions),
            Event::Attached { epoch } => self.handle_attached(epoch),
            Event::AttachMissed { epoch } => self.handle_loss(now, epoch, actions),
            Event::HostGone { server } => {
                self.suspect(&server);
                self.tick(now, actions);
            }
            Event::CallerGone => self.disconnect(actions),
            Event::Tick => self.tick(now, actions),
            Event::Paused { duration } => {
                self.discount_pause(now, duration);
                self.tick(now, actions);
            }
        }
    }

    /// Returns the number of accepted tokens, which is the next index.
    pub fn next(&self) -> Index {
        self.cursor.next()
    }

    /// Returns the epoch that delivered the last token.
    pub fn owner(&self) -> Option<Epoch> {
        self.owner
    }

    /// Returns whether an epoch is followed; tokens of any other epoch are dropped.
    pub fn follows(&self, epoch: Epoch) -> bool {
        self.attempts.iter().any(|attempt| attempt.epoch == epoch)
    }

    /// Returns whether the answer has ended, complete or not.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Cancels an epoch that was placed after the answer ended.
    fn handle_late(&self, event: Event, actions: &mut Vec<Action>) {
        if let Event::Placed { epoch, .. } = event {
            actions.push(Action::Cancel { epoch });
        }
    }

    fn handle_begin(&mut self, now: Clock, from: Index, actions: &mut Vec<Action>) {
        // Without a digest it can't be verified that new tokens continue the caller's text.
        if from > 0 {
            actions.push(Action::Restart { kept: 0 });
        }
        self.start(now, Cause::First, actions);
    }

    fn attach_found(
        &mut self,
        now: Clock,
        epoch: Epoch,
        server: Server,
        position: Position,
        actions: &mut Vec<Action>,
    ) {
        self.caller_position = position;
        self.next_epoch = epoch + 1;
        self.started = 1;
        let mut attempt = Attempt::new(epoch, 0, now);
        attempt.server = Some(server);
        attempt.state = State::Dialling;
        self.attempts.push(attempt);
        // From 0, not from the position: without the earlier tokens this entry could neither verify
        // that the text is the caller's nor continue it elsewhere.
        actions.push(Action::Attach { epoch, from: 0 });
    }

    fn handle_placed(
        &mut self,
        now: Clock,
        epoch: Epoch,
        server: Server,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempt(epoch) else {
            actions.push(Action::Cancel { epoch });
            return;
        };
        attempt.server = Some(server);
        if attempt.state == State::Placing {
            attempt.state = State::Running;
            attempt.last_token_at = now;
        }
        self.cancel_oldest(epoch, actions);
    }

    fn handle_no_place(
        &mut self,
        now: Clock,
        epoch: Epoch,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        if self.remove(epoch).is_none() {
            return;
        }
        if self.attempts.is_empty() {
            self.interrupt(Interruption::NoReplica, retry_after, actions);
            return;
        }
        self.next_suspicion_at = now + retry_after.max(self.threshold.limit());
    }

    fn handle_denied(&mut self, now: Clock, epoch: Epoch, actions: &mut Vec<Action>) {
        if self.remove(epoch).is_none() {
            return;
        }
        self.started -= 1;
        // The suspected epoch may have been lost meanwhile. Then the suspicion is moot, and without
        // a next epoch the caller would never get an answer.
        if self.attempts.is_empty() {
            self.start_replacement(now, actions);
            return;
        }
        // Other answers on the same server soon have a second epoch, which shows whether the server
        // is silent. Another full limit would double the caller's wait.
        self.next_suspicion_at = now + self.threshold.lowest();
    }

    fn accept(
        &mut self,
        now: Clock,
        epoch: Epoch,
        index: Index,
        mut tokens: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        // Tokens of a fenced epoch may still arrive; accepting one would mix two generations.
        if self.attempt(epoch).is_none() {
            return;
        }
        match self.cursor.classify(index, tokens.len()) {
            Verdict::Repeat => {}
            Verdict::Hole => self.redial(now, epoch, actions),
            Verdict::Fresh { skip } => {
                tokens.drain(..skip);
                self.make_owner(now, epoch, actions);
                self.deliver(tokens, actions);
            }
        }
    }

    /// Makes an epoch the owner and fences all other epochs.
    fn make_owner(&mut self, now: Clock, epoch: Epoch, actions: &mut Vec<Action>) {
        let mut wrongly_suspected = false;
        let mut overtaken = Vec::new();
        for attempt in &self.attempts {
            if attempt.epoch == epoch {
                continue;
            }
            if attempt.epoch < epoch {
                overtaken.extend(attempt.server.clone());
            }
            // A wrong suspicion doesn't count as an epoch. Otherwise a long answer of a slow engine
            // would exhaust its epochs, and the first real loss would interrupt it.
            if attempt.epoch > epoch {
                self.started -= 1;
                wrongly_suspected = true;
            }
            actions.push(Action::Cancel {
                epoch: attempt.epoch,
            });
        }
        // A server that was silent until another one overtook it would delay the answer again, yet
        // looks idle to the next placement.
        for server in overtaken {
            self.avoid_server(Some(server));
        }
        self.attempts.retain(|attempt| attempt.epoch == epoch);
        self.owner = Some(epoch);
        self.refusals = Refusals::default();
        for attempt in &mut self.attempts {
            let silence = now.saturating_sub(attempt.last_token_at);
            if attempt.has_token && attempt.dials == 0 {
                self.threshold.record(silence);
            }
            if attempt.has_token && wrongly_suspected {
                self.threshold.raise_floor(silence);
            }
            attempt.record_token(now);
        }
    }

    /// Delivers new tokens; those before the caller's position are only kept.
    fn deliver(&mut self, tokens: Vec<String>, actions: &mut Vec<Action>) {
        let mut index = self.cursor.next();
        let missing = self.caller_position.next.saturating_sub(index);
        let kept_count = missing.min(tokens.len() as Index) as usize;
        let mut kept = tokens;
        let fresh = kept.split_off(kept_count);
        if !kept.is_empty() {
            self.advance(&kept);
            actions.push(Action::Keep {
                index,
                tokens: kept,
            });
            index = self.cursor.next();
            if index == self.caller_position.next && self.position != self.caller_position {
                self.restart(actions);
            }
        }
        if !fresh.is_empty() {
            self.advance(&fresh);
            actions.push(Action::Deliver {
                index,
                tokens: fresh,
            });
        }
    }

    fn advance(&mut self, tokens: &[String]) {
        for token in tokens {
            self.position.push(token);
        }
        self.cursor.advance(tokens.len());
    }

    /// Restarts the caller's text from the beginning, as its tokens are from another text.
    fn restart(&mut self, actions: &mut Vec<Action>) {
        self.caller_position = Position::default();
        actions.push(Action::Restart {
            kept: self.cursor.next(),
        });
    }

    fn handle_end(
        &mut self,
        now: Clock,
        epoch: Epoch,
        total: Index,
        finish: Finish,
        actions: &mut Vec<Action>,
    ) {
        if self.attempt(epoch).is_none() {
            return;
        }
        if !finish.is_complete() || total < self.cursor.next() {
            self.handle_loss(now, epoch, actions);
            return;
        }
        if total > self.cursor.next() {
            self.redial(now, epoch, actions);
            return;
        }
        self.make_owner(now, epoch, actions);
        if self.cursor.next() < self.caller_position.next {
            self.restart(actions);
        }
        self.done = true;
        self.attempts.clear();
        actions.push(Action::Finish(finish));
    }

    /// Redials an epoch's sidecar, at once the first time and after a pause later.
    fn redial(&mut self, now: Clock, epoch: Epoch, actions: &mut Vec<Action>) {
        let from = self.cursor.next();
        let max_dials = self.settings.max_attaches;
        let pause = self.settings.dial_pause;
        let Some(attempt) = self.attempt(epoch) else {
            return;
        };
        if let State::Waiting(_) = attempt.state {
            return;
        }
        attempt.dials += 1;
        let dials = attempt.dials;
        if attempt.state == State::Placing || dials > max_dials {
            actions.push(Action::Cancel { epoch });
            self.handle_loss(now, epoch, actions);
            return;
        }
        if dials > 1 {
            attempt.state = State::Waiting(now + pause * (1 << (dials - 2).min(8)));
            return;
        }
        attempt.state = State::Dialling;
        actions.push(Action::Attach { epoch, from });
    }

    fn handle_attached(&mut self, epoch: Epoch) {
        let Some(attempt) = self.attempt(epoch) else {
            return;
        };
        if attempt.state == State::Dialling {
            attempt.state = State::Running;
        }
    }

    /// Handles the definite loss of an epoch.
    fn handle_loss(&mut self, now: Clock, epoch: Epoch, actions: &mut Vec<Action>) {
        let Some(attempt) = self.remove(epoch) else {
            return;
        };
        self.avoid_server(attempt.server);
        if self.attempts.is_empty() {
            self.start_replacement(now, actions);
        }
    }

    /// Starts the next epoch when none is left.
    fn start_replacement(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.started >= self.settings.max_epochs {
            let pause = self.settings.first_token_timeout;
            self.interrupt(Interruption::TooManyEpochs, pause, actions);
            return;
        }
        if !self.settings.continues && self.cursor.next() > 0 {
            let delivered = self.cursor.next() > self.caller_position.next;
            if self.settings.streamed && delivered {
                let pause = self.settings.first_token_timeout;
                self.interrupt(Interruption::NotContinuable, pause, actions);
                return;
            }
            self.cursor = Cursor::default();
            self.position = Position::default();
            self.caller_position = Position::default();
            self.owner = None;
            actions.push(Action::Restart { kept: 0 });
        }
        self.start(now, Cause::Loss, actions);
    }

    fn start(&mut self, now: Clock, cause: Cause, actions: &mut Vec<Action>) {
        let epoch = self.next_epoch;
        self.next_epoch += 1;
        self.started += 1;
        let mut avoid = self.avoid.clone();
        let followed = self.attempts.iter();
        avoid.extend(followed.filter_map(|attempt| attempt.server.clone()));
        let base = self.cursor.next();
        self.attempts.push(Attempt::new(epoch, base, now));
        actions.push(Action::Start {
            epoch,
            continue_from: base,
            avoid,
            cause,
        });
    }

    /// Ends the answer after the caller disconnected. A caller with a request key may reconnect
    /// within the sidecar's grace time, so the generation that serves it best keeps running.
    fn disconnect(&mut self, actions: &mut Vec<Action>) {
        let oldest = self.attempts.first().map(|attempt| attempt.epoch);
        let kept = self.owner.filter(|owner| self.attempt(*owner).is_some());
        let kept = kept.or(oldest).filter(|_| self.settings.resumable);
        for attempt in self.attempts.drain(..) {
            if Some(attempt.epoch) != kept {
                actions.push(Action::Cancel {
                    epoch: attempt.epoch,
                });
            }
        }
        self.done = true;
    }

    fn interrupt(
        &mut self,
        reason: Interruption,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        for attempt in self.attempts.drain(..) {
            actions.push(Action::Cancel {
                epoch: attempt.epoch,
            });
        }
        self.done = true;
        actions.push(Action::Interrupt {
            reason,
            retry_after,
        });
    }

    fn attempt(&mut self, epoch: Epoch) -> Option<&mut Attempt> {
        let mut attempts = self.attempts.iter_mut();
        attempts.find(|attempt| attempt.epoch == epoch)
    }

    fn remove(&mut self, epoch: Epoch) -> Option<Attempt> {
        let mut attempts = self.attempts.iter();
        let index = attempts.position(|attempt| attempt.epoch == epoch)?;
        Some(self.attempts.remove(index))
    }

    fn avoid_server(&mut self, server: Option<Server>) {
        let Some(server) = server else {
            return;
        };
        if let Err(index) = self.avoid.binary_search(&server) {
            self.avoid.insert(index, server);
        }
    }
}
