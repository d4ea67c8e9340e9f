//! Bounds on plain services that are over capacity: drives `admission::overload`.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    time::Duration, //
};

use admission::overload::{
    Arrival,
    Ending,
    Overload,
    Rates,
    Ticket,
    Verdict, //
};
use events::{
    forwarding,
    note, //
};
use names::{
    Clock,
    Route,
    Server,
    Service,
    Team, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
use spread::beacon::{
    self,
    Id,
    Incarnation, //
};
use tokio::time::sleep;

use crate::{
    clock,
    demands::Demands,
    fleet::Fleet,
    meter, //
};

/// Interval at which a waiting request is decided on again.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// Interval at which the servers and the part of this gateway are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Bound of each plain service.
#[derive(Debug)]
pub struct Overloads {
    services: RefCell<HashMap<Service, State>>,
    /// Number of services over capacity.
    active: Cell<usize>,
    rng: RefCell<SmallRng>,
}

#[derive(Debug, Default)]
struct State {
    overload: Overload,
    updated: Option<Clock>,
}

impl Default for Overloads {
    fn default() -> Overloads {
        Overloads {
            services: RefCell::default(),
            active: Cell::new(0),
            rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
        }
    }
}

/// A plain request that was not sent yet.
#[derive(Clone, Copy, Debug)]
pub struct Turn<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Service that it is for.
    pub service: &'a Service,
    /// Its route.
    pub route: &'a Route,
    /// The caller's team, if it has one.
    pub team: Option<&'a Team>,
    /// Time that its caller states to have left.
    pub deadline: Option<Duration>,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Target time from the arrival to the answer.
    pub objective: Duration,
    /// Time since the arrival.
    pub elapsed: Duration,
}

impl Overloads {
    /// Returns whether any service is over capacity.
    pub fn any(&self) -> bool {
        self.active.get() > 0
    }

    /// Returns whether a service is over capacity.
    pub fn is_active(&self, service: &Service) -> bool {
        self.any() && self.with(service, |overload, _| overload.active_since().is_some())
    }

    /// Returns whether a request of a service can be sent once more now.
    pub fn may_repeat(&self, service: &Service) -> bool {
        !self.any() || self.with(service, |overload, _| overload.may_repeat(clock::now()))
    }

    /// Returns the servers of a service that have no room now.
    pub fn full_servers(&self, service: &Service) -> Vec<Server> {
        match self.any() {
            true => self.with(service, |overload, _| overload.full_servers(clock::now())),
            false => Vec::new(),
        }
    }

    /// Returns whether any service is over capacity here or at a peer.
    pub fn any_told(&self) -> bool {
        let now = clock::now();
        if self.any() {
            // Without requests, nothing else finds that an overload has ended.
            let names: Vec<Service> = self.services.borrow().keys().cloned().collect();
            for service in names {
                self.with(&service, |overload, _| overload.is_active(now));
            }
        }
        let services = self.services.borrow();
        services.values().any(|state| state.overload.is_told(now))
    }

    /// Returns what is told to peers of the services that are over capacity here.
    pub fn report(&self, now: Clock) -> Vec<beacon::Overload> {
        let mut told = Vec::new();
        for (service, state) in self.services.borrow().iter() {
            let Some(rates) = state.overload.rates(now) else {
                continue;
            };
            told.push(beacon::Overload {
                service: beacon::id(service),
                base_us: u32::try_from(rates.base.as_micros()).unwrap_or(u32::MAX),
                factor: rates.factor,
            });
        }
        told
    }

    /// Applies what a peer told of a service, if it finds it over capacity; one of an earlier
    /// release tells no rates. `part` returns the part of some peers in the demand. Returns whether
    /// an overload has begun.
    pub fn apply(
        &self,
        id: Id,
        peer: Incarnation,
        told: Option<Option<beacon::Overload>>,
        part: impl FnOnce(&[Incarnation]) -> f64,
    ) -> bool {
        let now = clock::now();
        let service = {
            let services = self.services.borrow();
            let mut known = services.keys();
            known.find(|service| beacon::id(service) == id).cloned()
        };
        let Some(service) = service else {
            return false;
        };
        self.with(&service, |overload, rng| {
            let was_told = overload.is_told(now);
            match told {
                Some(told) => {
                    let rates = told.map(|told| Rates {
                        base: Duration::from_micros(told.base_us.into()),
                        factor: told.factor,
                    });
                    overload.told(now, peer, rates);
                }
                None => overload.forget(peer),
            }
            let over: Vec<Incarnation> = overload.peers(now).collect();
            overload.join(now, part(&over), rng);
            !was_told && overload.is_told(now)
        })
    }

    /// Removes a peer that ended or stopped sending.
    pub fn forget(&self, peer: Incarnation) {
        for state in self.services.borrow_mut().values_mut() {
            state.overload.forget(peer);
        }
    }

