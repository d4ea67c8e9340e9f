//! The entry's decisions about one answer: whose tokens to take, when to dial anew, when to start
//! the next epoch, when to give up.
//!
//! At most two epochs are listened to. Any fresh token fences all others: the first to give the
//! next index owns the answer. An epoch starts from exactly the tokens taken so far, so what the
//! caller gets is always the beginning of one generation's text: the owner's.
//!
//! The driver's duty:
//! - On [`Action::Start`] it picks a replica of the pinned version and sends it the kept tokens as
//!   `continue_from`. It answers [`Event::Placed`], [`Event::NoPlace`], [`Event::Refused`] or, for
//!   a suspicion without budget, [`Event::Denied`].
//! - On [`Action::Cancel`] of an epoch that is still being placed, it cancels it once placed.
//! - After each event it waits for the next one, or gives [`Event::Tick`] at [`Resume::next_wake`].

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

/// Number of the first epoch of an answer.
pub const FIRST_EPOCH: Epoch = 1;

/// The state of one answer at its entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Resume {
    settings: Settings,
    threshold: Threshold,
    cursor: Cursor,
    /// Digest of what was taken.
    position: Position,
    /// What the caller had when it came; tokens up to there are kept and not delivered.
    had: Position,
    attempts: Vec<Attempt>,
    owner: Option<Epoch>,
    next_epoch: Epoch,
    /// Epochs that count against the bound.
    started: u32,
    /// Servers that lost an epoch or refused one, in order.
    avoid: Vec<Server>,
    /// No suspicion before this time: the last one was denied or found no place.
    quiet_until: Clock,
    refusals: Refusals,
    done: bool,
}

impl Resume {
    /// An answer that has not begun.
    pub fn new(settings: Settings, now: Clock) -> Resume {
        let threshold = Threshold::new(settings.suspicion, settings.pool);
        Resume {
            settings,
            threshold,
            cursor: Cursor::default(),
            position: Position::default(),
            had: Position::default(),
            attempts: Vec::new(),
            owner: None,
            next_epoch: FIRST_EPOCH,
            started: 0,
            avoid: Vec::new(),
            quiet_until: now,
            refusals: Refusals::default(),
            done: false,
        }
    }

