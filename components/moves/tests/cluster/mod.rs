//! Movers of a few entries under a simulated clock, with a store that can fail.

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

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    Up,
    Down,
    /// Writes take effect, but their answers are lost.
    LosesAnswers,
}

pub struct Cluster {
    pub movers: Vec<Mover>,
    pub notices: Vec<(usize, Notice)>,
    pub record: Option<Box<Record>>,
    pub revision: u64,
    pub writes: u32,
    pub store: Store,
    /// Entries without communication in either direction.
    pub partitioned: Vec<usize>,
    pub now: u64,
    /// Delay of the entries as a fraction of the measured time.
    pub late: f64,
    facts: Vec<(usize, Fact)>,
    sent: u64,
}

pub const ROUTES: [&str; 2] = ["chat", "letters"];

pub fn wall(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000 + seconds)
}

/// A move of an hour with a watch time of a quarter of an hour.
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

impl Cluster {
    pub fn new(entries: usize) -> Self {
        let mut cluster = Self {
            movers: Vec::new(),
            notices: Vec::new(),
            record: None,
            revision: 0,
            writes: 0,
            store: Store::Up,
            partitioned: Vec::new(),
            now: 0,
            late: 0.0,
            facts: Vec::new(),
            sent: 0,
        };
        for entry in 0..entries {
            cluster.start(entry);
            cluster.handle(entry, Event::Synced);
        }
        cluster
    }

    /// Starts an entry, or restarts it without its memory.
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
            self.carry_out(entry, action);
        }
        self.handle(entry, Event::Rank(entry as u32));
        self.handle(entry, Event::Ready { old: 25, new: 25 });
    }

    pub fn handle(&mut self, entry: usize, event: Event) {
        let at = Duration::from_secs(self.now);
        for action in self.movers[entry].handle(event, at, wall(self.now)) {
            self.carry_out(entry, action);
        }
    }

    fn carry_out(&mut self, entry: usize, action: Action) {
        match action {
            Action::Publish(fact) => self.facts.push((entry, fact)),
            Action::Notice(notice) => self.notices.push((entry, notice)),
            Action::Read if self.store != Store::Down => self.respond(entry),
            Action::Write { record, expect } if self.store != Store::Down => {
                self.writes += 1;
                if expect == self.revision {
                    self.revision += 1;
                    self.record = Some(record);
                }
                if self.store == Store::Up {
                    self.respond(entry);
                }
            }
            Action::Read | Action::Write { .. } => {
                self.handle(entry, Event::Stored(Answer::Failed));
            }
            _ => {}
        }
    }

    fn respond(&mut self, entry: usize) {
        let answer = Answer::Current {
            revision: self.revision,
            record: self.record.clone(),
        };
        self.handle(entry, Event::Stored(answer));
    }

    /// Advances every entry by a second. Facts arrive a second late, twice, in reverse order.
    pub fn advance(&mut self) {
        self.now += 1;
        let mut facts = std::mem::take(&mut self.facts);
        facts.reverse();
        for (from, fact) in facts {
            for to in 0..self.movers.len() {
                if to == from || self.partitioned.contains(&from) || self.partitioned.contains(&to)
                {
                    continue;
                }
                self.handle(to, Event::Received(fact.clone()));
                self.handle(to, Event::Received(fact.clone()));
            }
        }
        for entry in 0..self.movers.len() {
            self.handle(entry, Event::Tick);
        }
    }

    /// Sends all facts of one entry to another.
    pub fn sync(&mut self, from: usize, to: usize) {
        for fact in self.movers[from].facts() {
            self.handle(to, Event::Received(fact));
        }
        self.handle(to, Event::Synced);
    }

    /// Picks the version for the next request of an entry, with a uniformly distributed hash.
    pub fn pick(&mut self, entry: usize) -> Pick {
        self.sent += 1;
        let hash = self.sent.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let route = ROUTES[(self.sent / 7 % 2) as usize].into();
        self.movers[entry].pick(&route, hash, wall(self.now))
    }

    /// Sends `rate` requests per second. `fate` returns the result of each from its pick, its
    /// number and the time.
    pub fn run(&mut self, seconds: u64, rate: u64, fate: impl Fn(&Pick, u64, u64) -> Fate) {
        for _ in 0..seconds {
            for number in 0..rate {
                let entry = (number as usize) % self.movers.len();
                let pick = self.pick(entry);
                let fate = fate(&pick, self.sent, self.now);
                self.request(entry, &pick, fate);
            }
            self.advance();
        }
    }

    pub fn request(&mut self, entry: usize, pick: &Pick, fate: Fate) {
        let (first, between) = match fate {
            Fate::Succeeds | Fate::Failed => (800, 40),
            Fate::LateFirst => (9000, 40),
            Fate::LateBetween => (800, 400),
            Fate::SlowerByHalf => (800, 60),
        };
        let ending = match fate {
            Fate::Failed => Ending::Failed,
            _ => Ending::Completed,
        };
        let pick = pick.clone();
        let time = Duration::from_millis(first);
        self.handle(
            entry,
            Event::First {
                pick: pick.clone(),
                time,
                late: self.late,
            },
        );
        let time = Duration::from_millis(between);
        self.handle(
            entry,
            Event::Between {
                pick: pick.clone(),
                time,
                late: self.late,
            },
        );
        self.handle(entry, Event::Finished { pick, ending });
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
        self.handle(entry, Event::Died(death));
    }

    pub fn level(&self) -> Level {
        self.movers[0].level()
    }

    pub fn end(&self) -> Option<End> {
        let outcome = self.record.as_ref()?.outcome.as_ref()?;
        Some(outcome.end)
    }

    pub fn reported_outcomes(&self) -> usize {
        let reported = |notice: &Notice| matches!(notice, Notice::Reported(_));
        let notices = self.notices.iter();
        notices.filter(|(_, notice)| reported(notice)).count()
    }
}

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Succeeds,
    Failed,
    LateFirst,
    LateBetween,
    /// Time between tokens is half as long again as usual.
    SlowerByHalf,
}
