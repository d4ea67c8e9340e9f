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
    note,
    rollout as event, //
};
use moves::{
    Side,
    rollout::{
        Constraint,
        Ending,
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

use crate::{
    clock,
    fleet::Fleet,
    requests::Running, //
};

mod trial;

pub use trial::Trial;

/// Time after this gateway's rank is first set before a new version gets traffic: until then the
/// number of gateways that share the exposure limit is unknown.
const NEW_VERSION_DELAY: Duration = Duration::from_secs(2);

/// Samples of a route that are needed before a request can count as slow.
const MIN_SAMPLES: u64 = 12;

/// Samples after which a route's histogram is reset, as usual durations change over a day.
const MAX_SAMPLES: u64 = 2048;

/// Multiple of a route's median above which a response counts as slow. A slow version takes several
/// times as long, and its share of slow responses is compared with that of the old version.
const SLOW_FACTOR: f64 = 2.5;

/// Rollouts by service, including ended ones, and the data that they share.
#[derive(Default)]
pub struct Rollouts {
    rollouts: RefCell<HashMap<Service, Rollout>>,
    /// Times to the first event, or to a plain response, by route.
    durations: RefCell<HashMap<Route, Histogram>>,
    /// Rank of this gateway among the live ones, from 0, and their number.
    rank: Cell<usize>,
    gateways: Cell<usize>,
    /// Time at which the rank was first set.
    started: Cell<Option<Clock>>,
}

/// Versions that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Constraint and new version of the service's rollout, if there is one.
    constraint: Option<(Constraint, Version)>,
}

impl Selection {
    /// Returns the versions as a filter for placement.
    pub fn versions(&self) -> Versions<'_> {
        match &self.constraint {
            None | Some((Constraint::Any, _)) => Versions::Any,
            Some((Constraint::OnlyNew, version)) => Versions::Only(version),
            Some((Constraint::ExcludeNew, version)) => Versions::Not(version),
        }
    }
}

/// What a version answered to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// The first event or the response arrived after this time.
    After(Duration),
    /// The server failed.
    Failed,
    /// The answer is overdue, or the server was given up as too slow.
    Overdue,
}

/// A state of a rollout that has to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Service that is rolled out.
    pub service: Service,
    /// Order to which the state belongs.
    pub order: Order,
    /// State of the rollout.
    pub state: State,
}

impl Rollouts {
    /// Sets the order of a service; `None` when it was cancelled.
    pub fn set_order(&self, service: &Service, order: Option<Order>, exposure: Exposure) {
        let mut rollouts = self.rollouts.borrow_mut();
        let known = rollouts.get(service);
        if known.map(Rollout::order) == order.as_ref() {
            return;
        }
        let Some(order) = order else {
            rollouts.remove(service);
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
        let now = clock::now();
        let rollout = match known {
            Some(known) => known.replaced_by(order, exposure, now),
            None => Rollout::new(order, exposure, now),
        };
        rollouts.insert(service.clone(), rollout);
    }

    /// Applies a state that was written to the store at revision `at`.
    pub fn apply_state(&self, service: &Service, at: Revision, to: &Version, state: State) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(service) else {
            return;
        };
        if rollout.order().to != *to {
            return;
        }
        // A state that was written before this order belongs to an earlier one.
        if at < rollout.order().revision {
            if state == State::Done {
                rollout.set_carried_out();
            }
            return;
        }
        if !rollout.set_stored_state(state) {
            return;
        }
        note!(
            event::STATE_STORED,
            service = service.as_str(),
            version = to.as_str(),
            state = state_name(state),
            against = rollout.log_likelihood_ratio(),
            sampled = rollout.samples_sent()
        );
    }

    /// Selects the versions for a new request, and counts the request.
    pub fn select(&self, fleet: &Fleet, service: &Service, route: &Route) -> Selection {
        let now = clock::now();
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(service) else {
            return Selection::default();
        };
        observe_servers(rollout, fleet, service, now);
        let started = self.started.get().unwrap_or(now);
        let constraint = match rollout.state(now) {
            State::Running if now.saturating_sub(started) < NEW_VERSION_DELAY => {
                Constraint::ExcludeNew
            }
            _ => {
                rollout.observe_processes(self.gateways.get());
                let draw = rand::random();
                rollout.pick(now, beacon::id(route), draw)
            }
        };
        Selection {
            constraint: Some((constraint, rollout.order().to.clone())),
        }
    }

    /// Returns the versions for a request that is resumed after a loss.
    pub fn select_resumed(&self, fleet: &Fleet, service: &Service) -> Selection {
        let now = clock::now();
        let mut rollouts = self.rollouts.borrow_mut();
        let constraint = rollouts.get_mut(service).map(|rollout| {
            observe_servers(rollout, fleet, service, now);
            (rollout.constraint(now), rollout.order().to.clone())
        });
        Selection { constraint }
    }

    /// Renews the versions of a new request that is sent later than they were selected.
    pub fn renew(&self, fleet: &Fleet, service: &Service, selection: &mut Selection) {
        let current = self.select_resumed(fleet, service);
        let version = |selection: &Selection| {
            let constraint = selection.constraint.as_ref();
            constraint.map(|(_, version)| version.clone())
        };
        // A request that was picked for the new version is counted there.
        let is_running = version(&current)
            .is_some_and(|version| self.state(service, &version) == Some(State::Running));
        if !is_running || version(selection) != version(&current) {
            *selection = current;
        }
    }

