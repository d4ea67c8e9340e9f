//! One answer: entries, sidecars, an engine whose output varies, and a caller that retries.
//!
//! The specification runs the production [`Resume`] of two entries and the production [`Log`] of
//! each generation. The network is a set of messages that only grows: a message that a sidecar sent
//! may arrive at any time, in any order, repeatedly, or never. This covers unbounded loss,
//! duplication and reordering without a queue in the state. All times are zero, so any engine may
//! be suspected at any moment.
//!
//! The tokens of each generation are unique, as if sampling were never repeatable. The caller's
//! text can therefore be attributed to its generation token by token.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    time::Duration, //
};

use answer::{
    Breakage,
    Finish,
    log::{
        Fault,
        Log, //
    },
    position::Position,
    resume::{
        Action,
        Cause,
        Event,
        Interruption,
        Resume,
        Settings, //
    },
    threshold, //
};
use names::{
    Epoch,
    Index,
    Server, //
};

pub mod invariants;
mod steps;

/// Number of entries. The caller starts at the first one.
pub const ENTRY_COUNT: usize = 2;
/// Number of sidecars.
pub const SIDECAR_COUNT: usize = 3;
/// Capacity of each log, larger than any log of the model.
const LOG_CAPACITY_BYTES: usize = 1 << 20;

/// Defects built into the protocol, each of which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The protocol without a defect.
    None,
    /// Tokens of a fenced epoch are attributed to the owner of the answer.
    Unfenced,
    /// The caller's position is only an index, without a digest.
    IndexOnly,
    /// A sidecar numbers the engine's tokens itself and so accepts repeated and missing tokens.
    BlindLog,
    /// The end is accepted without comparing the number of tokens.
    EarlyEnd,
    /// The next epoch continues from the tokens of the last run instead of the delivered ones.
    WrongPrefix,
    /// The driver reports no lost links and sends no ticks.
    NoClock,
}

/// The specification with a mutation and bounds of the search.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Defect that the model contains.
    pub mutation: Mutation,
    /// Number of tokens in a complete answer.
    pub answer_tokens: Index,
    /// Maximum number of faults: crashes of entries, sidecars and engines, and engines that repeat
    /// or skip tokens.
    pub max_losses: u32,
    /// Maximum number of epochs that each entry starts.
    pub max_epochs: u32,
}

/// Key of a generation: the entry that started it, and its epoch there.
pub type Key = (usize, Epoch);

