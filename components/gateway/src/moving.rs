//! Traffic that moves from one version of a service to another, as an operator ordered it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    time::Duration, //
};

use events::{
    brief as event,
    note, //
};
use moves::{
    Side,
    brief::{
        Brief,
        Exposure,
        Limit,
        Order,
        State, //
    },
    times::Histogram, //
};
use names::{
    Clock,
    Revision,
    Route,
    Service,
    Version, //
};
use routing::placement::Versions;
use spread::beacon::{
    self,
    Beacon, //
};

use crate::clock;

/// Time after the start before a new version gets samples: until then it isn't known how many
/// entries share the bound on them.
const SETTLE: Duration = Duration::from_secs(2);

/// Times of a route that must be known before one counts as slow.
const ENOUGH: u64 = 12;

/// Times after which a route's are counted anew, as what is usual changes over a day.
const MOST: u64 = 2048;

/// Multiple of a route's median above which an answer counts as slow. A slow version takes several
/// times as long; the old version's own slow answers are what it is compared with.
const SLOW: f64 = 2.5;

/// Moves that are under way, and those that were.
#[derive(Default)]
pub struct Moving {
    briefs: RefCell<HashMap<Service, Brief>>,
    /// Times to the first event, or of a plain answer, by route.
    usual: RefCell<HashMap<Route, Histogram>>,
    /// This entry's place among all, and their number.
    place: Cell<usize>,
    entries: Cell<usize>,
    started: Cell<Option<Clock>>,
}

/// The versions that a request may go to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pick {
    limit: Option<(Limit, Version)>,
}

impl Pick {
    /// The versions, for a placement.
    pub fn versions(&self) -> Versions<'_> {
        match &self.limit {
            None | Some((Limit::Any, _)) => Versions::Any,
            Some((Limit::Only, version)) => Versions::Only(version),
            Some((Limit::Not, version)) => Versions::Not(version),
        }
    }
}

/// A state that should stand in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The service.
    pub service: Service,
    /// The order that it belongs to.
    pub order: Order,
    /// The state.
    pub state: State,
}

impl Moving {
    /// Takes an operator's order for a service; none when it was withdrawn.
    pub fn order(&self, service: &Service, order: Option<Order>, exposure: Exposure) {
        let mut briefs = self.briefs.borrow_mut();
        let known = briefs.get(service).map(|brief| brief.order().clone());
        if known == order {
            return;
        }
        let Some(order) = order else {
            briefs.remove(service);
            note!(event::WITHDRAWN, service = service.as_str());
            return;
        };
        note!(
            event::ORDERED,
            service = service.as_str(),
            version = order.to.as_str(),
            revision = order.revision,
            within_ms = order.within.as_millis() as u64
        );
        briefs.insert(service.clone(), Brief::new(order, exposure, clock::now()));
    }

    /// Takes the state that stands in the store, written at a revision.
    pub fn stands(&self, service: &Service, at: Revision, to: &Version, state: State) {
        let mut briefs = self.briefs.borrow_mut();
        let Some(brief) = briefs.get_mut(service) else {
            return;
        };
        // What was written before the order belongs to another one.
        if at < brief.order().revision || brief.order().to != *to {
            return;
        }
        if !brief.stands(state) {
            return;
        }
        note!(
            event::STANDS,
            service = service.as_str(),
            version = to.as_str(),
            state = name(state),
            against = brief.against(),
            sampled = brief.sampled()
        );
    }

    /// Picks the versions for a new request, and counts it.
    pub fn pick(&self, service: &Service, route: &Route) -> Pick {
        let now = clock::now();
        let mut briefs = self.briefs.borrow_mut();
        let Some(brief) = briefs.get_mut(service) else {
            return Pick::default();
        };
        let started = self.started.get().unwrap_or(now);
        let limit = match brief.state(now) {
            State::Running if now.saturating_sub(started) < SETTLE => Limit::Not,
            _ => {
                brief.stand(self.entries.get());
                let draw = rand::random();
                brief.pick(now, beacon::id(route), draw)
            }
        };
        Pick {
            limit: Some((limit, brief.order().to.clone())),
        }
    }

