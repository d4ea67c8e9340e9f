//! The sidecar's side of one kept call: record, hand over once, record the outcome.
//!
//! The whole rests on one rule. An attempt writes the record **once**, by compare-and-swap against
//! the revision that the entry gave it (`base`, 0 for "only when absent"), and hands over only if
//! that write won. Revisions never come back, so whoever else wins a write at the same base, such
//! as an entry that voids the attempt, has ended it for good, even if this process is paused
//! anywhere in between.

use std::time::Duration;

use names::{
    Clock,
    Nonce,
    Revision,
    Server, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    outcome::{
        Outcome,
        Reason, //
    },
    record::{
        Answer,
        Record,
        Response,
        State, //
    },
    store::{
        Read,
        Stored,
        Write, //
    },
};

/// What the sidecar must know of a kept call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    /// Revision that the record must still have when it is written; 0 for "absent".
    pub base: Revision,
    /// Digest of the request, see [`crate::record::digest`].
    pub digest: String,
    /// This sidecar's backend server.
    pub server: Server,
    /// Number of this hand-over, freshly drawn by the sidecar. Never the entry's: a frame that is
    /// delivered twice must not take the first one's record for its own.
    pub nonce: Nonce,
    /// Path where the caller can query the call.
    pub status_path: String,
}

/// Times of a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Longest time from the request to the hand-over; later the entry has given up.
    pub start_timeout: Duration,
    /// When callers may come back after a refusal.
    pub retry_after: Duration,
    /// Wait between tries to write an outcome or a void while the store is out.
    pub retry_interval: Duration,
    /// How often such a write is tried.
    pub max_write_attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            start_timeout: Duration::from_secs(5),
            retry_after: Duration::from_secs(2),
            retry_interval: Duration::from_secs(1),
            max_write_attempts: 600,
        }
    }
}

/// What happens to a hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The entry asks for the call.
    Requested,
    /// Answer to [`Action::Create`].
    Created(Write),
    /// Answer to [`Action::ReadBack`].
    Read(Read),
    /// The service refused the connection: no byte of the call left.
    Unreachable,
    /// The service answered.
    Answered(Response),
    /// The connection broke after bytes may have left.
    ConnectionLost,
    /// The service gave no answer in its time; the connection is still open.
    TimedOut,
    /// Answer to [`Action::Write`].
    Written(Write),
    /// The time of [`Action::Wait`] is over.
    TimerFired,
    /// The entry is gone or has given up.
    EntryGone,
}

/// What the sidecar has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record if its revision is still `expect`.
    Create {
        /// Revision that must stand.
        expect: Revision,
        /// The record.
        record: Record,
    },
    /// Read the record.
    ReadBack,
    /// Hand the call to the service. Given at most once.
    HandOver,
    /// Write an outcome or a void if the record's revision is still `expect`.
    Write {
        /// Revision that must stand.
        expect: Revision,
        /// The record.
        record: Record,
    },
    /// Come back with [`Event::TimerFired`].
    Wait(Duration),
    /// Answer the entry. Given at most once.
    Reply(Reply),
}

/// What the sidecar answers to the entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The outcome.
    Outcome(Outcome),
    /// The attempt lost: another record stands, and this attempt will never hand over.
    Conflict(Option<Stored>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Fresh,
    Creating,
    ReadingBack,
    Running { revision: Revision },
    Writing { expect: Revision, record: Record },
    Done,
}

/// State of one kept call at its sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handover {
    call: Call,
    settings: Settings,
    asked: Clock,
    stage: Stage,
    gone: bool,
    replied: bool,
    tries: u32,
}

impl Handover {
    /// Prepares the hand-over of a call.
    pub fn new(call: Call, settings: Settings) -> Self {
        Self {
            call,
            settings,
            asked: Clock::ZERO,
            stage: Stage::Fresh,
            gone: false,
            replied: false,
            tries: 0,
        }
    }

    /// Tells whether nothing is left to do; the driver then forgets the call.
    pub fn done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Tells whether the call is with the service.
    pub fn running(&self) -> bool {
        matches!(self.stage, Stage::Running { .. })
    }

    /// Takes an event; events that don't fit the stage are ignored.
    pub fn handle(&mut self, event: Event, now: Clock) -> Vec<Action> {
        if event == Event::EntryGone {
            self.gone = true;
            return Vec::new();
        }
        match (self.stage.clone(), event) {
            (Stage::Fresh, Event::Requested) => self.create(now),
            (Stage::Creating, Event::Created(write)) => self.created(write, now),
            (Stage::ReadingBack, Event::Read(read)) => self.read(read, now),
            (Stage::Running { revision }, Event::Unreachable) => {
                self.void(revision, Reason::Unreachable)
            }
            (Stage::Running { revision }, Event::Answered(response)) => {
                self.answered(revision, response)
            }
            (Stage::Running { .. }, Event::ConnectionLost) => {
                self.stage = Stage::Done;
                self.unknown()
            }
            (Stage::Running { .. }, Event::TimedOut) => self.unknown(),
            (Stage::Writing { expect, record }, Event::Written(write)) => {
                self.written(expect, record, write)
            }
            (Stage::Writing { expect, record }, Event::TimerFired) => {
                vec![Action::Write { expect, record }]
            }
            _ => Vec::new(),
        }
    }

