//! Invariants of the model.

use std::{
    cell::RefCell,
    collections::HashSet,
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
};

use answer::Finish;
use names::Index;

use super::{
    Ending,
    Fate,
    Model,
    State,
    Step, //
};

/// The caller's text is a prefix of one generation's text.
pub const SINGLE_GENERATION: &str = "prefix of one generation";
/// Each token is at its own index.
pub const NO_HOLE: &str = "no hole";
/// No token occurs twice.
pub const NO_REPEAT: &str = "no repeat";
/// An answer that finishes without an interruption is complete.
pub const COMPLETE: &str = "complete when finished";
/// An answer ends once no more faults occur.
pub const TERMINATES: &str = "terminates once faults stop";

/// Maximum number of steps without a new fault after which an answer has ended.
const MAX_FAULT_FREE_STEPS: usize = 80;

/// Cache of the hashes of states from which an answer is known to end.
pub type Cache = RefCell<HashSet<u64>>;

impl Model {
    /// Returns the invariant that the state violates.
    pub fn violated_invariant(&self, state: &State, known: &Cache) -> Option<&'static str> {
        let text = &state.caller.text;
        for (position, token) in text.iter().enumerate() {
            if text[..position].contains(token) || token_index(token) < position as Index {
                return Some(NO_REPEAT);
            }
            if token_index(token) > position as Index {
                return Some(NO_HOLE);
            }
        }
        let mut generations = state.generations.values();
        let matches_one = generations.any(|generation| {
            let tokens = generation.log.read(0, text.len());
            tokens.is_some_and(|tokens| tokens == text)
        });
        if !text.is_empty() && !matches_one {
            return Some(SINGLE_GENERATION);
        }
        if let Some(Ending::Finished(Finish::Stop | Finish::Length)) = state.caller.ending
            && text.len() as Index != self.answer_tokens
        {
            return Some(COMPLETE);
        }
        if !self.terminates(state, known) {
            return Some(TERMINATES);
        }
        None
    }

    fn terminates(&self, state: &State, known: &Cache) -> bool {
        let mut known = known.borrow_mut();
        let mut path = Vec::new();
        let mut state = state.clone();
        for _ in 0..MAX_FAULT_FREE_STEPS {
            let hash = hash(&state);
            if state.caller.ending.is_some() || known.contains(&hash) {
                known.extend(path);
                return true;
            }
            path.push(hash);
            let Some(after) = self.next_without_faults(&state) else {
                return false;
            };
            state = after;
        }
        false
    }

    /// Returns the next state if no more faults occur.
    fn next_without_faults(&self, state: &State) -> Option<State> {
        let mut steps = self.steps(state);
        steps.retain(|step| is_fault_free(state, step));
        steps.sort_by_key(priority);
        let mut successors = steps.iter().map(|step| self.apply(state, step));
        successors.find(|after| after != state)
    }
}

fn hash(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

pub(super) fn token_index(token: &str) -> Index {
    let index = token.rsplit('.').next();
    let index = index.and_then(|index| index.parse().ok());
    index.expect("a token ends with its index")
}

/// Returns whether a step is possible when no more faults occur.
fn is_fault_free(state: &State, step: &Step) -> bool {
    let current = state.caller.entry;
    match step {
        Step::Place { entry, fate, .. } => *entry == current && *fate == Fate::Whole,
        Step::NoPlace { entry, .. } => *entry == current && state.choose_server(&[]).is_none(),
        Step::Tokens {
            entry,
            epoch,
            index,
            ..
        } => {
            let resume = state.entries[current].resume.as_ref();
            let next = resume.map(|resume| resume.next());
            *entry == current && next == Some(*index) && state.reachable(current, *epoch)
        }
        Step::End { entry, epoch } | Step::Attach { entry, epoch } => {
            *entry == current && state.reachable(current, *epoch)
        }
        // Attaching to a dead sidecar fails.
        Step::LinkLost { entry, epoch } => *entry == current && !state.reachable(current, *epoch),
        Step::Tick { entry } => *entry == current,
        Step::Retry { found } => state.entries[current].dead && found.is_none(),
        Step::Refuse { .. }
        | Step::Deny { .. }
        | Step::Miss { .. }
        | Step::EntryDies { .. }
        | Step::SidecarDies { .. } => false,
    }
}

fn priority(step: &Step) -> u32 {
    match step {
        Step::Attach { .. } => 0,
        Step::Tokens { .. } => 1,
        Step::End { .. } => 2,
        Step::Place { .. } => 3,
        Step::LinkLost { .. } => 4,
        Step::Tick { .. } => 5,
        _ => 6,
    }
}

impl State {
    fn reachable(&self, entry: usize, epoch: u32) -> bool {
        let mut links = self.entries[entry].links.iter();
        let link = links.find(|link| link.epoch == epoch);
        link.is_some_and(|link| !self.dead_sidecars[self.generations[&link.generation].server])
    }
}
