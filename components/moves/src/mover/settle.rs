//! The share that follows from what is known, and the move's record.

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

/// Time after which a call of the store without an answer is tried again, times the rank.
const RETRY: Duration = Duration::from_secs(5);

/// Entries that read the record of a running move now and then.
const READERS: u32 = 2;

/// Time between two such reads.
const READ_EVERY: Duration = Duration::from_secs(10);

/// Time between two steps up while the share is below the ramp's lower bound.
///
/// An entry that was paused finds itself far behind. If it leapt, it would send much traffic to a
/// version that the others may have found bad meanwhile, before their facts are read.
const CATCH_UP: Duration = Duration::from_secs(2);

/// How much longer each rank waits with a write, so that usually one entry writes.
const RANK_WAIT: Duration = Duration::from_secs(5);

impl Mover {
    /// Brings share, concentration and record in line with what is known.
    pub(super) fn settle(&mut self, now: Clock, wall: SystemTime, actions: &mut Vec<Action>) {
        let level = self.wanted(now, wall);
        if level != self.level {
            self.level = level;
            self.level_changed_at = now;
            actions.push(Action::Share(level));
        }
        if level == Level::FULL && self.full_at.is_none() {
            self.full_at = Some(wall);
        }
        let concentrated = self.replicas();
        if concentrated != self.concentration {
            self.concentration = concentrated;
            actions.push(Action::Concentrate(concentrated));
        }
        let moving = self.veto.is_none() && self.outcome.is_none() && self.dropped.is_none();
        if moving && wall > self.plan.by && level < Level::FULL && !self.late_noticed {
            self.late_noticed = true;
            actions.push(Action::Notice(Notice::Late));
        }
        self.keep_record(now, wall, actions);
    }

    fn wanted(&self, now: Clock, wall: SystemTime) -> Level {
        let settled = match (&self.outcome, &self.veto, &self.dropped) {
            (Some(outcome), _, _) => Some(outcome.side()),
            (None, Some(_), _) => Some(Side::Old),
            (None, None, Some((side, _))) => Some(*side),
            (None, None, None) => None,
        };
        match settled {
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
        let dwell = match self.level < lower_bound {
            true => CATCH_UP,
            false => self.dwell(),
        };
        if now.saturating_sub(self.level_changed_at) < dwell {
            return self.level;
        }
        let supported_level = judge::supported_level(&self.total, &self.routes);
        let wanted = upper_bound.min(supported_level.max(lower_bound).max(Level::ZERO.next()));
        if wanted <= self.level {
            return self.level;
        }
        if lower_bound < Level::FULL && self.verdict().e_value >= HOLD_THRESHOLD {
            return self.level;
        }
        self.level.next()
    }

    /// Time between two steps up, so that what a step shows is known before the next.
    fn dwell(&self) -> Duration {
        (self.ramp.span() / 120).clamp(Duration::from_secs(5), Duration::from_secs(60))
    }

    /// How many replicas of the new version carry its share, so that each has the load that the
    /// old version's replicas have with all traffic. Spread thin over all replicas, a fault that
    /// shows only under load would stay hidden until most traffic has moved.
    fn replicas(&self) -> Option<u32> {
        let (old, new) = self.ready_replicas?;
        if self.level == Level::ZERO || self.level == Level::FULL {
            return None;
        }
        let wanted = (self.level.permille() * old.max(new)).div_ceil(1000);
        Some(wanted.clamp(1, new.max(1)))
    }

    fn keep_record(&mut self, now: Clock, wall: SystemTime, actions: &mut Vec<Action>) {
        if self.outcome.is_some() {
            return;
        }
        let ended = self.ended(wall);
        let begun = self.revision.is_some_and(|revision| revision > 0);
        if !self.synced || (ended.is_none() && begun) {
            self.write_due = None;
            self.read_again(now, actions);
            return;
        }
        let due = *self.write_due.get_or_insert(now);
        if now < due + RANK_WAIT * self.rank {
            return;
        }
        let pause = RETRY * (self.rank + 1);
        if self
            .store_call_at
            .is_some_and(|requested| now < requested + pause)
        {
            return;
        }
        self.store_call_at = Some(now);
        let record = Box::new(self.record(ended, wall));
        let expect = self.revision.unwrap_or(0);
        actions.push(Action::Write { record, expect });
    }

    /// Reads the record now and then.
    ///
    /// The only entry that knew of a veto may write the outcome and die before any other hears of
    /// it. The others would go on with a move whose record says that it was reverted.
    fn read_again(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let reads = self.rank < READERS || !self.synced;
        if reads && now >= self.read_at + READ_EVERY {
            self.read_at = now;
            actions.push(Action::Read);
        }
    }

    /// How the move ends, if it ends now.
    fn ended(&self, wall: SystemTime) -> Option<(End, Reason)> {
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
        let watched = self.full_at? + self.plan.watch;
        (wall >= watched).then_some((End::Done, Reason::Watched))
    }

    fn record(&self, ended: Option<(End, Reason)>, wall: SystemTime) -> Record {
        Record {
            name: self.plan.name.clone(),
            from: self.plan.from.clone(),
            to: self.plan.to.clone(),
            by: self.plan.by,
            began: self.ramp.began(),
            outcome: ended.map(|(end, reason)| Outcome {
                end,
                reason,
                full: self.full_at,
                at: wall,
                by: self.owner.source.clone(),
            }),
        }
    }
}
