//! The store, and how calls to it complete.

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
    Completion,
    Mutation,
    State,
    actors::Op, //
};

/// Maximum time until the call is forwarded.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) enum Answer {
    Write(Write),
    Read(Read),
}

impl State {
    pub(super) fn finish_entry_call(&mut self, entry: usize, completion: Completion) {
        let Some(op) = self.requests[entry].op.take() else {
            return;
        };
        let event = match self.call_store(op, completion) {
            Answer::Write(write) => attempt::Event::Voided(write),
            Answer::Read(read) => attempt::Event::Read(read),
        };
        self.handle_at_entry(entry, event);
    }

    pub(super) fn finish_sidecar_call(&mut self, forwarding: usize, completion: Completion) {
        let Some(op) = self.forwardings[forwarding].op.take() else {
            return;
        };
        let creates = matches!(op, Op::Create { .. });
        let event = match self.call_store(op, completion) {
            Answer::Write(Write::Unanswered)
                if creates && self.mutation == Mutation::UnansweredIsWon =>
            {
                forwarder::Event::Created(Write::Applied(self.revision))
            }
            Answer::Write(write) if creates => forwarder::Event::Created(write),
            Answer::Write(write) => forwarder::Event::Written(write),
            Answer::Read(read) => forwarder::Event::Read(read),
        };
        let now = match completion {
            Completion::AnsweredLate => START_TIMEOUT + START_TIMEOUT,
            _ => Clock::ZERO,
        };
        self.handle_at_sidecar(forwarding, event, now);
    }

    fn call_store(&mut self, op: Op, completion: Completion) -> Answer {
        if completion != Completion::Answered {
            self.faults -= 1;
        }
        match completion {
            Completion::Answered | Completion::AnsweredLate => self.execute(&op),
            Completion::AnswerLost => {
                self.execute(&op);
                Answer::Write(Write::Unanswered)
            }
            Completion::Delayed => {
                self.delay_write(op);
                Answer::Write(Write::Unanswered)
            }
            Completion::Refused if op == Op::Read => Answer::Read(Read::Failed),
            Completion::Refused => Answer::Write(Write::Refused),
        }
    }

    /// Records a write that may still be applied.
    pub(super) fn delay_write(&mut self, op: Op) {
        if op != Op::Read {
            self.delayed_writes.push(op);
        }
    }

    pub(super) fn execute(&mut self, op: &Op) -> Answer {
        let (expect, record) = match op {
            Op::Read => {
                return Answer::Read(self.stored.clone().map_or(Read::Absent, Read::Found));
            }
            Op::Create { expect, record } | Op::Write { expect, record } => (*expect, record),
        };
        let revision = self.stored.as_ref().map_or(0, |stored| stored.revision);
        if expect != revision && self.mutation != Mutation::NoCompare {
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
