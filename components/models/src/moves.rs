//! Traffic move: the movers of two entries, their gossip, and the store's record of the move.
//!
//! An entry may pause for any time, receive facts late or never, and restart without its memory.
//! Writes to the store and responses may be lost; an outage is a store that loses every call.
//! Evidence is modelled coarsely: an entry observes a burst of forty failed requests on the new
//! version.

use std::time::{
    Duration,
    SystemTime, //
};

use environment::document::Plan;
use moves::{
    Level,
    Mover,
    Side,
    evidence::Source,
    mover::Owner,
    outcome::{
        End,
        Outcome,
        Record, //
    },
    step::{
        Action,
        Answer,
        Ending,
        Event,
        Fact,
        Notice, //
    }, //
};

use crate::search;

/// Number of entries.
const ENTRY_COUNT: usize = 2;

/// Times at which steps occur, in seconds since the start of the move: midway through the ramp,
/// where the search starts, and after the watch period.
const STEP_TIMES_SECONDS: [u64; 2] = [30, 150];

/// Seconds between two ticks of an entry. The daemon ticks more often; the longer interval shortens
/// the search.
const TICK_INTERVAL_SECONDS: usize = 6;

/// Number of failed requests that an entry observes at once.
const BURST_REQUESTS: u64 = 40;

/// Defects built into the system, each of which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The system without a defect.
    None,
    /// The driver applies a new share only at its next run.
    LateShare,
    /// The store writes without comparing the revision.
    BlindWrites,
    /// A restarted entry starts before it has read the store or received facts from its peer.
    HastyRestart,
    /// An entry reports the outcome when it sends the write, before the write is acknowledged.
    ReportOnWrite,
}

/// A step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The time advances for all entries.
    Advance,
    /// An entry catches up with all ticks since its last run.
    Run(usize),
    /// An entry observes a burst of failures on the new version.
    Burst(usize),
    /// An entry receives a veto or an outcome. The fields are the entry and the index of the fact.
    Hear(usize, usize),
    /// The store executes an entry's call.
    Take(usize),
    /// An entry's call is lost.
    Lose(usize),
    /// The store's response arrives.
    Answer(usize),
    /// The store's response is lost.
    LoseAnswer(usize),
    /// An entry restarts.
    Restart(usize),
    /// A restarted entry receives all facts that its peer knows.
    Sync(usize),
}

/// An entry's call to the store. A write has the expected revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Read,
    Write(Box<Record>, u64),
}

/// One entry and its driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    mover: Mover,
    /// The share by which new requests are assigned to a version.
    level: Level,
    /// A share that the driver has not applied yet.
    pending_level: Option<Level>,
    last_run: u64,
    call: Option<Call>,
    answer: Option<Answer>,
    saw_burst: bool,
    /// The host knew of a veto, in this process or in an earlier one whose peer knew of it too.
    knew_veto: bool,
    incarnation: u64,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    entries: Vec<Entry>,
    facts: Vec<Fact>,
    record: Option<Box<Record>>,
    revision: u64,
    first_outcome: Option<Outcome>,
    time_index: usize,
    losses: u8,
    restarts: u8,
    reports: u8,
}

/// The specification with a mutation and bounds of the search.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Defect that the model contains.
    pub mutation: Mutation,
    /// Maximum number of lost calls and responses.
    pub max_losses: u8,
    /// Maximum number of restarts of the second entry.
    pub max_restarts: u8,
}