    /// The versions for a request that goes on after a loss.
    pub fn limit(&self, service: &Service) -> Pick {
        let briefs = self.briefs.borrow();
        let limit = briefs.get(service).map(|brief| {
            let limit = brief.limit(clock::now());
            (limit, brief.order().to.clone())
        });
        Pick { limit }
    }

    /// Notes what a version did with a request: the time to its first event or of its answer, or
    /// none when it failed.
    pub fn ended(
        &self,
        service: &Service,
        route: &Route,
        version: &Version,
        time: Option<Duration>,
    ) {
        let slow = time.is_some_and(|time| self.slow(route, time));
        let mut briefs = self.briefs.borrow_mut();
        let Some(brief) = briefs.get_mut(service) else {
            self.learn(route, time);
            return;
        };
        let side = match *version == brief.order().to {
            true => Side::New,
            false => Side::Old,
        };
        if side == Side::Old {
            self.learn(route, time);
        }
        let before = brief.vetoed();
        let bad = slow || time.is_none();
        brief.ended(clock::now(), beacon::id(route), side, bad);
        if brief.vetoed() && !before {
            vetoed(service, brief);
        }
    }

    fn slow(&self, route: &Route, time: Duration) -> bool {
        let usual = self.usual.borrow();
        let Some(times) = usual.get(route).filter(|times| times.count() >= ENOUGH) else {
            return false;
        };
        let median = times.quantile(0.5).unwrap_or(Duration::MAX);
        time.as_secs_f64() > median.as_secs_f64() * SLOW
    }

    fn learn(&self, route: &Route, time: Option<Duration>) {
        let Some(time) = time else {
            return;
        };
        let mut usual = self.usual.borrow_mut();
        let times = usual.entry(route.clone()).or_default();
        if times.count() >= MOST {
            *times = Histogram::default();
        }
        times.record(time);
    }

    /// The states that should be written into the store.
    pub fn due(&self) -> Vec<Report> {
        let now = clock::now();
        let briefs = self.briefs.borrow();
        let due = briefs.iter().filter_map(|(service, brief)| {
            let state = brief.due(now)?;
            Some(Report {
                service: service.clone(),
                order: brief.order().clone(),
                state,
            })
        });
        due.collect()
    }
}

// What peers tell one another.
impl Moving {
    /// What is known of each move, for a beacon.
    pub fn tell(&self, beacon: &mut Beacon) {
        let now = clock::now();
        for (service, brief) in self.briefs.borrow().iter() {
            if brief.state(now) == State::Running || brief.due(now).is_some() || brief.vetoed() {
                let number = beacon::id(service);
                beacon.moves.push((number, brief.tell(now)));
            }
        }
    }

    /// Takes what a peer tells.
    pub fn hear(&self, beacon: &Beacon) {
        let now = clock::now();
        let mut briefs = self.briefs.borrow_mut();
        for (number, tale) in &beacon.moves {
            let mut found = briefs.iter_mut();
            let found = found.find(|(service, _)| beacon::id(service) == *number);
            let Some((service, brief)) = found else {
                continue;
            };
            let before = brief.vetoed();
            brief.hear(now, beacon.incarnation, tale.clone());
            if brief.vetoed() && !before {
                vetoed(service, brief);
            }
        }
    }

    /// Notes this entry's place among those that share the bounds, and their number.
    pub fn stand(&self, (place, entries): (usize, usize)) {
        if self.started.get().is_none() {
            self.started.set(Some(clock::now()));
        }
        self.place.set(place);
        self.entries.set(entries);
    }

    /// This entry's place among all.
    pub fn place(&self) -> usize {
        self.place.get()
    }
}

fn vetoed(service: &Service, brief: &Brief) {
    note!(
        event::FOUND_BAD,
        service = service.as_str(),
        version = brief.order().to.as_str(),
        against = brief.against(),
        sampled = brief.sampled()
    );
}

fn name(state: State) -> &'static str {
    match state {
        State::Running => "running",
        State::Done => "done",
        State::Reverted => "reverted",
    }
}