    /// Returns when a refused caller may return, if the service is over capacity.
    pub fn retry_after(&self, service: &Service) -> Option<Duration> {
        let now = clock::now();
        self.is_active(service)
            .then(|| self.with(service, |overload, rng| overload.retry_after(now, rng)))
    }

    fn with<T>(
        &self,
        service: &Service,
        action: impl FnOnce(&mut Overload, &mut SmallRng) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.clone(), State::default());
        }
        let overload = &mut services.get_mut(service).expect("was inserted").overload;
        let was_active = overload.active_since().is_some();
        let result = action(overload, &mut self.rng.borrow_mut());
        match (was_active, overload.active_since().is_some()) {
            (false, true) => {
                self.active.set(self.active.get() + 1);
                note!(
                    forwarding::OVER_CAPACITY,
                    service = service.as_str(),
                    bound = overload.bound().round() as u64
                );
            }
            (true, false) => {
                self.active.set(self.active.get().saturating_sub(1));
                note!(forwarding::WITHIN_CAPACITY, service = service.as_str());
            }
            _ => {}
        }
        result
    }

    /// Updates what the bound of a service that is over capacity follows from.
    fn update(&self, demands: &Demands, fleet: &RefCell<Fleet>, service: &Service) {
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(service) else {
            return;
        };
        let Some(since) = state.overload.active_since() else {
            return;
        };
        let is_recent = |at: Clock| at >= since && now.saturating_sub(at) < UPDATE_INTERVAL;
        if state.updated.is_some_and(is_recent) {
            return;
        }
        let is_new = state.updated.is_none_or(|at| at < since);
        state.updated = Some(now);
        let fleet = fleet.borrow();
        let elapsed = now.saturating_sub(since);
        let share = demands.overload_share(service, fleet.rank().1, elapsed, is_new);
        let servers = fleet.slots(service);
        let rng = &mut self.rng.borrow_mut();
        state.overload.update(now, share, servers, rng);
        meter::overload_bound(service, state.overload.bound());
    }
}

/// Waits until a request can be sent, if its service is over capacity.
///
/// # Errors
///
/// The time after which the caller may return, if the request can't be sent in time.
pub async fn admit(
    demands: &Demands,
    fleet: &RefCell<Fleet>,
    turn: &Turn<'_>,
) -> Result<(), Duration> {
    let overloads = &demands.overloads;
    let Turn { service, rank, .. } = *turn;
    overloads.update(demands, fleet, service);
    let began = clock::now();
    let team = turn.team.cloned().unwrap_or_default();
    let arrival = Arrival {
        route: turn.route,
        team: &team,
        deadline: turn.deadline,
        rank,
        objective: turn.objective,
        at: began.saturating_sub(turn.elapsed),
    };
    let was_active = overloads.is_active(service);
    let arrive =
        |overload: &mut Overload, rng: &mut SmallRng| overload.arrive(began, &arrival, rng);
    let mut verdict = overloads.with(service, arrive);
    let mut waiting = None;
    loop {
        match verdict {
            Verdict::Send => break,
            Verdict::Refuse(retry_after) => {
                demands.count_request(service);
                meter::overload_decision("refused", service, rank);
                return Err(retry_after);
            }
            Verdict::Wait(ticket) => {
                waiting.get_or_insert_with(|| Waiting {
                    overloads,
                    service,
                    ticket,
                });
                sleep(POLL_INTERVAL).await;
                if let Some(retry_after) = fleet.borrow_mut().backoff_retry_after(service) {
                    demands.count_request(service);
                    return Err(retry_after);
                }
                overloads.update(demands, fleet, service);
                let now = clock::now();
                verdict = overloads.with(service, |overload, _| overload.poll(now, ticket));
            }
        }
    }
    if waiting.is_some() {
        meter::overload_decision("waited", service, rank);
        note!(
            forwarding::AWAITED_ROOM,
            id = turn.id,
            waited_ms = clock::now().saturating_sub(began).as_millis() as u64
        );
    }
    if was_active {
        meter::overload_decision("admitted", service, rank);
    }
    Ok(())
}

/// Keeps a request's place until it is dropped.
struct Waiting<'a> {
    overloads: &'a Overloads,
    service: &'a Service,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.overloads
            .with(self.service, |overload, _| overload.leave(ticket));
    }
}

/// A request at a server, until it is dropped.
pub struct Sent<'a> {
    overloads: &'a Overloads,
    service: &'a Service,
    server: &'a Server,
    objective: Duration,
    ending: Ending,
}

impl<'a> Sent<'a> {
    /// Counts a request that is about to be sent.
    pub fn new(
        overloads: &'a Overloads,
        service: &'a Service,
        server: &'a Server,
        objective: Duration,
    ) -> Sent<'a> {
        overloads.with(service, |overload, _| overload.sent(server));
        Sent {
            overloads,
            service,
            server,
            objective,
            ending: Ending::Other,
        }
    }

    /// Sets how the request ended.
    pub fn set_ending(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        self.overloads.with(self.service, |overload, rng| {
            overload.done(now, self.server, self.objective, self.ending, rng)
        });
    }
}
