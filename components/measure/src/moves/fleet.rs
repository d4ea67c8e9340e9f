//! Movers of several entries, which exchange facts that arrive late, out of order and more than
//! once.

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
    ROUTES,
    RequestResult, //
};

/// A fact in transit to an entry.
pub struct Message {
    /// Time of arrival, in seconds of virtual time.
    pub at: f64,
    /// Index of the receiving entry.
    pub to: usize,
    /// Fact that the message carries.
    pub fact: Fact,
}

/// Movers of all entries, and the record in the store.
pub struct Fleet {
    movers: Vec<Mover>,
    replicas: Vec<Option<u32>>,
    record: Option<Box<Record>>,
    revision: u64,
    /// Number of writes to the store, accepted or refused.
    pub writes: u32,
    /// Facts that have not arrived yet.
    pub in_transit: Vec<Message>,
}

/// Converts virtual time in seconds to wall-clock time.
fn wall_time(now: f64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000) + Duration::from_secs_f64(now)
}

/// Returns the measured plan: a move within an hour, then a quarter of an hour of watching.
pub fn plan() -> Plan {
    Plan {
        name: "up".into(),
        service: "drafting".into(),
        from: "1".into(),
        to: "2".into(),
        routes: Vec::new(),
        start: Some(wall_time(0.0)),
        by: wall_time(3600.0),
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
            in_transit: Vec::new(),
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
            let start = wall_time(0.0);
            let (mover, _) = Mover::new(owner, plan(), routes.clone(), Duration::ZERO, start);
            fleet.movers.push(mover);
            let ready = Event::Ready {
                old: replicas,
                new: replicas,
            };
            for event in [Event::Synced, Event::Rank(entry as u32), ready] {
                fleet.handle(entry, event, 0.0, rng);
            }
        }
        fleet
    }

    /// Picks the version for a request.
    pub fn pick(&self, entry: usize, route: usize, hash: u64, now: f64) -> Pick {
        self.movers[entry].pick(&ROUTES[route].0.into(), hash, wall_time(now))
    }

    /// Returns the new version's mean share of the traffic over the entries.
    pub fn share(&self) -> f64 {
        let sum: f64 = self.movers.iter().map(|mover| mover.level().share()).sum();
        sum / self.movers.len() as f64
    }

    /// Whether every entry sends all traffic to the new version.
    pub fn is_full(&self) -> bool {
        self.movers.iter().all(|mover| mover.level() == Level::FULL)
    }

    /// Returns the load of a replica of the new version, relative to one of the old version with
    /// all traffic.
    pub fn load(&self, replicas: u32) -> f64 {
        let used = self.replicas[0].unwrap_or(replicas);
        self.share() * f64::from(replicas) / f64::from(used.max(1))
    }

    /// Returns the end of the move once every entry has recorded it.
    pub fn end(&self) -> Option<End> {
        let mut end = None;
        for mover in &self.movers {
            end = Some(mover.outcome()?.end);
        }
        end
    }

    /// Reports the first token of a request.
    pub fn first(
        &mut self,
        entry: usize,
        pick: &Pick,
        result: &RequestResult,
        now: f64,
        rng: &mut StdRng,
    ) {
        let event = Event::First {
            pick: pick.clone(),
            time: result.first,
            late: 0.0,
        };
        self.handle(entry, event, now, rng);
    }

    /// Reports the time between tokens of a request.
    pub fn between(
        &mut self,
        entry: usize,
        pick: &Pick,
        result: &RequestResult,
        now: f64,
        rng: &mut StdRng,
    ) {
        let event = Event::Between {
            pick: pick.clone(),
            time: result.between,
            late: 0.0,
        };
        self.handle(entry, event, now, rng);
    }

    /// Reports a finished request.
    pub fn finished(
        &mut self,
        entry: usize,
        pick: &Pick,
        result: &RequestResult,
        now: f64,
        rng: &mut StdRng,
    ) {
        let ending = if result.fails {
            Ending::Failed
        } else {
            Ending::Completed
        };
        let event = Event::Finished {
            pick: pick.clone(),
            ending,
        };
        self.handle(entry, event, now, rng);
    }

    /// Reports the death of a backend server.
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
        self.handle(entry, Event::Died(death), now, &mut rng);
    }

    /// Ticks all movers and delivers the facts that are due; called every second of virtual time.
    pub fn tick(&mut self, now: f64, rng: &mut StdRng) {
        for entry in 0..self.movers.len() {
            self.handle(entry, Event::Tick, now, rng);
        }
        let (arrived, waiting) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|message: &Message| message.at <= now);
        self.in_transit = waiting;
        let arrived: Vec<Message> = arrived;
        for message in arrived {
            self.handle(message.to, Event::Received(message.fact), now, rng);
        }
    }

    fn handle(&mut self, entry: usize, event: Event, now: f64, rng: &mut StdRng) {
        let at = Duration::from_secs_f64(now);
        let actions = self.movers[entry].handle(event, at, wall_time(now));
        for action in actions {
            self.apply(entry, action, now, rng);
        }
    }

    fn apply(&mut self, entry: usize, action: Action, now: f64, rng: &mut StdRng) {
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
                self.handle(entry, Event::Stored(answer), now, rng);
            }
            Action::Read => {
                let answer = Answer::Current {
                    revision: self.revision,
                    record: self.record.clone(),
                };
                self.handle(entry, Event::Stored(answer), now, rng);
            }
            Action::Concentrate(replicas) => self.replicas[entry] = replicas,
            Action::Share(_) | Action::KeepWarm(_) | Action::Notice(_) => {}
        }
    }

    /// Sends a fact to all other entries. It arrives after 0.2 to 2 s, and twice in 5 of 100 cases.
    fn publish(&mut self, from: usize, fact: &Fact, now: f64, rng: &mut StdRng) {
        for to in 0..self.movers.len() {
            if to == from {
                continue;
            }
            let copies = 1 + usize::from(rng.random::<f64>() < 0.05);
            for _ in 0..copies {
                let at = now + 0.2 + 1.8 * rng.random::<f64>();
                let fact = fact.clone();
                self.in_transit.push(Message { at, to, fact });
            }
        }
    }
}