/// Behaviour of a generation's engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    /// It generates the complete text.
    Whole,
    /// It dies before the token at this index.
    Dies(Index),
    /// It repeats the token before this index.
    Repeats(Index),
    /// It skips the token at this index.
    Skips(Index),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Generation {
    server: usize,
    log: Log,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Link {
    epoch: Epoch,
    generation: Key,
    /// Whether the sidecar has begun to send to this entry.
    attached: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Placement {
    epoch: Epoch,
    prefix: Vec<String>,
    avoid: Vec<Server>,
    cause: Cause,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    dead: bool,
    resume: Option<Resume>,
    tokens: Vec<String>,
    placements: Vec<Placement>,
    dials: BTreeSet<Epoch>,
    links: Vec<Link>,
}

/// How the answer ended for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Ending {
    Finished(Finish),
    Interrupted(Interruption),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Caller {
    entry: usize,
    text: Vec<String>,
    position: Position,
    ending: Option<Ending>,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    entries: [Entry; ENTRY_COUNT],
    generations: BTreeMap<Key, Rc<Generation>>,
    dead_sidecars: [bool; SIDECAR_COUNT],
    caller: Caller,
    losses: u32,
}

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A generation is placed on a server.
    Place {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
        /// Index of the server.
        server: usize,
        /// Behaviour of the engine.
        fate: Fate,
    },
    /// No replica is available.
    NoPlace {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
    },
    /// A replica refuses the generation.
    Refuse {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
    },
    /// The retry budget is exhausted.
    Deny {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
    },
    /// Tokens arrive, possibly not for the first time.
    Tokens {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
        /// Index of the first token.
        index: Index,
        /// Number of tokens.
        count: usize,
    },
    /// The end of a generation arrives.
    End {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
    },
    /// A link or an attempt to attach fails.
    LinkLost {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
    },
    /// An entry attaches to a generation.
    Attach {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
    },
    /// An entry reaches the sidecar, which does not know the generation.
    Miss {
        /// Index of the entry.
        entry: usize,
        /// Epoch that the step belongs to.
        epoch: Epoch,
    },
    /// The timer of an entry fires.
    Tick {
        /// Index of the entry.
        entry: usize,
    },
    /// An entry dies.
    EntryDies {
        /// Index of the entry.
        entry: usize,
    },
    /// A sidecar dies with its host.
    SidecarDies {
        /// Index of the sidecar.
        server: usize,
    },
    /// The caller retries at the second entry. The pointer there may name any generation that was
    /// started.
    Retry {
        /// Generation that the pointer names.
        found: Option<Key>,
    },
}

impl Model {
    /// Returns the initial state: the caller has sent its request to the first entry.
    pub fn initial(&self) -> State {
        let mut state = State {
            entries: Default::default(),
            generations: BTreeMap::new(),
            dead_sidecars: [false; SIDECAR_COUNT],
            caller: Caller::default(),
            losses: 0,
        };
        state.entries[0].resume = Some(self.new_resume());
        self.handle(&mut state, 0, Event::Begin { from: 0 });
        state
    }

    fn new_resume(&self) -> Resume {
        let settings = Settings {
            suspicion: threshold::Settings {
                lowest: Duration::ZERO,
                highest: Duration::ZERO,
                ..threshold::Settings::default()
            },
            first_token_timeout: Duration::ZERO,
            dial_pause: Duration::ZERO,
            max_epochs: self.max_epochs,
            // The clock does not advance, so a refused answer ends at once instead of pausing.
            refusal_timeout: Duration::ZERO,
            max_attaches: 1,
            ..Settings::default()
        };
        Resume::new(settings, Duration::ZERO)
    }

    /// Passes an event to an entry and performs the resulting actions.
    fn handle(&self, state: &mut State, entry: usize, event: Event) {
        let Some(mut resume) = state.entries[entry].resume.take() else {
            return;
        };
        let mut actions = Vec::new();
        resume.handle(Duration::ZERO, event, &mut actions);
        state.entries[entry].resume = Some(resume);
        for action in actions {
            self.perform(state, entry, action);
        }
    }

    fn perform(&self, state: &mut State, entry: usize, action: Action) {
        let serves_caller = state.caller.entry == entry;
        let local = &mut state.entries[entry];
        match action {
            Action::Start {
                epoch,
                continue_from,
                avoid,
                cause,
            } => {
                let prefix = local.tokens[..continue_from as usize].to_vec();
                local.placements.push(Placement {
                    epoch,
                    prefix,
                    avoid,
                    cause,
                });
            }
            Action::Attach { epoch, .. } => {
                local.dials.insert(epoch);
            }
            Action::Cancel { epoch } => {
                local
                    .placements
                    .retain(|placement| placement.epoch != epoch);
                local.dials.remove(&epoch);
            }
            Action::Keep { tokens, .. } => local.tokens.extend(tokens),
            Action::Deliver { tokens, .. } => {
                local.tokens.extend(tokens.iter().cloned());
                if serves_caller {
                    state.caller.receive(&tokens);
                }
            }
            Action::Restart { kept } => {
                local.tokens.truncate(kept as usize);
                if serves_caller {
                    state.caller.text.clear();
                    state.caller.position = Position::default();
                    let tokens = local.tokens.clone();
                    state.caller.receive(&tokens);
                }
            }
            Action::Finish(finish) if serves_caller => {
                state.caller.ending = Some(Ending::Finished(finish));
            }
            Action::Interrupt { reason, .. } if serves_caller => {
                state.caller.ending = Some(Ending::Interrupted(reason));
            }
            Action::Finish(_) | Action::Interrupt { .. } => {}
        }
    }

    /// Returns the complete log of a generation, as the behaviour of its engine determines it.
    fn complete_log(&self, key: Key, prefix: &[String], fate: Fate) -> Log {
        let mut log =
            Log::with_prefix(prefix, LOG_CAPACITY_BYTES).expect("the prefix fits into the log");
        let mut index = log.next();
        let mut expected = index;
        while index < self.answer_tokens {
            match fate {
                Fate::Dies(at) if at == index => {
                    let _ = log.end(Finish::Broken(Breakage::EngineDied));
                    return log;
                }
                Fate::Repeats(at) if at == index && expected == index => index -= 1,
                Fate::Skips(at) if at == index => index += 1,
                _ => {}
            }
            if self
                .append(&mut log, index, token_text(key, index))
                .is_err()
            {
                // The entry handles all breakages alike; recording a single one keeps the state
                // space small.
                let _ = log.end(Finish::Broken(Breakage::EngineDied));
                return log;
            }
            index += 1;
            expected += 1;
        }
        let finish = match fate {
            Fate::Dies(at) if at == self.answer_tokens => Finish::Broken(Breakage::EngineDied),
            _ => Finish::Stop,
        };
        let _ = log.end(finish);
        log
    }

    fn append(&self, log: &mut Log, index: Index, token: String) -> Result<(), Fault> {
        let index = match self.mutation {
            Mutation::BlindLog => log.next(),
            _ => index,
        };
        log.append(index, token)
    }
}

impl Caller {
    fn receive(&mut self, tokens: &[String]) {
        for token in tokens {
            self.position.push(token);
        }
        self.text.extend(tokens.iter().cloned());
    }
}

fn token_text(key: Key, index: Index) -> String {
    format!("{}.{}.{index}", key.0, key.1)
}
