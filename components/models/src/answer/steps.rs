//! Which steps a state allows, and what each does.

use std::{
    rc::Rc,
    time::Duration, //
};

use answer::{
    Finish,
    log::Log,
    position::Position,
    resume::{
        Cause,
        Event,
        FIRST_EPOCH, //
    },
};

use names::{
    Index,
    Server, //
};

use super::{
    BOUND,
    Entry,
    Fate,
    Generation,
    Key,
    Link,
    Model,
    SIDECARS,
    Step,
    Variant,
    World,
    verdict::own_index, //
};

/// The run that the second entry finds.
const FOUND: Key = (0, FIRST_EPOCH);
/// What the caller had when it came to the second entry.
const HAD: Key = (0, FIRST_EPOCH - 1);

impl Model {
    /// Every step from a state, with the state that it leads to.
    pub fn next(&self, world: &World) -> Vec<(Step, World)> {
        let steps = self.steps(world).into_iter();
        let following = steps.map(|step| {
            let after = self.apply(world, &step);
            (step, after)
        });
        following.filter(|(_, after)| after != world).collect()
    }

    pub(super) fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        if world.caller.ending.is_some() {
            return steps;
        }
        let entry = world.caller.at;
        let state = &world.entries[entry];
        if state.resume.as_ref().is_some_and(|resume| !resume.done()) {
            self.entry_steps(world, entry, state, &mut steps);
        }
        if world.losses < self.losses {
            for server in 0..SIDECARS {
                if world.serves(server) && !world.dead[server] {
                    steps.push(Step::SidecarDies { server });
                }
            }
            if world.caller.at == 0 {
                steps.push(Step::EntryDies { entry: 0 });
            }
        }
        if world.caller.at == 0 {
            steps.push(Step::Retry { found: None });
            let keys = world.generations.keys();
            steps.extend(keys.map(|key| Step::Retry { found: Some(*key) }));
        }
        steps
    }

    fn entry_steps(&self, world: &World, entry: usize, state: &Entry, steps: &mut Vec<Step>) {
        for ask in &state.asks {
            let epoch = ask.epoch;
            if let Some(server) = world.choice(&ask.avoid) {
                for fate in self.fates(world, ask.prefix.len() as u64) {
                    steps.push(Step::Place {
                        entry,
                        epoch,
                        server,
                        fate,
                    });
                }
            }
            steps.push(Step::NoPlace { entry, epoch });
            steps.push(Step::Refuse { entry, epoch });
            // A denied suspicion uses up no epoch: without a bound the space would not end.
            if ask.cause == Cause::Suspicion && epoch <= FIRST_EPOCH + 1 {
                steps.push(Step::Deny { entry, epoch });
            }
        }
        for epoch in state.dials.iter().copied() {
            steps.push(Step::Attach { entry, epoch });
            steps.push(Step::Miss { entry, epoch });
        }
        for link in &state.links {
            let epoch = link.epoch;
            if link.read {
                self.message_steps(world, entry, link, steps);
            }
            if self.variant != Variant::NoClock {
                steps.push(Step::LinkLost { entry, epoch });
            }
        }
        if self.variant != Variant::NoClock {
            steps.push(Step::Tick { entry });
        }
    }

    fn message_steps(&self, world: &World, entry: usize, link: &Link, steps: &mut Vec<Step>) {
        let epoch = link.epoch;
        let all = world.generations[&link.generation].log.next();
        for index in 0..all {
            for count in 1..=(all - index).min(2) as usize {
                steps.push(Step::Tokens {
                    entry,
                    epoch,
                    index,
                    count,
                });
            }
        }
        steps.push(Step::End { entry, epoch });
    }

    /// What may become of a run that goes on from `base` tokens; a fault is one of the losses.
    fn fates(&self, world: &World, base: u64) -> Vec<Fate> {
        let mut fates = vec![Fate::Whole];
        if world.losses >= self.losses {
            return fates;
        }
        fates.extend((base..=self.length).map(Fate::Dies));
        fates.extend((base + 1..self.length).map(Fate::Repeats));
        fates.extend((base..self.length).map(Fate::Skips));
        fates
    }

    pub(super) fn apply(&self, world: &World, step: &Step) -> World {
        let mut after = world.clone();
        match *step {
            Step::Place {
                entry,
                epoch,
                server,
                fate,
            } => self.place(&mut after, (entry, epoch), server, fate),
            Step::NoPlace { entry, epoch } => {
                let retry_after = Duration::ZERO;
                after.entries[entry].forget(epoch);
                self.handle(&mut after, entry, Event::NoPlace { epoch, retry_after });
            }
            Step::Refuse { entry, epoch } => {
                let retry_after = Duration::ZERO;
                after.entries[entry].forget(epoch);
                self.handle(&mut after, entry, Event::Refused { epoch, retry_after });
            }
            Step::Deny { entry, epoch } => {
                after.entries[entry].forget(epoch);
                self.handle(&mut after, entry, Event::Denied { epoch });
            }
            Step::Tokens {
                entry,
                epoch,
                index,
                count,
            } => self.tokens(&mut after, (entry, epoch), index, count),
            Step::End { entry, epoch } => self.end(&mut after, (entry, epoch)),
            Step::LinkLost { entry, epoch } => {
                after.entries[entry].dials.remove(&epoch);
                self.handle(&mut after, entry, Event::LinkLost { epoch });
            }
            Step::Attach { entry, epoch } => self.attach(&mut after, (entry, epoch)),
            Step::Miss { entry, epoch } => {
                after.entries[entry].dials.remove(&epoch);
                self.handle(&mut after, entry, Event::AttachMissed { epoch });
            }
            Step::Tick { entry } => self.handle(&mut after, entry, Event::Tick),
            Step::EntryDies { entry } => {
                after.losses += 1;
                after.entries[entry] = Entry {
                    dead: true,
                    ..Entry::default()
                };
            }
            Step::SidecarDies { server } => {
                after.losses += 1;
                after.dead[server] = true;
            }
            Step::Retry { found } => self.retry(&mut after, found),
        }
        if after.caller.ending.is_some() {
            after.close();
        } else if after.caller.at == 1 && self.variant != Variant::Unfenced {
            after.drop_fenced();
        }
        after
    }

    fn place(&self, world: &mut World, key: Key, server: usize, fate: Fate) {
        let (entry, epoch) = key;
        let asks = &mut world.entries[entry].asks;
        let place = asks.iter().position(|ask| ask.epoch == epoch);
        let mut prefix = asks.remove(place.expect("the step names an ask")).prefix;
        if let (Variant::WrongPrefix, Some(last)) =
            (self.variant, world.generations.values().next_back())
            && let Some(words) = last.log.read(0, prefix.len())
            && words.len() == prefix.len()
        {
            prefix = words.to_vec();
        }
        if fate != Fate::Whole {
            world.losses += 1;
        }
        let log = self.log(key, &prefix, fate);
        world
            .generations
            .insert(key, Rc::new(Generation { server, log }));
        world.entries[entry].links.push(Link {
            epoch,
            generation: key,
            read: true,
        });
        let server = name(server);
        self.handle(world, entry, Event::Placed { epoch, server });
    }

    fn tokens(&self, world: &mut World, at: Key, index: u64, count: usize) {
        let (entry, mut epoch) = at;
        let Some(generation) = world.generation(at) else {
            return;
        };
        let tokens = generation.log.read(index, count).unwrap_or_default();
        let tokens = tokens.to_vec();
        if self.variant == Variant::Unfenced {
            let resume = world.entries[entry].resume.as_ref();
            epoch = resume.and_then(|resume| resume.owner()).unwrap_or(epoch);
        }
        let event = Event::Tokens {
            epoch,
            index,
            tokens,
        };
        self.handle(world, entry, event);
    }

    fn end(&self, world: &mut World, at: Key) {
        let (entry, epoch) = at;
        let Some(generation) = world.generation(at) else {
            return;
        };
        let finish = *generation.log.finish().expect("every log has its end");
        let mut total = generation.log.next();
        if let (Variant::EarlyEnd, Some(resume)) = (self.variant, &world.entries[entry].resume) {
            total = resume.next();
        }
        let event = Event::End {
            epoch,
            total,
            finish,
        };
        self.handle(world, entry, event);
    }

    fn attach(&self, world: &mut World, at: Key) {
        let (entry, epoch) = at;
        let Some(generation) = world.generation(at) else {
            return;
        };
        if world.dead[generation.server] {
            return;
        }
        let state = &mut world.entries[entry];
        state.dials.remove(&epoch);
        for link in &mut state.links {
            link.read |= link.epoch == epoch;
        }
        self.handle(world, entry, Event::Attached { epoch });
    }

    fn retry(&self, world: &mut World, found: Option<Key>) {
        world.leave_first(found);
        world.entries[1].resume = Some(self.resume());
        let mut mark = world.caller.mark;
        let Some(generation) = world.generations.get(&FOUND) else {
            self.handle(world, 1, Event::Return { position: mark });
            return;
        };
        if self.variant == Variant::IndexOnly {
            let words = generation.log.read(0, mark.next as usize);
            mark = marked(words.unwrap_or_default());
        }
        let epoch = FOUND.1;
        let server = name(generation.server);
        world.entries[1].links.push(Link {
            epoch,
            generation: FOUND,
            read: false,
        });
        let event = Event::Found {
            epoch,
            server,
            position: mark,
        };
        self.handle(world, 1, event);
    }
}

