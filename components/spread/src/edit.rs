//! Putting and promoting a document by one compare-and-swap.
//!
//! What can go wrong: two operators write at once and one's work is lost without a word; the
//! answer to a write is lost, and the operator writes again what another has replaced since; a
//! trial is changed between its test and its promotion; the store goes out halfway. So a write
//! names the revision that it replaces and carries an id, each document keeps the ids of those it
//! followed, and a write without an answer is *repeated as it was*: the store takes it at most
//! once, and what stands there then tells whether it did. All of it is one value under one key, so
//! nothing can be half done.

use std::time::Duration;

use environment::digest;
use names::{
    Environment,
    Revision, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::slot::Edition;

/// Number of earlier edits that are kept with a document.
pub const MAX_HISTORY: usize = 50;

/// How often a write is tried before the store counts as out.
pub const MAX_ATTEMPTS: u32 = 5;

/// A document with its history, as it stands in the store under `env/<environment>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// How it came here.
    pub edit: Record,
    /// The YAML text.
    pub text: String,
    /// Earlier edits, newest first.
    pub history: Vec<Record>,
}

/// One edit of an environment's document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Id of the edit, unique for good.
    pub id: String,
    /// Who made it.
    pub operator: String,
    /// When, as wall-clock time since 1970.
    pub at: Duration,
    /// Revision that it replaced; 0 for the first.
    pub replaced: Revision,
    /// Digest of the document.
    pub digest: u64,
    /// The trial that was promoted; none for a put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<Pin>,
}

/// A document at one revision, as it was tried.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pin {
    /// Environment of the trial.
    pub environment: Environment,
    /// Its revision.
    pub revision: Revision,
    /// Its digest.
    pub digest: u64,
}

/// A document as it was read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// Its revision.
    pub revision: Revision,
    /// The value.
    pub envelope: Envelope,
}

impl Stored {
    /// What is spread of it.
    pub fn edition(&self) -> Edition {
        Edition {
            revision: self.revision,
            digest: self.envelope.edit.digest,
            text: self.envelope.text.clone(),
        }
    }

    fn has(&self, id: &str) -> bool {
        let envelope = &self.envelope;
        envelope.edit.id == id || envelope.history.iter().any(|record| record.id == id)
    }
}

/// What the store said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A read: what stands there.
    Read(Option<Stored>),
    /// A write took effect.
    Written(Revision),
    /// A write found another revision than it expected: what stands there.
    Conflict(Option<Stored>),
    /// The value is larger than the store takes.
    TooLarge,
    /// The store answered that it didn't do it; a read also when it didn't answer.
    Refused,
    /// A write got no answer: it may have taken effect, or may still.
    Unanswered,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read a document.
    Read(Environment),
    /// Write a document if its revision is `expect`, 0 for absent.
    Write {
        /// Its environment.
        environment: Environment,
        /// Revision that it replaces.
        expect: Revision,
        /// The value.
        envelope: Envelope,
    },
    /// It has ended.
    Done(Outcome),
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was accepted.
    Accepted {
        /// Revision of the document; 0 when another edit replaced it before this was known.
        revision: Revision,
        /// The edit that has replaced it since, if one has.
        replaced_by: Option<Record>,
    },
    /// Another edit came first; nothing was written.
    Raced {
        /// The revision that stands there; 0 for none.
        revision: Revision,
        /// The other edit.
        other: Option<Record>,
    },
    /// The trial isn't what was tried any more; nothing was written.
    Changed {
        /// The revision that the trial has now; 0 when it is gone.
        revision: Revision,
        /// The edit that changed it.
        other: Option<Record>,
    },
    /// The document is larger than the store takes; nothing was written.
    Large,
    /// The store is out; nothing was written.
    Unavailable,
    /// The store is out, and whether the document was written isn't known. The same edit, with the
    /// same id, may be repeated; it takes effect at most once.
    Unknown,
}

/// What an operator wants to write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Draft {
    /// The environment that is written.
    pub environment: Environment,
    /// Id of the edit; the same for repeats of the same edit.
    pub id: String,
    /// Who makes it.
    pub operator: String,
    /// When, as wall-clock time since 1970.
    pub at: Duration,
    /// Revision that the operator has seen and means to replace; 0 for none.
    pub base: Revision,
    /// The text.
    pub text: String,
    /// The trial that is promoted; none for a put.
    pub trial: Option<Pin>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The document is read; first of all, since a repeat must find what was accepted earlier.
    Read,
    /// The trial is read, to see that it still is what was tried.
    Trial(Envelope),
    /// The document is written.
    Write(Envelope),
    Done,
}

/// One edit on its way to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Edit {
    draft: Draft,
    state: State,
    tries: u32,
    /// A write got no answer.
    doubt: bool,
}

