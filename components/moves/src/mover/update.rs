//! Derives the new version's share from the known evidence and keeps the move's record.

use std::time::{
    Duration,
    SystemTime, //
};

use names::Clock;

use crate::{
    judge::{
        self,
        HOLD_THRESHOLD, //
    },
    mover::Mover,
    outcome::{
        End,
        Outcome,
        Reason,
        Record, //
    },
    share::{
        Level,
        Side, //
    },
    step::{
        Action,
        Notice, //
    },
};

/// Timeout of a store call before the first-ranked entry retries; each further rank adds the same
/// time.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Number of entries that poll the record of a running move.
const POLLING_ENTRIES: u32 = 2;

/// Interval between polls of the record.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between steps up while the share is below the ramp's lower bound.
///
/// A paused entry resumes far behind the ramp. If it jumped to the current bound, it would send
/// much traffic to a version that the others may have found bad, before it reads their facts.
const CATCH_UP_INTERVAL: Duration = Duration::from_secs(2);

/// Additional delay of a write per rank; with it usually a single entry writes.
const WRITE_DELAY_PER_RANK: Duration = Duration::from_secs(5);

impl Mover {
    /// Updates share, concentration and record from the current state.
    pub(super) fn update(&mut self, now: Clock, wall: SystemTime, actions: &mut Vec<Action>) {
        let level = self.target_level(now, wall);
        if level != self.level {
            self.level = level;
            self.level_changed_at = now;
            actions.push(Action::Share(level));
        }
        if level == Level::FULL && self.full_at.is_none() {
            self.full_at = Some(wall);
        }
        let concentrated = self.target_replicas();
        if concentrated != self.concentration {
            self.concentration = concentrated;
            actions.push(Action::Concentrate(concentrated));
        }
        let moving = self.veto.is_none() && self.outcome.is_none() && self.dropped.is_none();
        if moving && wall > self.plan.by && level < Level::FULL && !self.late_noticed {
            self.late_noticed = true;
            actions.push(Action::Notice(Notice::Late));
        }
        self.maintain_record(now, wall, actions);
    }

    fn target_level(&self, now: Clock, wall: SystemTime) -> Level {
        let final_side = match (&self.outcome, &self.veto, &self.dropped) {
            (Some(outcome), _, _) => Some(outcome.side()),
            (None, Some(_), _) => Some(Side::Old),
            (None, None, Some((side, _))) => Some(*side),
            (None, None, None) => None,
        };
        match final_side {
            Some(Side::New) => return Level::FULL,
            Some(Side::Old) => return Level::ZERO,
            None => {}
        }
        let (_, ready) = self.ready_replicas.unwrap_or_default();
        if !self.synced || ready == 0 || self.level == Level::FULL {
            return self.level;
        }
        let lower_bound = self.ramp.lower_bound(wall);
        let upper_bound = self.ramp.upper_bound(wall);
        if self.level >= upper_bound {
            return self.level;
        }
        let step_interval = match self.level < lower_bound {
            true => CATCH_UP_INTERVAL,
            false => self.step_interval(),
        };
        if now.saturating_sub(self.level_changed_at) < step_interval {
            return self.level;
        }
        let supported_level = judge::supported_level(&self.total, &self.routes);
        let target_level =
            upper_bound.min(supported_level.max(lower_bound).max(Level::ZERO.next()));
        if target_level <= self.level {
            return self.level;
        }
        if lower_bound < Level::FULL && self.verdict().e_value >= HOLD_THRESHOLD {
            return self.level;
        }
        self.level.next()
    }

    /// Interval between steps up, long enough that the effect of one step shows before the next.
    fn step_interval(&self) -> Duration {
        (self.ramp.span() / 120).clamp(Duration::from_secs(5), Duration::from_secs(60))
    }

    /// Returns how many replicas of the new version receive its share, sized to give each the load
    /// that an old replica has under full traffic. Spread over all replicas, a fault that shows
    /// only under load would stay hidden until most traffic has moved.
    fn target_replicas(&self) -> Option<u32> {
        let (old, new) = self.ready_replicas?;
        if self.level == Level::ZERO || self.level == Level::FULL {
            return None;
        }
        let target = (self.level.permille() * old.max(new)).div_ceil(1000);
        Some(target.clamp(1, new.max(1)))
    }

    fn maintain_record(&mut self, now: Clock, wall: SystemTime, actions: &mut Vec<Action>) {
        if self.outcome.is_some() {
            return;
        }
        let ending = self.ending(wall);
        let recorded = self.revision.is_some_and(|revision| revision > 0);
        if !self.synced || (ending.is_none() && recorded) {
            self.write_due = None;
            self.read_before_write = false;
            self.poll_record(now, actions);
            return;
        }
        let due = *self.write_due.get_or_insert(now);
        if now < due + WRITE_DELAY_PER_RANK * self.rank {
            return;
        }
        let pause = STORE_RETRY_INTERVAL * (self.rank + 1);
        if self
            .store_call_at
            .is_some_and(|requested| now < requested + pause)
        {
            return;
        }
        self.store_call_at = Some(now);
        // Another entry may have written it, and its message may be lost or late. Writes are scarcer
        // than reads at the store.
        if !std::mem::replace(&mut self.read_before_write, true) {
            actions.push(Action::Read);
            return;
        }
        let record = Box::new(self.record(ending, wall));
        let expect = self.revision.unwrap_or(0);
        actions.push(Action::Write { record, expect });
    }

    /// Polls the record.
    ///
    /// The only entry that knows of a veto may write the outcome and die before any other entry
    /// receives it. Without polling, the others would continue a move whose record says that it was
    /// reverted.
    fn poll_record(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let polls = self.rank < POLLING_ENTRIES || !self.synced;
        if polls && now >= self.read_at + POLL_INTERVAL {
            self.read_at = now;
            actions.push(Action::Read);
        }
    }

    /// Returns how the move ends if it ends now.
    fn ending(&self, wall: SystemTime) -> Option<(End, Reason)> {
        if let Some(veto) = &self.veto {
            return Some((End::Reverted, Reason::Vetoed(veto.clone())));
        }
        if let Some((side, reason)) = &self.dropped {
            let end = match side {
                Side::Old => End::Reverted,
                Side::New => End::Done,
            };
            return Some((end, reason.clone()));
        }
        let watch_end = self.full_at? + self.plan.watch;
        (wall >= watch_end).then_some((End::Done, Reason::Watched))
    }

    fn record(&self, ending: Option<(End, Reason)>, wall: SystemTime) -> Record {
        Record {
            name: self.plan.name.clone(),
            from: self.plan.from.clone(),
            to: self.plan.to.clone(),
            by: self.plan.by,
            began: self.ramp.began(),
            outcome: ending.map(|(end, reason)| Outcome {
                end,
                reason,
                full: self.full_at,
                at: wall,
                by: self.owner.source.clone(),
            }),
        }
    }
}
