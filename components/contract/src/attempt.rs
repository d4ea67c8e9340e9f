//! The entry's side of one call: sends it, and proves `not_run` when its sidecar stops responding.
//!
//! The proof is a conditional write. A sidecar forwards the call only if its write of the record
//! applies at the attempt's base revision (see [`crate::forwarder`]). The entry writes a void
//! record at the same base revision. If that write applies, the sidecar's write must fail, however
//! late it arrives. If it conflicts, the stored record tells whether the call ran or that its
//! outcome is unknown.

use std::time::Duration;

use names::{
    Nonce,
    Revision, //
};

use crate::{
    forwarder::Reply,
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

/// Delivery class of a call: whether it may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// May be repeated, as stated by the service's contract.
    Repeatable,
    /// Runs at most once and has a key, so its progress is recorded in the store.
    Recorded,
    /// Runs at most once and has no key: never sent again once a byte may have left the entry.
    Once,
}

impl Class {
    /// Returns the class of a call, given its service's contract and whether the call has a key.
    ///
    /// A service that deduplicates calls by key receives the key with the call, so a call with a
    /// key may be repeated there and needs no record.
    pub fn of(repeatable: bool, drops_repeats: bool, keyed: bool) -> Self {
        match (repeatable || drops_repeats && keyed, keyed) {
            (true, _) => Self::Repeatable,
            (false, true) => Self::Recorded,
            (false, false) => Self::Once,
        }
    }
}

/// Parameters of one call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    /// Delivery class, which decides whether the call is recorded and may be repeated.
    pub class: Class,
    /// Digest of the request, see [`crate::record::digest`].
    pub digest: String,
    /// Path at which the caller can query the call's status.
    pub status_path: String,
    /// Random nonce of the void record that this entry may write.
    pub nonce: Nonce,
}

/// Limits of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Maximum number of sends of one call, including the first.
    pub max_sends: u32,
    /// Maximum number of attempts to void the record.
    pub max_voids: u32,
    /// Retry delay that callers receive with a refusal.
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

/// Input to the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The caller's request arrived.
    Start {
        /// Whether the store is responding at present.
        store_available: bool,
    },
    /// The call could not be sent; no byte left the entry.
    Unsent,
    /// The sidecar replied.
    Replied(Reply),
    /// The sidecar did not reply in time, or its connection broke, after bytes may have left.
    TimedOut {
        /// Whether the retry budget permits another send.
        retry_allowed: bool,
    },
    /// Result of [`Action::Void`].
    Voided(Write),
    /// Result of [`Action::ReadBack`].
    Read(Read),
}

/// Output of the state machine, to be carried out by the entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send the call with this base revision to a sidecar that was not tried yet.
    Send {
        /// Revision for [`crate::forwarder::Call::base_revision`].
        base_revision: Revision,
    },
    /// Write the void record if the record's revision is still `expect`.
    Void {
        /// Expected revision of the record.
        expect: Revision,
        /// The void record.
        record: Record,
    },
    /// Read the record.
    ReadBack,
    /// Send the outcome to the caller. Emitted once.
    Reply(Outcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Initial,
    Sent,
    Voiding,
    ReadingBack,
    Done,
}

/// State machine of one call in its entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    call: Call,
    settings: Settings,
    stage: Stage,
    base_revision: Revision,
    sends: u32,
    voids: u32,
}

impl Attempt {
    /// Creates the state machine of a call that has not been sent.
    pub fn new(call: Call, settings: Settings) -> Self {
        Self {
            call,
            settings,
            stage: Stage::Initial,
            base_revision: 0,
            sends: 0,
            voids: 0,
        }
    }

