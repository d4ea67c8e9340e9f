//! Enabled steps of a state, and their effects.

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
    Entry,
    Fate,
    Generation,
    Key,
    LOG_CAPACITY_BYTES,
    Link,
    Model,
    Mutation,
    SIDECAR_COUNT,
    State,
    Step,
    invariants::token_index, //
};

/// Key of the generation that the second entry finds.
const FOUND_KEY: Key = (0, FIRST_EPOCH);
/// Key of a generation that ends with the text that the caller had received.
const RECEIVED_KEY: Key = (0, FIRST_EPOCH - 1);

impl Model {
    /// Returns all enabled steps with the states that they lead to.
    pub fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let steps = self.steps(state).into_iter();
        let successors = steps.map(|step| {
            let after = self.apply(state, &step);
            (step, after)
        });
        successors.filter(|(_, after)| after != state).collect()
    }

    pub(super) fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        if state.caller.ending.is_some() {
            return steps;
        }
        let entry = state.caller.entry;
        let local = &state.entries[entry];
        if local.resume.as_ref().is_some_and(|resume| !resume.done()) {
            self.entry_steps(state, entry, local, &mut steps);
        }
        if state.losses < self.max_losses {
            for server in 0..SIDECAR_COUNT {
                if state.follows_server(server) && !state.dead_sidecars[server] {
                    steps.push(Step::SidecarDies { server });
                }
            }
            if state.caller.entry == 0 {
                steps.push(Step::EntryDies { entry: 0 });
            }
        }
        if state.caller.entry == 0 {
            steps.push(Step::Retry { found: None });
            let keys = state.generations.keys();
            steps.extend(keys.map(|key| Step::Retry { found: Some(*key) }));
        }
        steps
    }

    fn entry_steps(&self, state: &State, entry: usize, local: &Entry, steps: &mut Vec<Step>) {
        for placement in &local.placements {
            let epoch = placement.epoch;
            if let Some(server) = state.choose_server(&placement.avoid) {
                for fate in self.fates(state, placement.prefix.len() as u64) {
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
            // A denied suspicion uses up no epoch, so the state space would be infinite without
            // this bound.
            if placement.cause == Cause::Suspicion && epoch <= FIRST_EPOCH + 1 {
                steps.push(Step::Deny { entry, epoch });
            }
        }
        for epoch in local.dials.iter().copied() {
            steps.push(Step::Attach { entry, epoch });
            steps.push(Step::Miss { entry, epoch });
        }
        for link in &local.links {
            let epoch = link.epoch;
            if link.attached {
                self.message_steps(state, entry, link, steps);
            }
            if self.mutation != Mutation::NoClock {
                steps.push(Step::LinkLost { entry, epoch });
            }
        }
        if self.mutation != Mutation::NoClock {
            steps.push(Step::Tick { entry });
        }
    }

    fn message_steps(&self, state: &State, entry: usize, link: &Link, steps: &mut Vec<Step>) {
        let epoch = link.epoch;
        let total = state.generations[&link.generation].log.next();
        for index in 0..total {
            for count in 1..=(total - index).min(2) as usize {
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

    /// Returns the possible behaviours of an engine that continues from `base` tokens. Each fault
    /// counts as a loss.
    fn fates(&self, state: &State, base: u64) -> Vec<Fate> {
        let mut fates = vec![Fate::Whole];
        if state.losses >= self.max_losses {
            return fates;
        }
        fates.extend((base..=self.answer_tokens).map(Fate::Dies));
        fates.extend((base + 1..self.answer_tokens).map(Fate::Repeats));
        fates.extend((base..self.answer_tokens).map(Fate::Skips));
        fates
    }

    pub(super) fn apply(&self, state: &State, step: &Step) -> State {
        let mut after = state.clone();
        match *step {
            Step::Place {
                entry,
                epoch,
                server,
                fate,
            } => self.place(&mut after, (entry, epoch), server, fate),
            Step::NoPlace { entry, epoch } => {
                let retry_after = Duration::ZERO;
                after.entries[entry].remove_placement(epoch);
                self.handle(&mut after, entry, Event::NoPlace { epoch, retry_after });
            }
            Step::Refuse { entry, epoch } => {
                let retry_after = Duration::ZERO;
                after.entries[entry].remove_placement(epoch);
                self.handle(&mut after, entry, Event::Refused { epoch, retry_after });
            }
            Step::Deny { entry, epoch } => {
                after.entries[entry].remove_placement(epoch);
                self.handle(&mut after, entry, Event::Denied { epoch });
            }
            Step::Tokens {
                entry,
                epoch,
                index,
                count,
            } => self.deliver_tokens(&mut after, (entry, epoch), index, count),
            Step::End { entry, epoch } => self.deliver_end(&mut after, (entry, epoch)),
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
                after.dead_sidecars[server] = true;
            }
            Step::Retry { found } => self.retry(&mut after, found),
        }
        if after.caller.ending.is_some() {
            after.discard_unobserved();
        } else if after.caller.entry == 1 && self.mutation != Mutation::Unfenced {
            after.remove_fenced();
        }
        after
    }

    fn place(&self, state: &mut State, key: Key, server: usize, fate: Fate) {
        let (entry, epoch) = key;
        let placements = &mut state.entries[entry].placements;
        let position = placements
            .iter()
            .position(|placement| placement.epoch == epoch);
        let mut prefix = placements
            .remove(position.expect("the step names a pending placement"))
            .prefix;
        if let (Mutation::WrongPrefix, Some(last)) =
            (self.mutation, state.generations.values().next_back())
            && let Some(tokens) = last.log.read(0, prefix.len())
            && tokens.len() == prefix.len()
        {
            prefix = tokens.to_vec();
        }
        if fate != Fate::Whole {
            state.losses += 1;
        }
        let log = self.complete_log(key, &prefix, fate);
        state
            .generations
            .insert(key, Rc::new(Generation { server, log }));
        state.entries[entry].links.push(Link {
            epoch,
            generation: key,
            attached: true,
        });
        let server = server_name(server);
        self.handle(state, entry, Event::Placed { epoch, server });
    }

    fn deliver_tokens(&self, state: &mut State, source: Key, index: u64, count: usize) {
        let (entry, mut epoch) = source;
        let Some(generation) = state.generation(source) else {
            return;
        };
        let tokens = generation.log.read(index, count).unwrap_or_default();
        let tokens = tokens.to_vec();
        if self.mutation == Mutation::Unfenced {
            let resume = state.entries[entry].resume.as_ref();
            epoch = resume.and_then(|resume| resume.owner()).unwrap_or(epoch);
        }
        let event = Event::Tokens {
            epoch,
            index,
            tokens,
        };
        self.handle(state, entry, event);
    }

    fn deliver_end(&self, state: &mut State, source: Key) {
        let (entry, epoch) = source;
        let Some(generation) = state.generation(source) else {
            return;
        };
        let finish = *generation.log.finish().expect("each log has ended");
        let mut total = generation.log.next();
        if let (Mutation::EarlyEnd, Some(resume)) = (self.mutation, &state.entries[entry].resume) {
            total = resume.next();
        }
        let event = Event::End {
            epoch,
            total,
            finish,
        };
        self.handle(state, entry, event);
    }

    fn attach(&self, state: &mut State, source: Key) {
        let (entry, epoch) = source;
        let Some(generation) = state.generation(source) else {
            return;
        };
        if state.dead_sidecars[generation.server] {
            return;
        }
        let local = &mut state.entries[entry];
        local.dials.remove(&epoch);
        for link in &mut local.links {
            link.attached |= link.epoch == epoch;
        }
        self.handle(state, entry, Event::Attached { epoch });
    }

    fn retry(&self, state: &mut State, found: Option<Key>) {
        state.move_caller(found);
        state.entries[1].resume = Some(self.new_resume());
        let mut claimed = state.caller.position;
        let Some(generation) = state.generations.get(&FOUND_KEY) else {
            self.handle(state, 1, Event::Return { position: claimed });
            return;
        };
        if self.mutation == Mutation::IndexOnly {
            let tokens = generation.log.read(0, claimed.next as usize);
            claimed = position_after(tokens.unwrap_or_default());
        }
        let epoch = FOUND_KEY.1;
        let server = server_name(generation.server);
        state.entries[1].links.push(Link {
            epoch,
            generation: FOUND_KEY,
            attached: false,
        });
        let event = Event::Found {
            epoch,
            server,
            position: claimed,
        };
        self.handle(state, 1, event);
    }
}

impl Entry {
    fn remove_placement(&mut self, epoch: u32) {
        self.placements.retain(|placement| placement.epoch != epoch);
    }
}

impl State {
    fn generation(&self, source: Key) -> Option<&Rc<Generation>> {
        let mut links = self.entries[source.0].links.iter();
        let link = links.find(|link| link.epoch == source.1)?;
        self.generations.get(&link.generation)
    }

    /// Moves the caller to the second entry and discards the state of the first.
    ///
    /// Nothing that the first entry does from here on, dead or alive, reaches the caller or the
    /// second entry: the pointer has been read, and to the second entry a cancel looks like a lost
    /// link or an unknown generation, both of which may occur at any time. Two generations remain:
    /// the found one, and one that ends with the text that the caller has. Their keys do not tell
    /// their original epochs, which the second entry cannot tell either.
    fn move_caller(&mut self, found: Option<Key>) {
        let text = self.caller.text.clone();
        let found = found.map(|key| self.generations[&key].clone());
        self.caller.entry = 1;
        self.caller.text = (0..text.len()).map(|index| format!("c.{index}")).collect();
        self.caller.position = position_after(&self.caller.text);
        self.entries[0] = Entry::default();
        self.generations.clear();
        let received = ended_generation(&self.caller.text);
        self.generations.insert(RECEIVED_KEY, Rc::new(received));
        let Some(found) = found else {
            self.dead_sidecars.sort();
            return;
        };
        let tokens = found
            .log
            .read(0, usize::MAX)
            .expect("the log starts at index 0");
        let mut log = Log::new(0, LOG_CAPACITY_BYTES);
        for (position, token) in tokens.iter().enumerate() {
            let same = text.get(position) == Some(token);
            let name = if same { "c" } else { "f" };
            let index = token_index(token);
            let _ = log.append(position as Index, format!("{name}.{index}"));
        }
        let _ = log.end(*found.log.finish().expect("each log has ended"));
        let server = found.server;
        self.generations
            .insert(FOUND_KEY, Rc::new(Generation { server, log }));
    }

    /// Discards everything except what the invariants read, since the answer has ended for the
    /// caller.
    fn discard_unobserved(&mut self) {
        let text = self.caller.text.clone();
        self.entries = Default::default();
        self.dead_sidecars = Default::default();
        self.generations.retain(|_, generation| {
            let tokens = generation.log.read(0, text.len());
            tokens.is_some_and(|tokens| tokens == text)
        });
        if let Some((_, generation)) = self.generations.pop_last() {
            self.generations.clear();
            self.generations.insert(RECEIVED_KEY, generation);
        }
    }

    /// Removes the generations that the second entry no longer follows.
    ///
    /// The model checks at the first entry that late tokens of a fenced generation have no effect.
    /// At the second entry no pointer names such generations any more, so they would only multiply
    /// the states.
    fn remove_fenced(&mut self) {
        let text = &self.caller.text;
        let matches_one = self.generations.values().any(|generation| {
            let tokens = generation.log.read(0, text.len());
            tokens.is_some_and(|tokens| tokens == text)
        });
        if matches_one {
            self.generations
                .insert(RECEIVED_KEY, Rc::new(ended_generation(text)));
        }
        let local = &mut self.entries[1];
        if let Some(resume) = &local.resume {
            local.links.retain(|link| resume.follows(link.epoch));
        }
        let links = &local.links;
        self.generations.retain(|key, _| {
            *key == RECEIVED_KEY || links.iter().any(|link| link.generation == *key)
        });
    }

    /// Returns whether the entry follows a generation of this server.
    fn follows_server(&self, server: usize) -> bool {
        let local = &self.entries[self.caller.entry];
        let Some(resume) = &local.resume else {
            return false;
        };
        local.links.iter().any(|link| {
            resume.follows(link.epoch) && self.generations[&link.generation].server == server
        })
    }

    /// Returns the server that the driver chooses: a live one, and one to avoid only if there is no
    /// other.
    pub(super) fn choose_server(&self, avoid: &[Server]) -> Option<usize> {
        let mut live = (0..SIDECAR_COUNT).filter(|server| !self.dead_sidecars[*server]);
        let first = live.clone().next();
        let other = live.find(|server| !avoid.contains(&server_name(*server)));
        other.or(first)
    }
}

/// Returns a generation that ended after these tokens.
fn ended_generation(tokens: &[String]) -> Generation {
    let mut log =
        Log::with_prefix(tokens, LOG_CAPACITY_BYTES).expect("the tokens fit into the log");
    let _ = log.end(Finish::Stop);
    Generation { server: 0, log }
}

fn position_after(tokens: &[String]) -> Position {
    let mut position = Position::default();
    for token in tokens {
        position.push(token);
    }
    position
}

fn server_name(server: usize) -> Server {
    format!("s{server}")
}