impl Entry {
    fn forget(&mut self, epoch: u32) {
        self.asks.retain(|ask| ask.epoch != epoch);
    }
}

impl World {
    fn generation(&self, at: Key) -> Option<&Rc<Generation>> {
        let mut links = self.entries[at.0].links.iter();
        let link = links.find(|link| link.epoch == at.1)?;
        self.generations.get(&link.generation)
    }

    /// The caller is at the second entry now.
    ///
    /// Whatever the first one does from here on, dead or alive, can reach neither the caller nor
    /// the second entry: the pointer was read, and a cancel looks to the second entry like a lost
    /// link or a missed dial, which come at any time. So its state goes. Of the runs stay the found
    /// one, and what the caller has as a run that went no further. Both get names that don't say
    /// which epoch they were: the second entry can't tell either.
    fn leave_first(&mut self, found: Option<Key>) {
        let text = self.caller.text.clone();
        let found = found.map(|key| self.generations[&key].clone());
        self.caller.at = 1;
        self.caller.text = (0..text.len()).map(|index| format!("c.{index}")).collect();
        self.caller.mark = marked(&self.caller.text);
        self.entries[0] = Entry::default();
        self.generations.clear();
        let had = cut(&self.caller.text);
        self.generations.insert(HAD, Rc::new(had));
        let Some(found) = found else {
            self.dead.sort();
            return;
        };
        let words = found.log.read(0, usize::MAX).expect("a log begins at 0");
        let mut log = Log::new(0, BOUND);
        for (place, word) in words.iter().enumerate() {
            let same = text.get(place) == Some(word);
            let name = if same { "c" } else { "f" };
            let index = own_index(word);
            let _ = log.append(place as Index, format!("{name}.{index}"));
        }
        let _ = log.end(*found.log.finish().expect("every log has its end"));
        let server = found.server;
        self.generations
            .insert(FOUND, Rc::new(Generation { server, log }));
    }