impl Edit {
    /// Begins an edit, and says what to do first.
    pub fn new(draft: Draft) -> (Self, Step) {
        let step = Step::Read(draft.environment.clone());
        let edit = Self {
            draft,
            state: State::Read,
            tries: 0,
            doubt: false,
        };
        (edit, step)
    }

    /// Takes what the store said, and says what to do next.
    pub fn answer(&mut self, answer: Answer) -> Step {
        match (&self.state, answer) {
            (State::Trial(envelope), Answer::Read(stored)) => {
                let envelope = envelope.clone();
                self.trial(stored, envelope)
            }
            (State::Read, Answer::Read(stored)) => self.read(stored),
            (State::Write(_), Answer::Written(revision)) => self.done(Outcome::Accepted {
                revision,
                replaced_by: None,
            }),
            (State::Write(_), Answer::Conflict(stored)) => match self.found(&stored) {
                Some(outcome) => self.done(outcome),
                None => self.done(raced(stored)),
            },
            (State::Write(_), Answer::TooLarge) => self.done(Outcome::Large),
            (State::Write(_), Answer::Unanswered) => {
                self.doubt = true;
                self.again()
            }
            (State::Done, _) => Step::Done(Outcome::Unknown),
            _ => self.again(),
        }
    }

    fn trial(&mut self, stored: Option<Stored>, envelope: Envelope) -> Step {
        let same = stored.as_ref().is_some_and(|stored| {
            self.draft.trial.as_ref().is_some_and(|pin| {
                pin.revision == stored.revision && pin.digest == stored.envelope.edit.digest
            })
        });
        if !same {
            return self.done(Outcome::Changed {
                revision: stored.as_ref().map_or(0, |stored| stored.revision),
                other: stored.map(|stored| stored.envelope.edit),
            });
        }
        self.begin_write(envelope)
    }

    fn begin_write(&mut self, envelope: Envelope) -> Step {
        self.tries = 0;
        self.state = State::Write(envelope.clone());
        self.write(envelope)
    }

    fn read(&mut self, stored: Option<Stored>) -> Step {
        // A repeat of an edit that was accepted earlier isn't written twice.
        if let Some(outcome) = self.found(&stored) {
            return self.done(outcome);
        }
        if stored.as_ref().map_or(0, |stored| stored.revision) != self.draft.base {
            return self.done(raced(stored));
        }
        let mut history = Vec::new();
        if let Some(stored) = stored {
            history.push(stored.envelope.edit);
            history.extend(stored.envelope.history);
            history.truncate(MAX_HISTORY);
        }
        let envelope = Envelope {
            edit: Record {
                id: self.draft.id.clone(),
                operator: self.draft.operator.clone(),
                at: self.draft.at,
                replaced: self.draft.base,
                digest: digest(&self.draft.text),
                trial: self.draft.trial.clone(),
            },
            text: self.draft.text.clone(),
            history,
        };
        let Some(pin) = &self.draft.trial else {
            return self.begin_write(envelope);
        };
        let step = Step::Read(pin.environment.clone());
        self.state = State::Trial(envelope);
        step
    }

    /// Tells how this edit ended if it stands in the store, or stood there.
    fn found(&self, stored: &Option<Stored>) -> Option<Outcome> {
        let stored = stored
            .as_ref()
            .filter(|stored| stored.has(&self.draft.id))?;
        if stored.envelope.edit.id == self.draft.id {
            return Some(Outcome::Accepted {
                revision: stored.revision,
                replaced_by: None,
            });
        }
        Some(Outcome::Accepted {
            revision: 0,
            replaced_by: Some(stored.envelope.edit.clone()),
        })
    }

    fn again(&mut self) -> Step {
        self.tries += 1;
        if self.tries >= MAX_ATTEMPTS {
            return self.done(match self.doubt {
                true => Outcome::Unknown,
                false => Outcome::Unavailable,
            });
        }
        match &self.state {
            State::Trial(_) => {
                let trial = self.draft.trial.as_ref();
                Step::Read(trial.map_or_else(String::new, |pin| pin.environment.clone()))
            }
            State::Read | State::Done => Step::Read(self.draft.environment.clone()),
            State::Write(envelope) => self.write(envelope.clone()),
        }
    }

    fn write(&self, envelope: Envelope) -> Step {
        Step::Write {
            environment: self.draft.environment.clone(),
            expect: self.draft.base,
            envelope,
        }
    }

    fn done(&mut self, outcome: Outcome) -> Step {
        self.state = State::Done;
        Step::Done(outcome)
    }
}

fn raced(stored: Option<Stored>) -> Outcome {
    Outcome::Raced {
        revision: stored.as_ref().map_or(0, |stored| stored.revision),
        other: stored.map(|stored| stored.envelope.edit),
    }
}
