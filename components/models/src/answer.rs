//! One answer: entries, sidecars, an engine that varies, and a caller that comes back.
//!
//! The specification drives the production [`Resume`] of two entries and the production [`Log`] of
//! each generation. The network is a set of messages that only grows: whatever a sidecar sent may
//! come at any time, in any order, several times, or never. That is loss, repetition and
//! reordering without bound, and it needs no queue in the state. Times are all zero, so that any
//! engine may be suspected at any moment.
//!
//! Each generation has words of its own, as if sampling were never repeatable; what the caller has
//! is then told from any other text word by word.

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

/// Number of entries; the caller begins at the first one.
pub const ENTRIES: usize = 2;
/// Number of sidecars.
pub const SIDECARS: usize = 3;
/// Bound of each log in bytes; no run of the model reaches it.
const BOUND: usize = 1 << 20;

/// What is taken out of the protocol, to see that the search notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing: the protocol as it is.
    Sound,
    /// Tokens of a fenced epoch are given to the owner's cursor.
    Unfenced,
    /// The caller's place is its index alone, without a digest.
    IndexOnly,
    /// A sidecar numbers the engine's tokens itself, so repeats and holes pass.
    BlindLog,
    /// The end is taken without a look at the number of tokens.
    EarlyEnd,
    /// The next epoch goes on from the tokens of its server's last run, not from those delivered.
    WrongPrefix,
    /// The driver reports no lost link and gives no tick.
    NoClock,
}

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// What is taken out.
    pub variant: Variant,
    /// Tokens of a whole answer.
    pub length: Index,
    /// Deaths of entries, sidecars and engines, and engines that repeat or skip, taken together.
    pub losses: u32,
    /// Epochs that each entry may start.
    pub epochs: u32,
}

/// A generation's key: the entry that started it, and its epoch there.
pub type Key = (usize, Epoch);

/// What becomes of a generation's engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    /// It ends its text.
    Whole,
    /// It dies before the token at this index.
    Dies(Index),
    /// It sends the token before this index again.
    Repeats(Index),
    /// It leaves out the token at this index.
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
    /// Whether anything was ever sent to this entry.
    read: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ask {
    epoch: Epoch,
    prefix: Vec<String>,
    avoid: Vec<Server>,
    cause: Cause,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    dead: bool,
    resume: Option<Resume>,
    kept: Vec<String>,
    asks: Vec<Ask>,
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
    at: usize,
    text: Vec<String>,
    mark: Position,
    ending: Option<Ending>,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    entries: [Entry; ENTRIES],
    generations: BTreeMap<Key, Rc<Generation>>,
    dead: [bool; SIDECARS],
    caller: Caller,
    losses: u32,
}

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A generation is handed to a server.
    Place {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
        /// The server.
        server: usize,
        /// What becomes of it.
        fate: Fate,
    },
    /// No replica is to be had.
    NoPlace {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
    },
    /// A replica refuses.
    Refuse {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
    },
    /// The retry budget is empty.
    Deny {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
    },
    /// Tokens come, for the first, the second, or not the first time.
    Tokens {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
        /// Index of the first.
        index: Index,
        /// How many.
        count: usize,
    },
    /// An end comes.
    End {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
    },
    /// A link or a dial fails.
    LinkLost {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
    },
    /// A dial reaches the generation.
    Attach {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
    },
    /// A dial reaches the sidecar, which doesn't know the generation.
    Miss {
        /// The entry.
        entry: usize,
        /// The epoch.
        epoch: Epoch,
    },
    /// The clock of an entry.
    Tick {
        /// The entry.
        entry: usize,
    },
    /// An entry dies.
    EntryDies {
        /// The entry.
        entry: usize,
    },
    /// A sidecar dies with its host.
    SidecarDies {
        /// Its number.
        server: usize,
    },
    /// The caller comes back at the second entry. A pointer may name any run there ever was.
    Retry {
        /// What the pointer names.
        found: Option<Key>,
    },
}

impl Model {
    /// The first state: the caller has asked the first entry.
    pub fn start(&self) -> World {
        let mut world = World {
            entries: Default::default(),
            generations: BTreeMap::new(),
            dead: [false; SIDECARS],
            caller: Caller::default(),
            losses: 0,
        };
        world.entries[0].resume = Some(self.resume());
        self.handle(&mut world, 0, Event::Begin { from: 0 });
        world
    }

