//! Movers of a few entries under a clock of the test's, with a store that can fail.

#![allow(dead_code)]

use std::time::{
    Duration,
    SystemTime, //
};

use environment::document::Plan;
use moves::{
    Level,
    Mover,
    Side,
    evidence::{
        Cause,
        Death,
        Source, //
    },
    mover::Owner,
    outcome::{
        End,
        Record, //
    },
    step::{
        Action,
        Answer,
        Ending,
        Event,
        Fact,
        Notice,
        Pick, //
    }, //
};

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    Up,
    Out,
    /// Writes take effect and their answers are lost.
    LosesAnswers,
}

pub struct Bench {
    pub movers: Vec<Mover>,
    pub notices: Vec<(usize, Notice)>,
    pub record: Option<Box<Record>>,
    pub revision: u64,
    pub writes: u32,
    pub store: Store,
    /// Entries that hear nobody and are heard by nobody.
    pub cut_off: Vec<usize>,
    pub now: u64,
    /// Part of the time by which the entries run late.
    pub late: f64,
    facts: Vec<(usize, Fact)>,
    sent: u64,
}

pub const ROUTES: [&str; 2] = ["chat", "letters"];

pub fn wall(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000 + seconds)
}

/// A move of an hour with a quarter of an hour of watch time.
pub fn plan() -> Plan {
    Plan {
        name: "up".into(),
        service: "drafting".into(),
        from: "1".into(),
        to: "2".into(),
        routes: Vec::new(),
        start: None,
        by: wall(3600),
        watch: Duration::from_secs(900),
    }
}

pub fn routes() -> Vec<String> {
    ROUTES.map(String::from).to_vec()
}

pub fn source(entry: usize) -> Source {
    Source::Entry {
        host: format!("entry-{entry}"),
        incarnation: 1,
    }
}

impl Bench {
    pub fn new(entries: usize) -> Self {
        let mut bench = Self {
            movers: Vec::new(),
            notices: Vec::new(),
            record: None,
            revision: 0,
            writes: 0,
            store: Store::Up,
            cut_off: Vec::new(),
            now: 0,
            late: 0.0,
            facts: Vec::new(),
            sent: 0,
        };
        for entry in 0..entries {
            bench.start(entry);
            bench.on(entry, Event::Synced);
        }
        bench
    }

    /// Starts an entry, or starts it again without its memory.
    pub fn start(&mut self, entry: usize) {
        let owner = Owner {
            source: source(entry),
            data_centre: "a".into(),
        };
        let at = Duration::from_secs(self.now);
        let (mover, actions) = Mover::new(owner, plan(), routes(), at, wall(self.now));
        if entry < self.movers.len() {
            self.movers[entry] = mover;
        } else {
            self.movers.push(mover);
        }
        for action in actions {
            self.act(entry, action);
        }
        self.on(entry, Event::Rank(entry as u32));
        self.on(entry, Event::Ready { old: 25, new: 25 });
    }

    pub fn on(&mut self, entry: usize, event: Event) {
        let at = Duration::from_secs(self.now);
        for action in self.movers[entry].handle(event, at, wall(self.now)) {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: Action) {
        match action {
            Action::Publish(fact) => self.facts.push((entry, fact)),
            Action::Notice(notice) => self.notices.push((entry, notice)),
            Action::Read if self.store != Store::Out => self.answer(entry),
            Action::Write { record, expect } if self.store != Store::Out => {
                self.writes += 1;
                if expect == self.revision {
                    self.revision += 1;
                    self.record = Some(record);
                }
                if self.store == Store::Up {
                    self.answer(entry);
                }
            }
            Action::Read | Action::Write { .. } => {
                self.on(entry, Event::Stored(Answer::Failed));
            }
            _ => {}
        }
    }

    fn answer(&mut self, entry: usize) {
        let answer = Answer::Current {
            revision: self.revision,
            record: self.record.clone(),
        };
        self.on(entry, Event::Stored(answer));
    }

    /// Lets a second pass at every entry; facts arrive a second late, twice, the last first.
    pub fn second(&mut self) {
        self.now += 1;
        let mut facts = std::mem::take(&mut self.facts);
        facts.reverse();
        for (from, fact) in facts {
            for to in 0..self.movers.len() {
                if to == from || self.cut_off.contains(&from) || self.cut_off.contains(&to) {
                    continue;
                }
                self.on(to, Event::Received(fact.clone()));
                self.on(to, Event::Received(fact.clone()));
            }
        }
        for entry in 0..self.movers.len() {
            self.on(entry, Event::Tick);
        }
    }

    /// Hands all that one entry knows to another.
    pub fn sync(&mut self, from: usize, to: usize) {
        for fact in self.movers[from].facts() {
            self.on(to, Event::Received(fact));
        }
        self.on(to, Event::Synced);
    }

    /// The next request of an entry, with a hash that is spread evenly.
    pub fn pick(&mut self, entry: usize) -> Pick {
        self.sent += 1;
        let hash = self.sent.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let route = ROUTES[(self.sent / 7 % 2) as usize].into();
        self.movers[entry].pick(&route, hash, wall(self.now))
    }

    /// Sends `rate` requests a second for some time. `fate` says what becomes of each, from its
    /// pick, its number and the time.
    pub fn run(&mut self, seconds: u64, rate: u64, fate: impl Fn(&Pick, u64, u64) -> Fate) {
        for _ in 0..seconds {
            for number in 0..rate {
                let entry = (number as usize) % self.movers.len();
                let pick = self.pick(entry);
                let fate = fate(&pick, self.sent, self.now);
                self.request(entry, &pick, fate);
            }
            self.second();
        }
    }

    pub fn request(&mut self, entry: usize, pick: &Pick, fate: Fate) {
        let (first, between) = match fate {
            Fate::Fine | Fate::Failed => (800, 40),
            Fate::LateFirst => (9000, 40),
            Fate::LateBetween => (800, 400),
            Fate::Slower => (800, 60),
        };
        let ending = match fate {
            Fate::Failed => Ending::Failed,
            _ => Ending::Completed,
        };
        let pick = pick.clone();
        let time = Duration::from_millis(first);
        self.on(
            entry,
            Event::First {
                pick: pick.clone(),
                time,
                late: self.late,
            },
        );
        let time = Duration::from_millis(between);
        self.on(
            entry,
            Event::Between {
                pick: pick.clone(),
                time,
                late: self.late,
            },
        );
        self.on(entry, Event::Finished { pick, ending });
    }

    pub fn death(&mut self, entry: usize, run: u64, side: Side, cause: Cause) {
        let pick = self.pick(entry);
        let death = Death {
            server: format!("server-{run}"),
            incarnation: run,
            side,
            slot: pick.slot,
            level: pick.level,
            cause,
        };
        self.on(entry, Event::Died(death));
    }

    pub fn level(&self) -> Level {
        self.movers[0].level()
    }

    pub fn end(&self) -> Option<End> {
        let outcome = self.record.as_ref()?.outcome.as_ref()?;
        Some(outcome.end)
    }

    pub fn reports(&self) -> usize {
        let reported = |notice: &Notice| matches!(notice, Notice::Reported(_));
        let notices = self.notices.iter();
        notices.filter(|(_, notice)| reported(notice)).count()
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Fine,
    Failed,
    LateFirst,
    LateBetween,
    /// Half as long again between tokens as usual.
    Slower,
}