    fn create(&mut self, now: Clock) -> Vec<Action> {
        self.asked = now;
        self.stage = Stage::Creating;
        vec![Action::Create {
            expect: self.call.base,
            record: self.record(State::Handed {
                nonce: self.call.nonce,
            }),
        }]
    }

    fn created(&mut self, write: Write, now: Clock) -> Vec<Action> {
        match write {
            Write::Applied(revision) => self.won(revision, now),
            Write::Conflict(standing) => self.lost(standing, now),
            Write::Refused => {
                self.stage = Stage::Done;
                self.refuse(Reason::StoreOut)
            }
            Write::Unanswered => {
                self.stage = Stage::ReadingBack;
                vec![Action::ReadBack]
            }
        }
    }

    /// The write got no answer; what stands there tells whether it took effect.
    ///
    /// If nothing of ours stands there, the write may still take effect later. Then this hand-over
    /// gives itself up at once and keeps trying to void its own record, so that the caller's next
    /// request isn't told `unknown` for a call that never ran.
    fn read(&mut self, read: Read, now: Clock) -> Vec<Action> {
        match read {
            Read::Found(standing) if standing.revision > self.call.base => {
                self.lost(Some(standing), now)
            }
            Read::Found(_) | Read::Absent | Read::Failed => {
                self.void(self.call.base, Reason::StoreOut)
            }
        }
    }

    /// Another write stands at the key, or our own whose answer was lost.
    fn lost(&mut self, standing: Option<Stored>, now: Clock) -> Vec<Action> {
        if let Some(standing) = &standing
            && self.owns(&standing.record)
        {
            return self.won(standing.revision, now);
        }
        self.stage = Stage::Done;
        self.reply(Reply::Conflict(standing))
    }

    fn won(&mut self, revision: Revision, now: Clock) -> Vec<Action> {
        if self.gone {
            return self.void(revision, Reason::CallerGone);
        }
        // A pause or a slow store can bring us here long after the entry told its caller
        // `unknown`; a call that starts only then surprises everybody.
        if now.saturating_sub(self.asked) > self.settings.start_timeout {
            return self.void(revision, Reason::Late);
        }
        self.stage = Stage::Running { revision };
        vec![Action::HandOver]
    }

    /// Gives the hand-over up before any byte left, and says so in the record.
    fn void(&mut self, expect: Revision, reason: Reason) -> Vec<Action> {
        let record = self.record(State::Void {
            nonce: self.call.nonce,
        });
        let mut actions = self.refuse(reason);
        actions.extend(self.write(expect, record));
        actions
    }

    /// The caller gets its answer first: the record is only for requests that come later.
    fn answered(&mut self, expect: Revision, response: Response) -> Vec<Action> {
        let record = self.record(State::Answered {
            nonce: self.call.nonce,
            answer: Answer::from_response(&response),
        });
        let mut actions = self.reply(Reply::Outcome(Outcome::Ran {
            status: response.status,
            content_type: response.content_type,
            body: response.body,
            replayed: false,
        }));
        actions.extend(self.write(expect, record));
        actions
    }

    fn write(&mut self, expect: Revision, record: Record) -> Vec<Action> {
        self.tries = 1;
        self.stage = Stage::Writing {
            expect,
            record: record.clone(),
        };
        vec![Action::Write { expect, record }]
    }

    fn written(&mut self, expect: Revision, record: Record, write: Write) -> Vec<Action> {
        match write {
            // Our own first write took effect after all: the void goes over it.
            Write::Conflict(Some(standing))
                if standing.record != record
                    && self.owns(&standing.record)
                    && standing.revision != expect =>
            {
                self.write(standing.revision, record)
            }
            Write::Applied(_) | Write::Conflict(_) => {
                self.stage = Stage::Done;
                Vec::new()
            }
            Write::Refused | Write::Unanswered
                if self.tries >= self.settings.max_write_attempts =>
            {
                self.stage = Stage::Done;
                Vec::new()
            }
            Write::Refused | Write::Unanswered => {
                self.tries += 1;
                vec![Action::Wait(self.settings.retry_interval)]
            }
        }
    }

    fn refuse(&mut self, reason: Reason) -> Vec<Action> {
        let outcome = Outcome::not_run(reason, self.settings.retry_after);
        self.reply(Reply::Outcome(outcome))
    }

    fn unknown(&mut self) -> Vec<Action> {
        self.reply(Reply::Outcome(Outcome::Unknown {
            status_path: Some(self.call.status_path.clone()),
        }))
    }

    fn reply(&mut self, reply: Reply) -> Vec<Action> {
        if self.replied {
            return Vec::new();
        }
        self.replied = true;
        vec![Action::Reply(reply)]
    }

    fn owns(&self, record: &Record) -> bool {
        matches!(record.state, State::Handed { nonce } if nonce == self.call.nonce)
    }

    fn record(&self, state: State) -> Record {
        Record {
            state,
            digest: self.call.digest.clone(),
            server: self.call.server.clone(),
        }
    }
}
