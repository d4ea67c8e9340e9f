//! Writes and promotes documents with a single compare-and-swap.
//!
//! Failures that this handles: two operators write concurrently and one edit is lost silently; the
//! response to a write is lost, and the operator's retry overwrites an edit made since; a trial
//! changes between its test and its promotion; the store becomes unavailable in between.
//!
//! Each write therefore names the revision that it replaces and carries an id, and each document
//! keeps the ids of earlier edits. A write without a response is repeated *unchanged*: the store
//! applies it at most once, and the stored document then shows whether it did. Everything is one
//! value under one key, so no edit is ever applied in part.

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

/// Limit on the earlier edits that a document keeps.
pub const MAX_HISTORY: usize = 50;

/// Failed store calls, counted separately for reading and writing, after which the store counts as
/// unavailable.
pub const MAX_ATTEMPTS: u32 = 5;

/// Document with its history, as the store keeps it under `env/<environment>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The edit that wrote this version.
    pub edit: Record,
    /// YAML text of the document.
    pub text: String,
    /// Earlier edits, newest first.
    pub history: Vec<Record>,
}

/// Metadata of one edit of an environment's document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Globally unique id of the edit.
    pub id: String,
    /// Operator who made the edit.
    pub operator: String,
    /// Time of the edit, as wall-clock time since the Unix epoch.
    pub at: Duration,
    /// Revision that the edit replaced; 0 for the first.
    pub replaced: Revision,
    /// Digest of the document.
    pub digest: u64,
    /// Trial that was promoted; `None` for a plain write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<Pin>,
}

/// Trial document at the revision that was tested.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pin {
    /// Environment of the trial.
    pub environment: Environment,
    /// Revision of the trial.
    pub revision: Revision,
    /// Digest of the trial's document.
    pub digest: u64,
}

/// Document as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// Store revision of the document.
    pub revision: Revision,
    /// Stored value.
    pub envelope: Envelope,
}

impl Stored {
    /// Returns the part of the document that is replicated to other processes.
    pub fn edition(&self) -> Edition {
        Edition {
            revision: self.revision,
            digest: self.envelope.edit.digest,
            text: self.envelope.text.clone(),
        }
    }

    fn contains_edit(&self, id: &str) -> bool {
        let envelope = &self.envelope;
        envelope.edit.id == id || envelope.history.iter().any(|record| record.id == id)
    }
}

/// Response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Result of a read; `None` if the document does not exist.
    Read(Option<Stored>),
    /// The write took effect at this revision.
    Written(Revision),
    /// The document is not at the expected revision; holds the current one.
    Conflict(Option<Stored>),
    /// The value exceeds the store's size limit.
    TooLarge,
    /// The store reported that it did not perform the call, or a read received no response.
    Refused,
    /// A write received no response: it may have taken effect, or still may.
    Unanswered,
}

/// Next action of the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read a document.
    Read(Environment),
    /// Write a document if its current revision is `expect`; 0 means that it must not exist.
    Write {
        /// Environment of the document.
        environment: Environment,
        /// Revision that the write replaces.
        expect: Revision,
        /// New value.
        envelope: Envelope,
    },
    /// The edit is complete.
    Done(Outcome),
}

/// Result of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The edit was applied.
    Accepted {
        /// Revision of the document; 0 if another edit replaced it before the result was known.
        revision: Revision,
        /// Edit that has replaced it since, if any.
        replaced_by: Option<Record>,
    },
    /// Another edit was applied first; nothing was written.
    Raced {
        /// Current revision; 0 if the document does not exist.
        revision: Revision,
        /// The other edit.
        other: Option<Record>,
    },
    /// The trial has changed since it was tested; nothing was written.
    Changed {
        /// Current revision of the trial; 0 if it was deleted.
        revision: Revision,
        /// Edit that changed the trial.
        other: Option<Record>,
    },
    /// The document exceeds the store's size limit; nothing was written.
    Large,
    /// The store is unavailable; nothing was written.
    Unavailable,
    /// The store is unavailable, and whether the document was written is unknown. Repeating the
    /// same edit with the same id is safe: it takes effect at most once.
    Unknown,
}

