//! The entry's side of one call: send it, and prove `not_run` when its sidecar falls silent.
//!
//! The proof is a write. An attempt hands over only if its sidecar wins the write of the record at
//! the attempt's base revision (see [`crate::handover`]). The entry writes a void record at the
//! same base: if it wins, the sidecar's write must fail, whenever it comes. If it loses, what
//! stands there tells whether the call ran, or that nobody can say.

use std::time::Duration;

use names::{
    Nonce,
    Revision, //
};

use crate::{
    handover::Reply,
    outcome::{
        Outcome,
        Reason, //
    },
    record::{
        Record,
        State, //
    },
    store::{
        Read,
        Stored,
        Write, //
    },
};

/// What may be done with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// It may be repeated: the service's contract says so.
    Repeatable,
    /// It runs at most once and has a key, so a record is kept.
    Recorded,
    /// It runs at most once and has no key: sent once, and never again after a byte may have left.
    Once,
}

impl Class {
    /// The class of a call, from its service's contract and whether it has a key.
    ///
    /// A service that drops repeats by key itself gets the key with the call, so that a call with
    /// a key may be repeated there and needs no record.
    pub fn of(repeatable: bool, drops_repeats: bool, keyed: bool) -> Self {
        match (repeatable || drops_repeats && keyed, keyed) {
            (true, _) => Self::Repeatable,
            (false, true) => Self::Recorded,
            (false, false) => Self::Once,
        }
    }
}

/// What the entry must know of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    /// What may be done with it.
    pub class: Class,
    /// Digest of the request, see [`crate::record::digest`].
    pub digest: String,
    /// Path where the caller can query the call.
    pub status_path: String,
    /// Number of the void record that this entry may write, freshly drawn.
    pub nonce: Nonce,
}

/// Bounds of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Most sends of one call, the first one included.
    pub max_sends: u32,
    /// Most tries to void the record.
    pub max_voids: u32,
    /// When callers may come back after a refusal.
    pub retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_sends: 3,
            max_voids: 2,
            retry_after: Duration::from_secs(2),
        }
    }
}

/// What happens to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The caller's request came; `store` tells whether the store answers at present.
    Start {
        /// The store answers.
        store_available: bool,
    },
    /// The call could not be sent: no byte left.
    Unsent,
    /// The sidecar answered.
    Replied(Reply),
    /// The sidecar fell silent or the time is over, after bytes may have left. `budget` tells
    /// whether the retry budget gave a retry.
    TimedOut {
        /// A retry may be made.
        retry_allowed: bool,
    },
    /// Answer to [`Action::Void`].
    Voided(Write),
    /// Answer to [`Action::ReadBack`].
    Read(Read),
}

/// What the entry has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send the call to a sidecar that was not tried yet, with this base revision.
    Send {
        /// Revision for [`crate::handover::Call::base`].
        base: Revision,
    },
    /// Write the void record if the record's revision is still `expect`.
    Void {
        /// Revision that must stand.
        expect: Revision,
        /// The record.
        record: Record,
    },
    /// Read the record.
    ReadBack,
    /// Answer the caller. Given once.
    Reply(Outcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Fresh,
    Sent,
    Voiding,
    ReadingBack,
    Done,
}

/// State of one call at its entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    call: Call,
    settings: Settings,
    stage: Stage,
    base: Revision,
    sends: u32,
    voids: u32,
}

impl Attempt {
    /// Prepares a call.
    pub fn new(call: Call, settings: Settings) -> Self {
        Self {
            call,
            settings,
            stage: Stage::Fresh,
            base: 0,
            sends: 0,
            voids: 0,
        }
    }

