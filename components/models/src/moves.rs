//! Two entries' movers, their gossip and the store's record of one move.
//!
//! An entry may stand still for as long as it likes, hear facts late or never, and be restarted
//! without its memory. Writes to the store and its answers may be lost; an outage is a store whose
//! every call is lost. Evidence is drawn in its coarsest form: an entry sees the new version fail
//! forty requests.

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

/// Entries of the specification.
const ENTRIES: usize = 2;

/// Seconds after the begin: halfway, where the search starts, and past the watch time.
const TIMES: [u64; 2] = [30, 150];

/// Seconds between an entry's ticks: longer than in a daemon, for the search's sake.
const PACE: usize = 6;

/// Failing requests that an entry sees at once.
const BURST: u64 = 40;

/// Ways to build the system wrongly. Each must be caught.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// As it is built.
    Right,
    /// The driver hands a new share to its pick a step late.
    LateShare,
    /// The store writes without looking at the revision.
    BlindWrites,
    /// A restarted entry begins before it has read the store or heard a peer.
    HastyRestart,
    /// An entry reports the outcome when it sends the write.
    ReportOnWrite,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time goes on for all.
    Advance,
    /// An entry runs as it should since it last ran.
    Run(usize),
    /// An entry sees the new version fail.
    Burst(usize),
    /// An entry hears a veto or an outcome.
    Hear(usize, usize),
    /// The store takes an entry's call.
    Take(usize),
    /// An entry's call is lost.
    Lose(usize),
    /// The store's answer arrives.
    Answer(usize),
    /// The store's answer is lost.
    LoseAnswer(usize),
    /// An entry is restarted.
    Restart(usize),
    /// A restarted entry has heard all that its peer knows.
    Sync(usize),
}

/// An entry's call of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Read,
    Write(Box<Record>, u64),
}

/// One entry as the specification sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    mover: Mover,
    /// The share that new requests are picked by.
    level: Level,
    /// A share that the driver hasn't taken over yet.
    coming: Option<Level>,
    ran: u64,
    call: Option<Call>,
    answer: Option<Answer>,
    burst: bool,
    /// This host knew of a veto, in this run or in an earlier one that wasn't alone in that.
    warned: bool,
    incarnation: u64,
}

/// The whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    entries: Vec<Entry>,
    facts: Vec<Fact>,
    record: Option<Box<Record>>,
    revision: u64,
    first: Option<Outcome>,
    time: usize,
    losses: u8,
    restarts: u8,
    reports: u8,
}

/// A specification of the system in one variant.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// The variant.
    pub variant: Variant,
    /// Calls of the store or answers that may be lost.
    pub losses: u8,
    /// Restarts of the second entry.
    pub restarts: u8,
}