    /// The caller has its end: only what the invariants look at stays.
    fn close(&mut self) {
        let text = self.caller.text.clone();
        self.entries = Default::default();
        self.dead = Default::default();
        self.generations.retain(|_, generation| {
            let words = generation.log.read(0, text.len());
            words.is_some_and(|words| words == text)
        });
        if let Some((_, generation)) = self.generations.pop_last() {
            self.generations.clear();
            self.generations.insert(HAD, generation);
        }
    }

    /// Drops the runs that the second entry no longer listens to.
    ///
    /// That late tokens of a fenced run do nothing is searched at the first entry; here, where no
    /// pointer names them any more, they would only multiply the states.
    fn drop_fenced(&mut self) {
        let text = &self.caller.text;
        let whose = self.generations.values().any(|generation| {
            let words = generation.log.read(0, text.len());
            words.is_some_and(|words| words == text)
        });
        if whose {
            self.generations.insert(HAD, Rc::new(cut(text)));
        }
        let state = &mut self.entries[1];
        if let Some(resume) = &state.resume {
            state.links.retain(|link| resume.follows(link.epoch));
        }
        let links = &state.links;
        self.generations
            .retain(|key, _| *key == HAD || links.iter().any(|link| link.generation == *key));
    }

    /// Whether the entry listens to a run of this server.
    fn serves(&self, server: usize) -> bool {
        let state = &self.entries[self.caller.at];
        let Some(resume) = &state.resume else {
            return false;
        };
        state.links.iter().any(|link| {
            resume.follows(link.epoch) && self.generations[&link.generation].server == server
        })
    }

    /// The server that the driver picks: a live one, and one to avoid only if there is no other.
    pub(super) fn choice(&self, avoid: &[Server]) -> Option<usize> {
        let mut live = (0..SIDECARS).filter(|server| !self.dead[*server]);
        let first = live.clone().next();
        let other = live.find(|server| !avoid.contains(&name(*server)));
        other.or(first)
    }
}

/// A run that went no further than these words.
fn cut(words: &[String]) -> Generation {
    let mut log = Log::with_prefix(words, BOUND).expect("the words fit");
    let _ = log.end(Finish::Stop);
    Generation { server: 0, log }
}

fn marked(words: &[String]) -> Position {
    let mut mark = Position::default();
    for word in words {
        mark.push(word);
    }
    mark
}

fn name(server: usize) -> Server {
    format!("s{server}")
}
