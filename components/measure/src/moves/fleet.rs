//! The movers of several entries, joined by facts that arrive late, out of order and twice.

use std::time::{
    Duration,
    SystemTime, //
};

use environment::document::Plan;
use moves::{
    Level,
    Mover,
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
        Pick, //
    }, //
};
use rand::{
    RngExt,
    rngs::StdRng, //
};

use super::traffic::{
    Fate,
    ROUTES, //
};

/// A fact on its way to an entry.
pub struct Letter {
    /// When it arrives, in seconds.
    pub at: f64,
    /// The entry.
    pub to: usize,
    /// What it says.
    pub fact: Fact,
}

/// Movers of all entries and the record in the store.
pub struct Fleet {
    movers: Vec<Mover>,
    replicas: Vec<Option<u32>>,
    record: Option<Box<Record>>,
    revision: u64,
    /// Writes that the store took, and refused.
    pub writes: u32,
    /// Facts that are on their way.
    pub letters: Vec<Letter>,
}

fn wall(now: f64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000) + Duration::from_secs_f64(now)
}

/// The plan that is measured: an hour, and a quarter of an hour of watch time.
pub fn plan() -> Plan {
    Plan {
        name: "up".into(),
        service: "drafting".into(),
        from: "1".into(),
        to: "2".into(),
        routes: Vec::new(),
        start: Some(wall(0.0)),
        by: wall(3600.0),
        watch: Duration::from_secs(900),
    }
}

impl Fleet {
    /// Starts the movers of `entries` entries.
    pub fn new(entries: usize, replicas: u32, rng: &mut StdRng) -> Self {
        let mut fleet = Self {
            movers: Vec::new(),
            replicas: vec![None; entries],
            record: None,
            revision: 0,
            writes: 0,
            letters: Vec::new(),
        };
        let routes: Vec<_> = ROUTES.iter().map(|(name, _)| (*name).into()).collect();
        for entry in 0..entries {
            let source = Source::Entry {
                host: format!("entry-{entry}"),
                incarnation: 1,
            };
            let data_centre = "a".into();
            let owner = Owner {
                source,
                data_centre,
            };
            let start = wall(0.0);
            let (mover, _) = Mover::new(owner, plan(), routes.clone(), Duration::ZERO, start);
            fleet.movers.push(mover);
            let ready = Event::Ready {
                old: replicas,
                new: replicas,
            };
            for event in [Event::Synced, Event::Rank(entry as u32), ready] {
                fleet.on(entry, event, 0.0, rng);
            }
        }
        fleet
    }

    /// Picks a version.
    pub fn pick(&self, entry: usize, route: usize, hash: u64, now: f64) -> Pick {
        self.movers[entry].pick(&ROUTES[route].0.into(), hash, wall(now))
    }

    /// The mean share over the entries.
    pub fn share(&self) -> f64 {
        let sum: f64 = self.movers.iter().map(|mover| mover.level().share()).sum();
        sum / self.movers.len() as f64
    }

    /// Whether every entry has the full share.
    pub fn is_full(&self) -> bool {
        self.movers.iter().all(|mover| mover.level() == Level::FULL)
    }

    /// Load of a replica of the new version against one of the old version with all traffic.
    pub fn load(&self, replicas: u32) -> f64 {
        let used = self.replicas[0].unwrap_or(replicas);
        self.share() * f64::from(replicas) / f64::from(used.max(1))
    }

    /// How the move ended, once every entry knows.
    pub fn end(&self) -> Option<End> {
        let mut end = None;
        for mover in &self.movers {
            end = Some(mover.outcome()?.end);
        }
        end
    }

    /// A first token came.
    pub fn first(&mut self, entry: usize, pick: &Pick, fate: &Fate, now: f64, rng: &mut StdRng) {
        let event = Event::First {
            pick: pick.clone(),
            time: fate.first,
            late: 0.0,
        };
        self.on(entry, event, now, rng);
    }

    /// The time between tokens is known.
    pub fn between(&mut self, entry: usize, pick: &Pick, fate: &Fate, now: f64, rng: &mut StdRng) {
        let event = Event::Between {
            pick: pick.clone(),
            time: fate.between,
            late: 0.0,
        };
        self.on(entry, event, now, rng);
    }

    /// A request ended.
    pub fn finished(&mut self, entry: usize, pick: &Pick, fate: &Fate, now: f64, rng: &mut StdRng) {
        let ending = if fate.fails {
            Ending::Failed
        } else {
            Ending::Completed
        };
        let event = Event::Finished {
            pick: pick.clone(),
            ending,
        };
        self.on(entry, event, now, rng);
    }

    /// A backend server died.
    pub fn died(&mut self, entry: usize, pick: &Pick, run: u64, cause: Cause, now: f64) {
        let mut rng: StdRng = rand::SeedableRng::seed_from_u64(run);
        let death = Death {
            server: format!("server-{run}"),
            incarnation: run,
            side: pick.side,
            slot: pick.slot,
            level: pick.level,
            cause,
        };
        self.on(entry, Event::Died(death), now, &mut rng);
    }

    /// A second passed.
    pub fn tick(&mut self, now: f64, rng: &mut StdRng) {
        for entry in 0..self.movers.len() {
            self.on(entry, Event::Tick, now, rng);
        }
        let (arrived, waiting) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|letter: &Letter| letter.at <= now);
        self.letters = waiting;
        let arrived: Vec<Letter> = arrived;
        for letter in arrived {
            self.on(letter.to, Event::Received(letter.fact), now, rng);
        }
    }

    fn on(&mut self, entry: usize, event: Event, now: f64, rng: &mut StdRng) {
        let at = Duration::from_secs_f64(now);
        let actions = self.movers[entry].handle(event, at, wall(now));
        for action in actions {
            self.act(entry, action, now, rng);
        }
    }

    fn act(&mut self, entry: usize, action: Action, now: f64, rng: &mut StdRng) {
        match action {
            Action::Publish(fact) => self.publish(entry, &fact, now, rng),
            Action::Write { record, expect } => {
                self.writes += 1;
                if expect == self.revision {
                    self.revision += 1;
                    self.record = Some(record);
                }
                let answer = Answer::Current {
                    revision: self.revision,
                    record: self.record.clone(),
                };
                self.on(entry, Event::Stored(answer), now, rng);
            }
            Action::Read => {
                let answer = Answer::Current {
                    revision: self.revision,
                    record: self.record.clone(),
                };
                self.on(entry, Event::Stored(answer), now, rng);
            }
            Action::Concentrate(replicas) => self.replicas[entry] = replicas,
            Action::Share(_) | Action::KeepWarm(_) | Action::Notice(_) => {}
        }
    }

    fn publish(&mut self, from: usize, fact: &Fact, now: f64, rng: &mut StdRng) {
        for to in 0..self.movers.len() {
            if to == from {
                continue;
            }
            let copies = 1 + usize::from(rng.random::<f64>() < 0.05);
            for _ in 0..copies {
                let at = now + 0.2 + 1.8 * rng.random::<f64>();
                let fact = fact.clone();
                self.letters.push(Letter { at, to, fact });
            }
        }
    }
}