    fn resume(&self) -> Resume {
        let settings = Settings {
            suspicion: threshold::Settings {
                lowest: Duration::ZERO,
                highest: Duration::ZERO,
                ..threshold::Settings::default()
            },
            first_token_timeout: Duration::ZERO,
            dial_pause: Duration::ZERO,
            max_epochs: self.epochs,
            // Time stands still here, so an answer that is refused ends at once instead of pausing.
            refusal_timeout: Duration::ZERO,
            max_attaches: 1,
            ..Settings::default()
        };
        Resume::new(settings, Duration::ZERO)
    }

    /// Gives an event to an entry and does what it says.
    fn handle(&self, world: &mut World, entry: usize, event: Event) {
        let Some(mut resume) = world.entries[entry].resume.take() else {
            return;
        };
        let mut actions = Vec::new();
        resume.handle(Duration::ZERO, event, &mut actions);
        world.entries[entry].resume = Some(resume);
        for action in actions {
            self.act(world, entry, action);
        }
    }

    fn act(&self, world: &mut World, entry: usize, action: Action) {
        let here = world.caller.at == entry;
        let state = &mut world.entries[entry];
        match action {
            Action::Start {
                epoch,
                continue_from,
                avoid,
                cause,
            } => {
                let prefix = state.kept[..continue_from as usize].to_vec();
                state.asks.push(Ask {
                    epoch,
                    prefix,
                    avoid,
                    cause,
                });
            }
            Action::Attach { epoch, .. } => {
                state.dials.insert(epoch);
            }
            Action::Cancel { epoch } => {
                state.asks.retain(|ask| ask.epoch != epoch);
                state.dials.remove(&epoch);
            }
            Action::Keep { tokens, .. } => state.kept.extend(tokens),
            Action::Deliver { tokens, .. } => {
                state.kept.extend(tokens.iter().cloned());
                if here {
                    world.caller.take(&tokens);
                }
            }
            Action::Restart { kept } => {
                state.kept.truncate(kept as usize);
                if here {
                    world.caller.text.clear();
                    world.caller.mark = Position::default();
                    let kept = state.kept.clone();
                    world.caller.take(&kept);
                }
            }
            Action::Finish(finish) if here => {
                world.caller.ending = Some(Ending::Finished(finish));
            }
            Action::Interrupt { reason, .. } if here => {
                world.caller.ending = Some(Ending::Interrupted(reason));
            }
            Action::Finish(_) | Action::Interrupt { .. } => {}
        }
    }

    /// The log that a sidecar has in the end, as its engine's fate makes it.
    fn log(&self, key: Key, prefix: &[String], fate: Fate) -> Log {
        let mut log = Log::with_prefix(prefix, BOUND).expect("a prefix fits");
        let mut index = log.next();
        let mut expected = index;
        while index < self.length {
            match fate {
                Fate::Dies(at) if at == index => {
                    let _ = log.end(Finish::Broken(Breakage::EngineDied));
                    return log;
                }
                Fate::Repeats(at) if at == index && expected == index => index -= 1,
                Fate::Skips(at) if at == index => index += 1,
                _ => {}
            }
            if self.append(&mut log, index, word(key, index)).is_err() {
                // The entry takes all breakages alike; one name keeps the space small.
                let _ = log.end(Finish::Broken(Breakage::EngineDied));
                return log;
            }
            index += 1;
            expected += 1;
        }
        let finish = match fate {
            Fate::Dies(at) if at == self.length => Finish::Broken(Breakage::EngineDied),
            _ => Finish::Stop,
        };
        let _ = log.end(finish);
        log
    }

    fn append(&self, log: &mut Log, index: Index, word: String) -> Result<(), Fault> {
        let index = match self.variant {
            Variant::BlindLog => log.next(),
            _ => index,
        };
        log.append(index, word)
    }
}

impl Caller {
    fn take(&mut self, tokens: &[String]) {
        for token in tokens {
            self.mark.push(token);
        }
        self.text.extend(tokens.iter().cloned());
    }
}

fn word(key: Key, index: Index) -> String {
    format!("{}.{}.{index}", key.0, key.1)
}