    /// Returns whether a version was taken back.
    pub fn is_taken_back(&self, service: &Service, version: &Version) -> bool {
        self.state(service, version) == Some(State::Reverted)
    }

    /// Returns the state of the rollout of a service to a version.
    fn state(&self, service: &Service, to: &Version) -> Option<State> {
        let rollouts = self.rollouts.borrow();
        let rollout = rollouts.get(service)?;
        (rollout.order().to == *to).then(|| rollout.state(clock::now()))
    }

    /// Records the result of a request at a version.
    fn record_result(
        &self,
        service: &Service,
        route: &Route,
        version: &Version,
        request: &Running,
        answer: Answer,
    ) {
        let time = match answer {
            Answer::After(time) => Some(time),
            Answer::Failed | Answer::Overdue => None,
        };
        let ending = match answer {
            Answer::After(time) if !self.is_slow(route, time) => Ending::Good,
            Answer::After(_) | Answer::Overdue => Ending::Late,
            Answer::Failed => Ending::Failed,
        };
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(service) else {
            self.record_duration(route, time);
            return;
        };
        let side = match *version == rollout.order().to {
            true => Side::New,
            false => Side::Old,
        };
        if side == Side::Old {
            self.record_duration(route, time);
        }
        // A request that is slow or fails everywhere is one event, however often it is sent.
        if ending != Ending::Good && !request.is_first_bad_result(version) {
            return;
        }
        let was_vetoed = rollout.vetoed();
        rollout.record_end(clock::now(), beacon::id(route), side, ending);
        if rollout.vetoed() && !was_vetoed {
            log_veto(service, rollout);
        }
    }

    /// Returns whether a time is several times the route's median.
    fn is_slow(&self, route: &Route, time: Duration) -> bool {
        self.slow_limit(route).is_some_and(|limit| time > limit)
    }

    /// Returns the time above which an answer of a route counts as slow, if its usual time is known.
    fn slow_limit(&self, route: &Route) -> Option<Duration> {
        let durations = self.durations.borrow();
        let histogram = durations.get(route)?;
        if histogram.count() < MIN_SAMPLES {
            return None;
        }
        Some(histogram.quantile(0.5)?.mul_f64(SLOW_FACTOR))
    }

    /// Returns whether a service has a rollout.
    fn has_order(&self, service: &Service) -> bool {
        self.rollouts.borrow().contains_key(service)
    }

    /// Adds a time to the route's histogram.
    fn record_duration(&self, route: &Route, time: Option<Duration>) {
        let Some(time) = time else {
            return;
        };
        let mut durations = self.durations.borrow_mut();
        let histogram = durations.entry(route.clone()).or_default();
        if histogram.count() >= MAX_SAMPLES {
            *histogram = Histogram::default();
        }
        histogram.record(time);
    }

    /// Returns the states that have to be written to the store.
    pub fn pending_reports(&self, fleet: &Fleet) -> Vec<Report> {
        let now = clock::now();
        let mut rollouts = self.rollouts.borrow_mut();
        let reports = rollouts.iter_mut().filter_map(|(service, rollout)| {
            observe_servers(rollout, fleet, service, now);
            let state = rollout.state_to_store(now)?;
            Some(Report {
                service: service.clone(),
                order: rollout.order().clone(),
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
        for (service, rollout) in self.rollouts.borrow().iter() {
            if rollout.state(now) == State::Running
                || rollout.state_to_store(now).is_some()
                || rollout.vetoed()
            {
                let service_id = beacon::id(service);
                beacon.moves.push((service_id, rollout.progress(now)));
            }
        }
    }

    /// Applies a peer's beacon.
    pub fn apply_beacon(&self, beacon: &Beacon) {
        let now = clock::now();
        let mut rollouts = self.rollouts.borrow_mut();
        for (service_id, progress) in &beacon.moves {
            let mut found = rollouts.iter_mut();
            let found = found.find(|(service, _)| beacon::id(service) == *service_id);
            let Some((service, rollout)) = found else {
                continue;
            };
            let was_vetoed = rollout.vetoed();
            rollout.merge(now, beacon.incarnation, progress.clone());
            if rollout.vetoed() && !was_vetoed {
                log_veto(service, rollout);
            }
        }
    }

    /// Sets the rank of this gateway among the live ones, which share the limits, and their number.
    pub fn set_rank(&self, (rank, gateways): (usize, usize)) {
        if self.started.get().is_none() {
            self.started.set(Some(clock::now()));
        }
        self.rank.set(rank);
        self.gateways.set(gateways);
    }

    /// Returns the rank of this gateway among the live ones.
    pub fn rank(&self) -> usize {
        self.rank.get()
    }
}

fn observe_servers(rollout: &mut Rollout, fleet: &Fleet, service: &Service, now: Clock) {
    if let Some(servers) = fleet.servers_beside(service, &rollout.order().to) {
        rollout.observe_servers(now, servers);
    }
}

fn log_veto(service: &Service, rollout: &Rollout) {
    note!(
        event::FOUND_BAD,
        service = service.as_str(),
        version = rollout.order().to.as_str(),
        against = rollout.log_likelihood_ratio(),
        sampled = rollout.samples_sent()
    );
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Running => "running",
        State::Done => "done",
        State::Reverted => "reverted",
    }
}