    /// Takes an event and appends what the driver is to do.
    pub fn handle(&mut self, now: Clock, event: Event, actions: &mut Vec<Action>) {
        if self.done {
            self.handle_late(event, actions);
            return;
        }
        match event {
            Event::Begin { from } => self.begin(now, from, actions),
            Event::Return { position } => {
                self.had = position;
                self.start(now, Cause::First, actions);
            }
            Event::Found {
                epoch,
                server,
                position,
            } => self.adopt(now, epoch, server, position, actions),
            Event::Placed { epoch, server } => self.placed(now, epoch, server, actions),
            Event::NoPlace { epoch, retry_after } => {
                self.unplaced(now, epoch, retry_after, actions);
            }
            Event::Refused { epoch, retry_after } => {
                self.refused(now, epoch, retry_after, actions);
            }
            Event::Denied { epoch } => self.denied(now, epoch, actions),
            Event::Tokens {
                epoch,
                index,
                tokens,
            } => self.take(now, epoch, index, tokens, actions),
            Event::End {
                epoch,
                total,
                finish,
            } => self.end(now, epoch, total, finish, actions),
            Event::LinkLost { epoch } => self.redial(now, epoch, actions),
            Event::Attached { epoch } => self.attached(epoch),
            Event::AttachMissed { epoch } => self.lose(now, epoch, actions),
            Event::HostGone { server } => {
                self.suspect(&server);
                self.tick(now, actions);
            }
            Event::CallerGone => self.leave(actions),
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Number of tokens taken so far, which is the next index.
    pub fn next(&self) -> Index {
        self.cursor.next()
    }

    /// The epoch that gave the last token.
    pub fn owner(&self) -> Option<Epoch> {
        self.owner
    }

    /// Whether an epoch is listened to; what still comes of another one is dropped.
    pub fn listens_to(&self, epoch: Epoch) -> bool {
        self.attempts.iter().any(|attempt| attempt.epoch == epoch)
    }

    /// Whether the answer ended, one way or the other.
    pub fn done(&self) -> bool {
        self.done
    }

    /// An epoch that was placed after the end has nobody who waits for it.
    fn handle_late(&self, event: Event, actions: &mut Vec<Action>) {
        if let Event::Placed { epoch, .. } = event {
            actions.push(Action::Cancel { epoch });
        }
    }

    fn begin(&mut self, now: Clock, from: Index, actions: &mut Vec<Action>) {
        // Without a digest nobody can tell whether new tokens fit to those that the caller has.
        if from > 0 {
            actions.push(Action::Restart { kept: 0 });
        }
        self.start(now, Cause::First, actions);
    }

    fn adopt(
        &mut self,
        now: Clock,
        epoch: Epoch,
        server: Server,
        position: Position,
        actions: &mut Vec<Action>,
    ) {
        self.had = position;
        self.next_epoch = epoch + 1;
        self.started = 1;
        let mut attempt = Attempt::new(epoch, 0, now);
        attempt.server = Some(server);
        attempt.state = State::Dialling;
        self.attempts.push(attempt);
        // From 0, not from the mark: without the tokens before it this entry could neither prove
        // that the text is the caller's nor continue it elsewhere.
        actions.push(Action::Attach { epoch, from: 0 });
    }

    fn placed(&mut self, now: Clock, epoch: Epoch, server: Server, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempt(epoch) else {
            actions.push(Action::Cancel { epoch });
            return;
        };
        attempt.server = Some(server);
        if attempt.state == State::Asked {
            attempt.state = State::Running;
            attempt.heard = now;
        }
    }

    fn unplaced(
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
        self.quiet_until = now + retry_after.max(self.threshold.limit());
    }

    fn denied(&mut self, now: Clock, epoch: Epoch, actions: &mut Vec<Action>) {
        if self.remove(epoch).is_none() {
            return;
        }
        self.started -= 1;
        // The epoch that was suspected may have been lost in between. Then no suspicion is left,
        // and without a next epoch nobody would ever answer the caller.
        if self.attempts.is_empty() {
            self.replace(now, actions);
            return;
        }
        // Others on the same server have a second epoch soon, which shows whether it is silent. A
        // further whole limit would double the caller's wait.
        self.quiet_until = now + self.threshold.lowest();
    }

    fn take(
        &mut self,
        now: Clock,
        epoch: Epoch,
        index: Index,
        mut tokens: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        // Tokens of a fenced epoch may still be under way; taking one would mix two generations.
        if self.attempt(epoch).is_none() {
            return;
        }
        match self.cursor.judge(index, tokens.len()) {
            Verdict::Repeat => {}
            Verdict::Hole => self.redial(now, epoch, actions),
            Verdict::Fresh { skip } => {
                tokens.drain(..skip);
                self.own(now, epoch, actions);
                self.pass(tokens, actions);
            }
        }
    }

    /// Makes an epoch the owner and fences all others.
    fn own(&mut self, now: Clock, epoch: Epoch, actions: &mut Vec<Action>) {
        let mut wrong = false;
        let mut overtaken = Vec::new();
        for attempt in &self.attempts {
            if attempt.epoch == epoch {
                continue;
            }
            if attempt.epoch < epoch {
                overtaken.extend(attempt.server.clone());
            }
            // A wrong suspicion costs no epoch. Else a long answer of a slow engine would use all
            // of them up, and the first real loss would interrupt it.
            if attempt.epoch > epoch {
                self.started -= 1;
                wrong = true;
            }
            actions.push(Action::Cancel {
                epoch: attempt.epoch,
            });
        }
        // A server that was silent until another one overtook it would hold the answer up again, and
        // looks idle to whoever chooses next.
        for server in overtaken {
            self.avoid(Some(server));
        }
        self.attempts.retain(|attempt| attempt.epoch == epoch);
        self.owner = Some(epoch);
        self.refusals = Refusals::default();
        for attempt in &mut self.attempts {
            let silence = now.saturating_sub(attempt.heard);
            if attempt.spoke && attempt.dials == 0 {
                self.threshold.learn(silence);
            }
            if attempt.spoke && wrong {
                self.threshold.excuse(silence);
            }
            attempt.hear(now);
        }
    }

    /// Gives fresh tokens on: kept up to what the caller had, delivered from there.
    fn pass(&mut self, tokens: Vec<String>, actions: &mut Vec<Action>) {
        let mut index = self.cursor.next();
        let missing = self.had.next.saturating_sub(index);
        let many = missing.min(tokens.len() as Index) as usize;
        let mut kept = tokens;
        let fresh = kept.split_off(many);
        if !kept.is_empty() {
            self.advance(&kept);
            actions.push(Action::Keep {
                index,
                tokens: kept,
            });
            index = self.cursor.next();
            if index == self.had.next && self.position != self.had {
                self.rewind(actions);
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

    /// What the caller has is of another text: it gets this one from its beginning.
    fn rewind(&mut self, actions: &mut Vec<Action>) {
        self.had = Position::default();
        actions.push(Action::Restart {
            kept: self.cursor.next(),
        });
    }

    fn end(
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
            self.lose(now, epoch, actions);
            return;
        }
        if total > self.cursor.next() {
            self.redial(now, epoch, actions);
            return;
        }
        self.own(now, epoch, actions);
        if self.cursor.next() < self.had.next {
            self.rewind(actions);
        }
        self.done = true;
        self.attempts.clear();
        actions.push(Action::Finish(finish));
    }

    /// Dials anew to an epoch's sidecar, at once the first time, later after a pause.
    fn redial(&mut self, now: Clock, epoch: Epoch, actions: &mut Vec<Action>) {
        let from = self.cursor.next();
        let most = self.settings.max_attaches;
        let pause = self.settings.dial_pause;
        let Some(attempt) = self.attempt(epoch) else {
            return;
        };
        if let State::Waiting(_) = attempt.state {
            return;
        }
        attempt.dials += 1;
        let dials = attempt.dials;
        if attempt.state == State::Asked || dials > most {
            actions.push(Action::Cancel { epoch });
            self.lose(now, epoch, actions);
            return;
        }
        if dials > 1 {
            attempt.state = State::Waiting(now + pause * (1 << (dials - 2).min(8)));
            return;
        }
        attempt.state = State::Dialling;
        actions.push(Action::Attach { epoch, from });
    }

    fn attached(&mut self, epoch: Epoch) {
        let Some(attempt) = self.attempt(epoch) else {
            return;
        };
        if attempt.state == State::Dialling {
            attempt.state = State::Running;
        }
    }

    /// An epoch is lost for certain.
    fn lose(&mut self, now: Clock, epoch: Epoch, actions: &mut Vec<Action>) {
        let Some(attempt) = self.remove(epoch) else {
            return;
        };
        self.avoid(attempt.server);
        if self.attempts.is_empty() {
            self.replace(now, actions);
        }
    }

    /// Starts the next epoch when none is left.
    fn replace(&mut self, now: Clock, actions: &mut Vec<Action>) {
        if self.started >= self.settings.max_epochs {
            let pause = self.settings.first_token_timeout;
            self.interrupt(Interruption::TooManyEpochs, pause, actions);
            return;
        }
        if !self.settings.continues && self.cursor.next() > 0 {
            let delivered = self.cursor.next() > self.had.next;
            if self.settings.streamed && delivered {
                let pause = self.settings.first_token_timeout;
                self.interrupt(Interruption::NotContinuable, pause, actions);
                return;
            }
            self.cursor = Cursor::default();
            self.position = Position::default();
            self.had = Position::default();
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
        let live = self.attempts.iter();
        avoid.extend(live.filter_map(|attempt| attempt.server.clone()));
        let base = self.cursor.next();
        self.attempts.push(Attempt::new(epoch, base, now));
        actions.push(Action::Start {
            epoch,
            continue_from: base,
            avoid,
            cause,
        });
    }

    /// The caller is gone. A caller that named its request may come back within the sidecar's
    /// grace time, so the one generation that serves it best runs on.
    fn leave(&mut self, actions: &mut Vec<Action>) {
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
        let place = attempts.position(|attempt| attempt.epoch == epoch)?;
        Some(self.attempts.remove(place))
    }

    fn avoid(&mut self, server: Option<Server>) {
        let Some(server) = server else {
            return;
        };
        if let Err(place) = self.avoid.binary_search(&server) {
            self.avoid.insert(place, server);
        }
    }
}