fn wall(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

fn plan() -> Plan {
    Plan {
        name: "up".into(),
        service: "drafting".into(),
        from: "1".into(),
        to: "2".into(),
        routes: Vec::new(),
        start: Some(wall(0)),
        by: wall(60),
        watch: Duration::from_secs(60),
    }
}

impl Model {
    /// Searches all states.
    pub fn search(self) -> search::Outcome<Step> {
        search::search(self.first(), |state| self.next(state), broken)
    }

    fn first(self) -> State {
        let mut state = State {
            entries: Vec::new(),
            facts: Vec::new(),
            record: None,
            revision: 0,
            first: None,
            time: 0,
            losses: 0,
            restarts: 0,
            reports: 0,
        };
        for index in 0..ENTRIES {
            let entry = self.start(index, 1, 0);
            state.entries.push(entry);
            // The search starts halfway: the begin is recorded and traffic has begun to move.
            state.entries[index].call = None;
            self.on(&mut state, index, Event::Synced, 0);
            self.take(&mut state, Step::Run(index));
            while state.entries[index].call.is_some() {
                self.take(&mut state, Step::Take(index));
                self.take(&mut state, Step::Answer(index));
            }
        }
        state
    }

    fn start(self, index: usize, incarnation: u64, time: u64) -> Entry {
        let owner = Owner {
            source: Source::Entry {
                host: format!("entry-{index}"),
                incarnation,
            },
            data_centre: "a".into(),
        };
        let at = Duration::from_secs(time);
        let (mut mover, _) = Mover::new(owner, plan(), vec!["chat".into()], at, wall(time));
        mover.handle(Event::Rank(index as u32), at, wall(time));
        mover.handle(Event::Ready { old: 2, new: 2 }, at, wall(time));
        if self.variant == Variant::HastyRestart {
            mover.handle(Event::Synced, at, wall(time));
        }
        Entry {
            level: mover.level(),
            mover,
            coming: None,
            ran: time,
            call: Some(Call::Read),
            answer: None,
            burst: false,
            warned: false,
            incarnation,
        }
    }

    fn on(self, state: &mut State, index: usize, event: Event, time: u64) {
        let at = Duration::from_secs(time);
        let actions = state.entries[index].mover.handle(event, at, wall(time));
        for action in actions {
            self.act(state, index, action);
        }
        let entry = &mut state.entries[index];
        entry.warned |= entry.mover.veto().is_some();
    }

    fn act(self, state: &mut State, index: usize, action: Action) {
        let entry = &mut state.entries[index];
        match action {
            Action::Share(level) if self.variant == Variant::LateShare => {
                entry.coming = Some(level);
            }
            Action::Share(level) => entry.level = level,
            Action::Publish(fact @ (Fact::Veto(_) | Fact::Outcome(_)))
                if !state.facts.contains(&fact) =>
            {
                state.facts.push(fact);
            }
            Action::Read => entry.call = Some(Call::Read),
            Action::Write { record, expect } => {
                let ends = record.outcome.is_some();
                if self.variant == Variant::ReportOnWrite && ends {
                    state.reports += 1;
                }
                entry.call = Some(Call::Write(record, expect));
            }
            Action::Notice(Notice::Reported(_)) if self.variant != Variant::ReportOnWrite => {
                state.reports += 1;
            }
            _ => {}
        }
    }

    fn next(self, state: &State) -> Vec<(Step, State)> {
        let mut following = Vec::new();
        for step in self.steps(state) {
            let mut after = state.clone();
            self.take(&mut after, step);
            if after != *state {
                following.push((step, after));
            }
        }
        following
    }

    fn steps(self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        if state.time + 1 < TIMES.len() {
            steps.push(Step::Advance);
        }
        for (index, entry) in state.entries.iter().enumerate() {
            if entry.coming.is_some() || entry.ran < TIMES[state.time] {
                steps.push(Step::Run(index));
            }
            if !entry.burst && entry.level > Level::ZERO {
                steps.push(Step::Burst(index));
            }
            let hears = |number| Step::Hear(index, number);
            steps.extend((0..state.facts.len()).map(hears));
            if entry.call.is_some() {
                steps.push(Step::Take(index));
                if state.losses < self.losses {
                    steps.push(Step::Lose(index));
                }
            }
            if entry.answer.is_some() {
                steps.push(Step::Answer(index));
                if state.losses < self.losses {
                    steps.push(Step::LoseAnswer(index));
                }
            }
            if index == 1 && state.restarts < self.restarts {
                steps.push(Step::Restart(index));
            }
            if entry.incarnation > 1 {
                steps.push(Step::Sync(index));
            }
        }
        steps
    }

    fn take(self, state: &mut State, step: Step) {
        let time = TIMES[state.time];
        match step {
            Step::Advance => state.time += 1,
            Step::Run(index) => {
                for second in (state.entries[index].ran..=time).step_by(PACE).skip(1) {
                    self.on(state, index, Event::Tick, second);
                }
                self.settle(state, index, time);
            }
            Step::Burst(index) => self.burst(state, index, time),
            Step::Hear(index, number) => {
                let fact = state.facts[number].clone();
                self.on(state, index, Event::Received(fact), time);
            }
            Step::Take(index) => self.serve(state, index),
            Step::Lose(index) => {
                state.losses += 1;
                state.entries[index].call = None;
            }
            Step::Answer(index) => {
                if let Some(answer) = state.entries[index].answer.take() {
                    self.on(state, index, Event::Stored(answer), time);
                }
            }
            Step::LoseAnswer(index) => {
                state.losses += 1;
                state.entries[index].answer = None;
            }
            Step::Restart(index) => {
                state.restarts += 1;
                // A veto that died with the only entry that knew of it is gone for the others,
                // until they read the store. One that another entry knows must hold.
                let warned = state.entries[1 - index].warned && state.entries[index].warned;
                let entry = self.start(index, 2, time);
                state.entries[index] = Entry { warned, ..entry };
            }
            Step::Sync(index) => {
                for fact in state.entries[1 - index].mover.facts() {
                    self.on(state, index, Event::Received(fact), time);
                }
                self.on(state, index, Event::Synced, time);
            }
        }
    }

    fn settle(self, state: &mut State, index: usize, time: u64) {
        let entry = &mut state.entries[index];
        entry.ran = time;
        if let Some(level) = entry.coming.take() {
            entry.level = level;
        }
    }

    fn burst(self, state: &mut State, index: usize, time: u64) {
        state.entries[index].burst = true;
        for number in 0..BURST {
            // Small hashes fall to the new version as soon as any request does.
            let entry = &state.entries[index];
            let pick = entry.mover.pick(&"chat".into(), number, wall(time));
            if pick.side == Side::Old {
                return;
            }
            let ending = Ending::Failed;
            self.on(state, index, Event::Finished { pick, ending }, time);
        }
    }

    fn serve(self, state: &mut State, index: usize) {
        let call = state.entries[index].call.take();
        if let Some(Call::Write(record, expect)) = call
            && (expect == state.revision || self.variant == Variant::BlindWrites)
        {
            state.revision += 1;
            state.first = state.first.take().or(record.outcome.clone());
            state.record = Some(record);
        }
        state.entries[index].answer = Some(Answer::Current {
            revision: state.revision,
            record: state.record.clone(),
        });
    }
}

/// The invariant that a state breaks.
fn broken(state: &State) -> Option<&'static str> {
    let outcome = state.record.as_ref().and_then(|r| r.outcome.as_ref());
    if outcome != state.first.as_ref() {
        return Some("the recorded outcome never changes");
    }
    if state.reports > 1 {
        return Some("at most one outcome is reported");
    }
    for entry in &state.entries {
        let known = entry.mover.outcome();
        if known.is_some() && known != state.first.as_ref() {
            return Some("the outcome that an entry knows is the recorded one");
        }
        let wanted = match known.map(|outcome| outcome.end) {
            Some(End::Done) => Some(Level::FULL),
            Some(End::Reverted) => Some(Level::ZERO),
            None => entry.warned.then_some(Level::ZERO),
        };
        if known.is_none() && wanted.is_some_and(|level| level != entry.level) {
            return Some("a vetoed version gets no new traffic");
        }
        if known.is_some() && wanted.is_some_and(|level| level != entry.level) {
            return Some("traffic agrees with the outcome");
        }
    }
    None
}