    /// Tells whether the caller has its outcome.
    pub fn done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Takes an event; events that don't fit the stage are ignored.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match (&self.stage, event) {
            (Stage::Fresh, Event::Start { store_available }) => self.start(store_available),
            (Stage::Sent, Event::Unsent) => self.unsent(),
            (Stage::Sent, Event::Replied(reply)) => self.replied(reply),
            (Stage::Sent, Event::TimedOut { retry_allowed }) => self.timed_out(retry_allowed),
            (Stage::Voiding, Event::Voided(write)) => self.voided(write),
            (Stage::ReadingBack, Event::Read(read)) => self.read(read),
            _ => Vec::new(),
        }
    }

    /// Refuses at once while the store is out: a kept call could only wait for its deadline.
    fn start(&mut self, store_available: bool) -> Vec<Action> {
        if self.call.class == Class::Recorded && !store_available {
            return self.refuse(Reason::StoreOut);
        }
        self.send()
    }

    fn send(&mut self) -> Vec<Action> {
        self.stage = Stage::Sent;
        self.sends += 1;
        vec![Action::Send { base: self.base }]
    }

    fn unsent(&mut self) -> Vec<Action> {
        if self.sends < self.settings.max_sends {
            return self.send();
        }
        self.refuse(Reason::NoServer)
    }

    fn replied(&mut self, reply: Reply) -> Vec<Action> {
        let standing = match reply {
            // A leaving sidecar refuses before it writes anything, so another one may be asked.
            Reply::Outcome(Outcome::NotRun {
                reason: Reason::Leaving,
                ..
            }) if self.sends < self.settings.max_sends => return self.send(),
            Reply::Outcome(outcome) => return self.end(outcome),
            Reply::Conflict(standing) => standing,
        };
        let Some(standing) = standing else {
            // The record lapsed between two attempts; a new one starts from nothing.
            return self.again(0);
        };
        if let Some(outcome) = standing.record.settled(&self.call.digest) {
            return self.end(outcome);
        }
        match standing.record.state {
            State::Void { .. } => self.again(standing.revision),
            State::Handed { .. } | State::Answered { .. } => self.unknown(),
        }
    }

    /// Starts the next attempt. The last one has lost its only write and can't hand over any more.
    fn again(&mut self, base: Revision) -> Vec<Action> {
        if self.sends >= self.settings.max_sends {
            return self.refuse(Reason::NoServer);
        }
        self.base = base;
        self.send()
    }

    fn timed_out(&mut self, retry_allowed: bool) -> Vec<Action> {
        match self.call.class {
            Class::Repeatable if retry_allowed && self.sends < self.settings.max_sends => {
                self.send()
            }
            Class::Repeatable | Class::Once => self.unknown(),
            Class::Recorded => self.void(),
        }
    }

    fn void(&mut self) -> Vec<Action> {
        self.stage = Stage::Voiding;
        self.voids += 1;
        vec![Action::Void {
            expect: self.base,
            record: Record {
                state: State::Void {
                    nonce: self.call.nonce,
                },
                digest: self.call.digest.clone(),
                server: String::new(),
            },
        }]
    }

    fn voided(&mut self, write: Write) -> Vec<Action> {
        match write {
            Write::Applied(_) => self.refuse(Reason::Silent),
            Write::Conflict(Some(standing)) => self.judge(standing),
            Write::Conflict(None) | Write::Refused => self.unknown(),
            Write::Unanswered => {
                self.stage = Stage::ReadingBack;
                vec![Action::ReadBack]
            }
        }
    }

    fn read(&mut self, read: Read) -> Vec<Action> {
        match read {
            Read::Found(standing) if standing.revision > self.base => self.judge(standing),
            // The void is not there yet. It may be lost or late; a second one does no harm.
            Read::Found(_) | Read::Absent if self.voids < self.settings.max_voids => self.void(),
            Read::Found(_) | Read::Absent | Read::Failed => self.unknown(),
        }
    }

    /// The record moved on from the base, so this attempt's write has won already or never will.
    fn judge(&mut self, standing: Stored) -> Vec<Action> {
        if let Some(outcome) = standing.record.settled(&self.call.digest) {
            return self.end(outcome);
        }
        match standing.record.state {
            // Whoever voided it, the attempt never hands over: its own hand-over would have left a
            // record that only an answer replaces, or a void by the sidecar that gave it up.
            State::Void { .. } => self.refuse(Reason::Silent),
            State::Handed { .. } | State::Answered { .. } => self.unknown(),
        }
    }

    fn refuse(&mut self, reason: Reason) -> Vec<Action> {
        self.end(Outcome::not_run(reason, self.settings.retry_after))
    }

    fn unknown(&mut self) -> Vec<Action> {
        let keyed = self.call.class == Class::Recorded;
        self.end(Outcome::Unknown {
            status_path: keyed.then(|| self.call.status_path.clone()),
        })
    }

    fn end(&mut self, outcome: Outcome) -> Vec<Action> {
        self.stage = Stage::Done;
        vec![Action::Reply(outcome)]
    }
}
