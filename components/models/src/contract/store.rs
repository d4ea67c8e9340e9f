//! The store, and what becomes of calls to it.

use std::time::Duration;

use contract::{
    attempt,
    forwarder,
    store::{
        Read,
        Stored,
        Write, //
    }, //
};
use names::Clock;

use super::{
    Fate,
    Twin,
    World,
    actors::Op, //
};

/// Longest time to the hand-over.
pub(super) const LIMIT: Duration = Duration::from_secs(5);

pub(super) enum Answer {
    Write(Write),
    Read(Read),
}

impl World {
    pub(super) fn entry_store(&mut self, entry: usize, fate: Fate) {
        let Some(op) = self.requests[entry].op.take() else {
            return;
        };
        let event = match self.store(op, fate) {
            Answer::Write(write) => attempt::Event::Voided(write),
            Answer::Read(read) => attempt::Event::Read(read),
        };
        self.entry(entry, event);
    }

    pub(super) fn sidecar_store(&mut self, hand: usize, fate: Fate) {
        let Some(op) = self.hands[hand].op.take() else {
            return;
        };
        let creates = matches!(op, Op::Create { .. });
        let event = match self.store(op, fate) {
            Answer::Write(Write::Unanswered) if creates && self.twin == Twin::UnansweredIsWon => {
                forwarder::Event::Created(Write::Applied(self.revision))
            }
            Answer::Write(write) if creates => forwarder::Event::Created(write),
            Answer::Write(write) => forwarder::Event::Written(write),
            Answer::Read(read) => forwarder::Event::Read(read),
        };
        let now = match fate {
            Fate::AnsweredLate => LIMIT + LIMIT,
            _ => Clock::ZERO,
        };
        self.hand(hand, event, now);
    }

    fn store(&mut self, op: Op, fate: Fate) -> Answer {
        if fate != Fate::Answered {
            self.faults -= 1;
        }
        match fate {
            Fate::Answered | Fate::AnsweredLate => self.effect(&op),
            Fate::AnswerLost => {
                self.effect(&op);
                Answer::Write(Write::Unanswered)
            }
            Fate::Delayed => {
                self.delay(op);
                Answer::Write(Write::Unanswered)
            }
            Fate::Refused if op == Op::Read => Answer::Read(Read::Failed),
            Fate::Refused => Answer::Write(Write::Refused),
        }
    }

    /// Keeps a write that may still take effect.
    pub(super) fn delay(&mut self, op: Op) {
        if op != Op::Read {
            self.late.push(op);
        }
    }

    pub(super) fn effect(&mut self, op: &Op) -> Answer {
        let (expect, record) = match op {
            Op::Read => {
                return Answer::Read(self.stored.clone().map_or(Read::Absent, Read::Found));
            }
            Op::Create { expect, record } | Op::Write { expect, record } => (*expect, record),
        };
        let revision = self.stored.as_ref().map_or(0, |stored| stored.revision);
        if expect != revision && self.twin != Twin::NoCompare {
            return Answer::Write(Write::Conflict(self.stored.clone()));
        }
        self.revision += 1;
        self.stored = Some(Stored {
            record: record.clone(),
            revision: self.revision,
        });
        Answer::Write(Write::Applied(self.revision))
    }
}