    /// Returns whether the outcome has been emitted.
    pub fn done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Handles an event. Events that don't apply to the current stage are ignored.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match (&self.stage, event) {
            (Stage::Initial, Event::Start { store_available }) => self.start(store_available),
            (Stage::Sent, Event::Unsent) => self.unsent(),
            (Stage::Sent, Event::Replied(reply)) => self.replied(reply),
            (Stage::Sent, Event::TimedOut { retry_allowed }) => self.timed_out(retry_allowed),
            (Stage::Voiding, Event::Voided(write)) => self.voided(write),
            (Stage::ReadingBack, Event::Read(read)) => self.read(read),
            _ => Vec::new(),
        }
    }

    /// Refuses a recorded call at once while the store is unavailable: it could only wait for its
    /// deadline.
    fn start(&mut self, store_available: bool) -> Vec<Action> {
        if self.call.class == Class::Recorded && !store_available {
            return self.refuse(Reason::StoreUnavailable);
        }
        self.send()
    }

    fn send(&mut self) -> Vec<Action> {
        self.stage = Stage::Sent;
        self.sends += 1;
        vec![Action::Send {
            base_revision: self.base_revision,
        }]
    }

    fn unsent(&mut self) -> Vec<Action> {
        if self.sends < self.settings.max_sends {
            return self.send();
        }
        self.refuse(Reason::NoServer)
    }

    fn replied(&mut self, reply: Reply) -> Vec<Action> {
        let stored = match reply {
            // A sidecar that is leaving refuses before it writes anything, so another one may be
            // tried.
            Reply::Outcome(Outcome::NotRun {
                reason: Reason::Leaving,
                ..
            }) if self.sends < self.settings.max_sends => return self.send(),
            Reply::Outcome(outcome) => return self.finish(outcome),
            Reply::Conflict(stored) => stored,
        };
        let Some(stored) = stored else {
            // The record expired between two sends; the next one expects no record.
            return self.retry(0);
        };
        if let Some(outcome) = stored.record.outcome_for(&self.call.digest) {
            return self.finish(outcome);
        }
        match stored.record.state {
            State::Void { .. } => self.retry(stored.revision),
            State::Forwarding { .. } | State::Answered { .. } => self.unknown(),
        }
    }

    /// Sends the call again. The previous sidecar lost its only write of the record and can no
    /// longer forward the call.
    fn retry(&mut self, base_revision: Revision) -> Vec<Action> {
        if self.sends >= self.settings.max_sends {
            return self.refuse(Reason::NoServer);
        }
        self.base_revision = base_revision;
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
            expect: self.base_revision,
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
            Write::Applied(_) => self.refuse(Reason::Unresponsive),
            Write::Conflict(Some(stored)) => self.resolve(stored),
            Write::Conflict(None) | Write::Refused => self.unknown(),
            Write::Unanswered => {
                self.stage = Stage::ReadingBack;
                vec![Action::ReadBack]
            }
        }
    }

    fn read(&mut self, read: Read) -> Vec<Action> {
        match read {
            Read::Found(stored) if stored.revision > self.base_revision => self.resolve(stored),
            // The void record isn't stored yet. Its write may be lost or delayed; a second write is
            // harmless.
            Read::Found(_) | Read::Absent if self.voids < self.settings.max_voids => self.void(),
            Read::Found(_) | Read::Absent | Read::Failed => self.unknown(),
        }
    }

    /// Derives the outcome from a record past the base revision. This attempt's own write has
    /// applied already or never will.
    fn resolve(&mut self, stored: Stored) -> Vec<Action> {
        if let Some(outcome) = stored.record.outcome_for(&self.call.digest) {
            return self.finish(outcome);
        }
        match stored.record.state {
            // Regardless of who voided it, the sidecar doesn't forward the call: once it forwards,
            // nobody else replaces its record, and it writes a void record itself only after it has
            // abandoned the call.
            State::Void { .. } => self.refuse(Reason::Unresponsive),
            State::Forwarding { .. } | State::Answered { .. } => self.unknown(),
        }
    }

    fn refuse(&mut self, reason: Reason) -> Vec<Action> {
        self.finish(Outcome::not_run(reason, self.settings.retry_after))
    }

    fn unknown(&mut self) -> Vec<Action> {
        let keyed = self.call.class == Class::Recorded;
        self.finish(Outcome::Unknown {
            status_path: keyed.then(|| self.call.status_path.clone()),
        })
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Action> {
        self.stage = Stage::Done;
        vec![Action::Reply(outcome)]
    }
}
