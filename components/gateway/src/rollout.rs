//! Gradual rollouts: shifts a service's traffic from one version to another as an operator ordered.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    time::Duration, //
};

use events::{
    fast_moves as event,
    note, //
};
use moves::{
    Side,
    rollout::{
        Constraint,
        Exposure,
        Order,
        Rollout,
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

/// Time after the start before a new version gets traffic: until then the number of gateways that
/// share the limit is unknown.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Samples of a route that are needed before a request can count as slow.
const MIN_SAMPLES: u64 = 12;

/// Samples after which a route's histogram is reset, as usual durations change over a day.
const MAX_SAMPLES: u64 = 2048;

/// Multiple of a route's median above which a response counts as slow. A slow version takes several
/// times as long, and its share of slow responses is compared with that of the old version.
const SLOW_FACTOR: f64 = 2.5;

/// Rollouts that are in progress or were.
#[derive(Default)]
pub struct Rollouts {
    briefs: RefCell<HashMap<Service, Rollout>>,
    /// Times to the first event, or to a plain response, by route.
    durations: RefCell<HashMap<Route, Histogram>>,
    /// Index of this gateway among all, and their number.
    position: Cell<usize>,
    gateways: Cell<usize>,
    started: Cell<Option<Clock>>,
}

/// Versions that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    limit: Option<(Constraint, Version)>,
}

impl Selection {
    /// Returns the versions as a filter for placement.
    pub fn versions(&self) -> Versions<'_> {
        match &self.limit {
            None | Some((Constraint::Any, _)) => Versions::Any,
            Some((Constraint::OnlyNew, version)) => Versions::Only(version),
            Some((Constraint::ExcludeNew, version)) => Versions::Not(version),
        }
    }
}

/// A state of a rollout that has to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The service.
    pub service: Service,
    /// Order to which it belongs.
    pub order: Order,
    /// The state.
    pub state: State,
}

impl Rollouts {
    /// Sets the order of a service; `None` when it was cancelled.
    pub fn set_order(&self, service: &Service, order: Option<Order>, exposure: Exposure) {
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
        briefs.insert(service.clone(), Rollout::new(order, exposure, clock::now()));
    }

    /// Applies a state that was written to the store at revision `at`.
    pub fn apply_state(&self, service: &Service, at: Revision, to: &Version, state: State) {
        let mut briefs = self.briefs.borrow_mut();
        let Some(brief) = briefs.get_mut(service) else {
            return;
        };
        // A state that was written before the order belongs to another one.
        if at < brief.order().revision || brief.order().to != *to {
            return;
        }
        if !brief.set_stored_state(state) {
            return;
        }
        note!(
            event::STATE_STORED,
            service = service.as_str(),
            version = to.as_str(),
            state = state_name(state),
            against = brief.log_likelihood_ratio(),
            sampled = brief.samples_sent()
        );
    }

    /// Selects the versions for a new request, and counts the request.
    pub fn select(&self, service: &Service, route: &Route) -> Selection {
        let now = clock::now();
        let mut briefs = self.briefs.borrow_mut();
        let Some(brief) = briefs.get_mut(service) else {
            return Selection::default();
        };
        let started = self.started.get().unwrap_or(now);
        let limit = match brief.state(now) {
            State::Running if now.saturating_sub(started) < SETTLE_TIME => Constraint::ExcludeNew,
            _ => {
                brief.observe_entries(self.gateways.get());
                let draw = rand::random();
                brief.pick(now, beacon::id(route), draw)
            }
        };
        Selection {
            limit: Some((limit, brief.order().to.clone())),
        }
    }

    /// Returns the versions for a request that is resumed after a loss.
    pub fn select_resumed(&self, service: &Service) -> Selection {
        let briefs = self.briefs.borrow();
        let limit = briefs.get(service).map(|brief| {
            let limit = brief.constraint(clock::now());
            (limit, brief.order().to.clone())
        });
        Selection { limit }
    }

