//! The invariants.

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
    Step,
    World, //
};

/// What the caller has is the beginning of one generation's text.
pub const ONE_GENERATION: &str = "prefix of one generation";
/// Every word stands at its own index.
pub const NO_HOLE: &str = "no hole";
/// No word stands twice.
pub const NO_REPEAT: &str = "no repeat";
/// An answer that ends without an interruption is whole.
pub const WHOLE: &str = "whole at the end";
/// Once nothing more fails, the answer ends.
pub const ENDS: &str = "ends when nothing more fails";

/// Steps without a new fault after which an answer must have ended.
const MOST_STEPS: usize = 80;

/// Hashes of the states from which an answer is known to end.
pub type Known = RefCell<HashSet<u64>>;

impl Model {
    /// The invariant that a state breaks.
    pub fn broken(&self, world: &World, known: &Known) -> Option<&'static str> {
        let text = &world.caller.text;
        for (place, word) in text.iter().enumerate() {
            if text[..place].contains(word) || own_index(word) < place as Index {
                return Some(NO_REPEAT);
            }
            if own_index(word) > place as Index {
                return Some(NO_HOLE);
            }
        }
        let mut generations = world.generations.values();
        let one = generations.any(|generation| {
            let words = generation.log.read(0, text.len());
            words.is_some_and(|words| words == text)
        });
        if !text.is_empty() && !one {
            return Some(ONE_GENERATION);
        }
        if let Some(Ending::Finished(Finish::Stop | Finish::Length)) = world.caller.ending
            && text.len() as Index != self.length
        {
            return Some(WHOLE);
        }
        if !self.ends(world, known) {
            return Some(ENDS);
        }
        None
    }

    fn ends(&self, world: &World, known: &Known) -> bool {
        let mut known = known.borrow_mut();
        let mut path = Vec::new();
        let mut world = world.clone();
        for _ in 0..MOST_STEPS {
            let hash = hash(&world);
            if world.caller.ending.is_some() || known.contains(&hash) {
                known.extend(path);
                return true;
            }
            path.push(hash);
            let Some(after) = self.go_on(&world) else {
                return false;
            };
            world = after;
        }
        false
    }

    /// The next state in a world where nothing more fails.
    fn go_on(&self, world: &World) -> Option<World> {
        let mut steps = self.steps(world);
        steps.retain(|step| fair(world, step));
        steps.sort_by_key(urgency);
        let mut following = steps.iter().map(|step| self.apply(world, step));
        following.find(|after| after != world)
    }
}

fn hash(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

pub(super) fn own_index(word: &str) -> Index {
    let index = word.rsplit('.').next();
    let index = index.and_then(|index| index.parse().ok());
    index.expect("a word ends in its index")
}

/// Whether a step belongs to a world where nothing more fails.
fn fair(world: &World, step: &Step) -> bool {
    let here = world.caller.at;
    match step {
        Step::Place { entry, fate, .. } => *entry == here && *fate == Fate::Whole,
        Step::NoPlace { entry, .. } => *entry == here && world.choice(&[]).is_none(),
        Step::Tokens {
            entry,
            epoch,
            index,
            ..
        } => {
            let resume = world.entries[here].resume.as_ref();
            let next = resume.map(|resume| resume.next());
            *entry == here && next == Some(*index) && world.reachable(here, *epoch)
        }
        Step::End { entry, epoch } | Step::Attach { entry, epoch } => {
            *entry == here && world.reachable(here, *epoch)
        }
        // A dial to a dead sidecar fails.
        Step::LinkLost { entry, epoch } => *entry == here && !world.reachable(here, *epoch),
        Step::Tick { entry } => *entry == here,
        Step::Retry { found } => world.entries[here].dead && found.is_none(),
        Step::Refuse { .. }
        | Step::Deny { .. }
        | Step::Miss { .. }
        | Step::EntryDies { .. }
        | Step::SidecarDies { .. } => false,
    }
}

fn urgency(step: &Step) -> u32 {
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

impl World {
    fn reachable(&self, entry: usize, epoch: u32) -> bool {
        let mut links = self.entries[entry].links.iter();
        let link = links.find(|link| link.epoch == epoch);
        link.is_some_and(|link| !self.dead[self.generations[&link.generation].server])
    }
}