fn wall_time(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

fn plan() -> Plan {
    Plan {
        name: "up".into(),
        service: "drafting".into(),
        from: "1".into(),
        to: "2".into(),
        routes: Vec::new(),
        start: Some(wall_time(0)),
        by: wall_time(60),
        watch: Duration::from_secs(60),
    }
}

impl Model {
    /// Searches all states.
    pub fn search(self) -> search::Outcome<Step> {
        search::search(
            self.initial(),
            |state| self.successors(state),
            violated_invariant,
        )
    }

    fn initial(self) -> State {
        let mut state = State {
            entries: Vec::new(),
            facts: Vec::new(),
            record: None,
            revision: 0,
            first_outcome: None,
            time_index: 0,
            losses: 0,
            restarts: 0,
            reports: 0,
        };
        for index in 0..ENTRY_COUNT {
            let entry = self.start_entry(index, 1, 0);
            state.entries.push(entry);
            // The search starts midway: the start of the move is recorded and traffic has begun to
            // shift.
            state.entries[index].call = None;
            self.handle(&mut state, index, Event::Synced, 0);
            self.apply(&mut state, Step::Run(index));
            while state.entries[index].call.is_some() {
                self.apply(&mut state, Step::Take(index));
                self.apply(&mut state, Step::Answer(index));
            }
        }
        state
    }

    fn start_entry(self, index: usize, incarnation: u64, time: u64) -> Entry {
        let owner = Owner {
            source: Source::Entry {
                host: format!("entry-{index}"),
                incarnation,
            },
            data_centre: "a".into(),
        };
        let at = Duration::from_secs(time);
        let (mut mover, _) = Mover::new(owner, plan(), vec!["chat".into()], at, wall_time(time));
        mover.handle(Event::Rank(index as u32), at, wall_time(time));
        mover.handle(Event::Ready { old: 2, new: 2 }, at, wall_time(time));
        if self.mutation == Mutation::HastyRestart {
            mover.handle(Event::Synced, at, wall_time(time));
        }
        Entry {
            level: mover.level(),
            mover,
            pending_level: None,
            last_run: time,
            call: Some(Call::Read),
            answer: None,
            saw_burst: false,
            knew_veto: false,
            incarnation,
        }
    }

    fn handle(self, state: &mut State, index: usize, event: Event, time: u64) {
        let at = Duration::from_secs(time);
        let actions = state.entries[index]
            .mover
            .handle(event, at, wall_time(time));
        for action in actions {
            self.perform(state, index, action);
        }
        let entry = &mut state.entries[index];
        entry.knew_veto |= entry.mover.veto().is_some();
    }

    fn perform(self, state: &mut State, index: usize, action: Action) {
        let entry = &mut state.entries[index];
        match action {
            Action::Share(level) if self.mutation == Mutation::LateShare => {
                entry.pending_level = Some(level);
            }
            Action::Share(level) => entry.level = level,
            Action::Publish(fact @ (Fact::Veto(_) | Fact::Outcome(_)))
                if !state.facts.contains(&fact) =>
            {
                state.facts.push(fact);
            }
            Action::Read => entry.call = Some(Call::Read),
            Action::Write { record, expect } => {
                let is_final = record.outcome.is_some();
                if self.mutation == Mutation::ReportOnWrite && is_final {
                    state.reports += 1;
                }
                entry.call = Some(Call::Write(record, expect));
            }
            Action::Notice(Notice::Reported(_)) if self.mutation != Mutation::ReportOnWrite => {
                state.reports += 1;
            }
            _ => {}
        }
    }

    fn successors(self, state: &State) -> Vec<(Step, State)> {
        let mut successors = Vec::new();
        for step in self.steps(state) {
            let mut after = state.clone();
            self.apply(&mut after, step);
            if after != *state {
                successors.push((step, after));
            }
        }
        successors
    }

    fn steps(self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        if state.time_index + 1 < STEP_TIMES_SECONDS.len() {
            steps.push(Step::Advance);
        }
        for (index, entry) in state.entries.iter().enumerate() {
            if entry.pending_level.is_some()
                || entry.last_run < STEP_TIMES_SECONDS[state.time_index]
            {
                steps.push(Step::Run(index));
            }
            if !entry.saw_burst && entry.level > Level::ZERO {
                steps.push(Step::Burst(index));
            }
            let receive = |fact_index| Step::Hear(index, fact_index);
            steps.extend((0..state.facts.len()).map(receive));
            if entry.call.is_some() {
                steps.push(Step::Take(index));
                if state.losses < self.max_losses {
                    steps.push(Step::Lose(index));
                }
            }
            if entry.answer.is_some() {
                steps.push(Step::Answer(index));
                if state.losses < self.max_losses {
                    steps.push(Step::LoseAnswer(index));
                }
            }
            if index == 1 && state.restarts < self.max_restarts {
                steps.push(Step::Restart(index));
            }
            if entry.incarnation > 1 {
                steps.push(Step::Sync(index));
            }
        }
        steps
    }

    fn apply(self, state: &mut State, step: Step) {
        let time = STEP_TIMES_SECONDS[state.time_index];
        match step {
            Step::Advance => state.time_index += 1,
            Step::Run(index) => {
                for second in (state.entries[index].last_run..=time)
                    .step_by(TICK_INTERVAL_SECONDS)
                    .skip(1)
                {
                    self.handle(state, index, Event::Tick, second);
                }
                self.finish_run(state, index, time);
            }
            Step::Burst(index) => self.burst(state, index, time),
            Step::Hear(index, fact_index) => {
                let fact = state.facts[fact_index].clone();
                self.handle(state, index, Event::Received(fact), time);
            }
            Step::Take(index) => self.execute_call(state, index),
            Step::Lose(index) => {
                state.losses += 1;
                state.entries[index].call = None;
            }
            Step::Answer(index) => {
                if let Some(answer) = state.entries[index].answer.take() {
                    self.handle(state, index, Event::Stored(answer), time);
                }
            }
            Step::LoseAnswer(index) => {
                state.losses += 1;
                state.entries[index].answer = None;
            }
            Step::Restart(index) => {
                state.restarts += 1;
                // If the only entry that knows of a veto dies, the others do not know of it until
                // they read the store. A veto that another entry knows must persist.
                let knew_veto =
                    state.entries[1 - index].knew_veto && state.entries[index].knew_veto;
                let entry = self.start_entry(index, 2, time);
                state.entries[index] = Entry { knew_veto, ..entry };
            }
            Step::Sync(index) => {
                for fact in state.entries[1 - index].mover.facts() {
                    self.handle(state, index, Event::Received(fact), time);
                }
                self.handle(state, index, Event::Synced, time);
            }
        }
    }

    fn finish_run(self, state: &mut State, index: usize, time: u64) {
        let entry = &mut state.entries[index];
        entry.last_run = time;
        if let Some(level) = entry.pending_level.take() {
            entry.level = level;
        }
    }

    fn burst(self, state: &mut State, index: usize, time: u64) {
        state.entries[index].saw_burst = true;
        for request_hash in 0..BURST_REQUESTS {
            // The new version receives small hashes first, as soon as it receives any request.
            let entry = &state.entries[index];
            let pick = entry
                .mover
                .pick(&"chat".into(), request_hash, wall_time(time));
            if pick.side == Side::Old {
                return;
            }
            let ending = Ending::Failed;
            self.handle(state, index, Event::Finished { pick, ending }, time);
        }
    }

    fn execute_call(self, state: &mut State, index: usize) {
        let call = state.entries[index].call.take();
        if let Some(Call::Write(record, expect)) = call
            && (expect == state.revision || self.mutation == Mutation::BlindWrites)
        {
            state.revision += 1;
            state.first_outcome = state.first_outcome.take().or(record.outcome.clone());
            state.record = Some(record);
        }
        state.entries[index].answer = Some(Answer::Current {
            revision: state.revision,
            record: state.record.clone(),
        });
    }
}

/// Returns the invariant that the state violates.
fn violated_invariant(state: &State) -> Option<&'static str> {
    let outcome = state.record.as_ref().and_then(|r| r.outcome.as_ref());
    if outcome != state.first_outcome.as_ref() {
        return Some("the recorded outcome never changes");
    }
    if state.reports > 1 {
        return Some("at most one outcome is reported");
    }
    for entry in &state.entries {
        let known = entry.mover.outcome();
        if known.is_some() && known != state.first_outcome.as_ref() {
            return Some("the outcome that an entry knows is the recorded one");
        }
        let expected = match known.map(|outcome| outcome.end) {
            Some(End::Done) => Some(Level::FULL),
            Some(End::Reverted) => Some(Level::ZERO),
            None => entry.knew_veto.then_some(Level::ZERO),
        };
        if known.is_none() && expected.is_some_and(|level| level != entry.level) {
            return Some("a vetoed version gets no new traffic");
        }
        if known.is_some() && expected.is_some_and(|level| level != entry.level) {
            return Some("traffic agrees with the outcome");
        }
    }
    None
}