    /// Records the result of a request at a version: the time to its first event or to its
    /// response, or `None` when it failed.
    pub fn record_result(
        &self,
        service: &Service,
        route: &Route,
        version: &Version,
        time: Option<Duration>,
    ) {
        let slow = time.is_some_and(|time| self.is_slow(route, time));
        let mut briefs = self.briefs.borrow_mut();
        let Some(brief) = briefs.get_mut(service) else {
            self.record_duration(route, time);
            return;
        };
        let side = match *version == brief.order().to {
            true => Side::New,
            false => Side::Old,
        };
        if side == Side::Old {
            self.record_duration(route, time);
        }
        let before = brief.vetoed();
        let bad = slow || time.is_none();
        brief.record_end(clock::now(), beacon::id(route), side, bad);
        if brief.vetoed() && !before {
            log_veto(service, brief);
        }
    }

    fn is_slow(&self, route: &Route, time: Duration) -> bool {
        let durations = self.durations.borrow();
        let Some(times) = durations
            .get(route)
            .filter(|times| times.count() >= MIN_SAMPLES)
        else {
            return false;
        };
        let median = times.quantile(0.5).unwrap_or(Duration::MAX);
        time.as_secs_f64() > median.as_secs_f64() * SLOW_FACTOR
    }

    fn record_duration(&self, route: &Route, time: Option<Duration>) {
        let Some(time) = time else {
            return;
        };
        let mut durations = self.durations.borrow_mut();
        let times = durations.entry(route.clone()).or_default();
        if times.count() >= MAX_SAMPLES {
            *times = Histogram::default();
        }
        times.record(time);
    }

    /// Returns the states that have to be written to the store.
    pub fn pending_reports(&self) -> Vec<Report> {
        let now = clock::now();
        let briefs = self.briefs.borrow();
        let reports = briefs.iter().filter_map(|(service, brief)| {
            let state = brief.state_to_store(now)?;
            Some(Report {
                service: service.clone(),
                order: brief.order().clone(),
                state,
            })
        });
        reports.collect()
    }
}

// Exchange with peers.
impl Rollouts {
    /// Adds the state of each rollout to a beacon.
    pub fn fill_beacon(&self, beacon: &mut Beacon) {
        let now = clock::now();
        for (service, brief) in self.briefs.borrow().iter() {
            if brief.state(now) == State::Running
                || brief.state_to_store(now).is_some()
                || brief.vetoed()
            {
                let number = beacon::id(service);
                beacon.moves.push((number, brief.progress(now)));
            }
        }
    }

    /// Applies a peer's beacon.
    pub fn apply_beacon(&self, beacon: &Beacon) {
        let now = clock::now();
        let mut briefs = self.briefs.borrow_mut();
        for (number, report) in &beacon.moves {
            let mut found = briefs.iter_mut();
            let found = found.find(|(service, _)| beacon::id(service) == *number);
            let Some((service, brief)) = found else {
                continue;
            };
            let before = brief.vetoed();
            brief.merge(now, beacon.incarnation, report.clone());
            if brief.vetoed() && !before {
                log_veto(service, brief);
            }
        }
    }

    /// Sets the index of this gateway among those that share the limits, and their number.
    pub fn set_position(&self, (position, gateways): (usize, usize)) {
        if self.started.get().is_none() {
            self.started.set(Some(clock::now()));
        }
        self.position.set(position);
        self.gateways.set(gateways);
    }

    /// Returns the index of this gateway among all.
    pub fn position(&self) -> usize {
        self.position.get()
    }
}

fn log_veto(service: &Service, brief: &Rollout) {
    note!(
        event::FOUND_BAD,
        service = service.as_str(),
        version = brief.order().to.as_str(),
        against = brief.log_likelihood_ratio(),
        sampled = brief.samples_sent()
    );
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Running => "running",
        State::Done => "done",
        State::Reverted => "reverted",
    }
}