/// Edit that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Draft {
    /// Environment to write to.
    pub environment: Environment,
    /// Id of the edit; repeats of the same edit carry the same id.
    pub id: String,
    /// Operator who makes the edit.
    pub operator: String,
    /// Time of the edit, as wall-clock time since the Unix epoch.
    pub at: Duration,
    /// Revision that the operator has seen and replaces; 0 for none.
    pub base: Revision,
    /// YAML text of the document.
    pub text: String,
    /// Trial to promote; `None` for a plain write.
    pub trial: Option<Pin>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Reading the document. This comes first, so that a repeat finds an edit that was applied
    /// earlier.
    Read,
    /// Reading the trial, to verify that it is unchanged since its test.
    Trial(Envelope),
    /// Writing the document.
    Write(Envelope),
    Done,
}

/// State machine of one edit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Edit {
    draft: Draft,
    state: State,
    attempts: u32,
    /// Whether a write received no response.
    write_unanswered: bool,
}

impl Edit {
    /// Starts an edit. Returns its first step.
    pub fn new(draft: Draft) -> (Self, Step) {
        let step = Step::Read(draft.environment.clone());
        let edit = Self {
            draft,
            state: State::Read,
            attempts: 0,
            write_unanswered: false,
        };
        (edit, step)
    }

    /// Processes a response of the store. Returns the next step.
    pub fn answer(&mut self, answer: Answer) -> Step {
        match (&self.state, answer) {
            (State::Trial(envelope), Answer::Read(stored)) => {
                let envelope = envelope.clone();
                self.check_trial(stored, envelope)
            }
            (State::Read, Answer::Read(stored)) => self.check_base(stored),
            (State::Write(_), Answer::Written(revision)) => self.finish(Outcome::Accepted {
                revision,
                replaced_by: None,
            }),
            (State::Write(_), Answer::Conflict(stored)) => match self.find_applied(&stored) {
                Some(outcome) => self.finish(outcome),
                None => self.finish(raced(stored)),
            },
            (State::Write(_), Answer::TooLarge) => self.finish(Outcome::Large),
            (State::Write(_), Answer::Unanswered) => {
                self.write_unanswered = true;
                self.retry()
            }
            (State::Done, _) => Step::Done(Outcome::Unknown),
            _ => self.retry(),
        }
    }

    fn check_trial(&mut self, stored: Option<Stored>, envelope: Envelope) -> Step {
        let unchanged = stored.as_ref().is_some_and(|stored| {
            self.draft.trial.as_ref().is_some_and(|pin| {
                pin.revision == stored.revision && pin.digest == stored.envelope.edit.digest
            })
        });
        if !unchanged {
            return self.finish(Outcome::Changed {
                revision: stored.as_ref().map_or(0, |stored| stored.revision),
                other: stored.map(|stored| stored.envelope.edit),
            });
        }
        self.start_write(envelope)
    }

    fn start_write(&mut self, envelope: Envelope) -> Step {
        self.attempts = 0;
        self.state = State::Write(envelope.clone());
        self.write(envelope)
    }

    fn check_base(&mut self, stored: Option<Stored>) -> Step {
        // A repeat of an edit that was applied earlier is not written again.
        if let Some(outcome) = self.find_applied(&stored) {
            return self.finish(outcome);
        }
        if stored.as_ref().map_or(0, |stored| stored.revision) != self.draft.base {
            return self.finish(raced(stored));
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
            return self.start_write(envelope);
        };
        let step = Step::Read(pin.environment.clone());
        self.state = State::Trial(envelope);
        step
    }

    /// Returns the result if the store shows that this edit was applied, now or earlier.
    fn find_applied(&self, stored: &Option<Stored>) -> Option<Outcome> {
        let stored = stored
            .as_ref()
            .filter(|stored| stored.contains_edit(&self.draft.id))?;
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

    fn retry(&mut self) -> Step {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            return self.finish(match self.write_unanswered {
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

    fn finish(&mut self, outcome: Outcome) -> Step {
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
