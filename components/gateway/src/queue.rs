//! Queue of streams that wait until an engine has capacity.
//!
//! The queue keeps a service usable when callers send several times more than its engines can
//! serve. If all requests were forwarded at once, their prompts would be processed side by side,
//! every first event would be late, and no caller would be served in time. So a stream waits here,
//! where the order can still be changed, until an engine can start it soon. Requests that can no
//! longer meet their objective are served after those that still can, as a late answer is better
//! than none. Requests that can't be served at all are rejected at once.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use admission::{
    order::Policy,
    wait::{
        self, //
    },
};
use events::{
    forwarding,
    note, //
};
use gates::{
    Gates,
    Permit, //
};
use names::Service;
use routing::placement::Work;
use spread::beacon::{
    self,
    Beacon,
    Id,
    Incarnation, //
};
use tokio::time::Instant;

use self::scarcity::Ranked;
use crate::{
    call::Call, //
    clock,
};

/// Time after a wait for which a service counts as under pressure: the usual duration of a run,
/// since the waiting requests need the memory of the current runs.
const PRESSURE_TTL: Duration = Duration::from_secs(5);

/// Weight of a new request in the average size of a service's requests.
const EWMA_WEIGHT: f64 = 0.1;

mod scarcity;

pub use scarcity::{
    standing,
    urgency, //
};

/// Queues of the services that have engines.
pub struct Queue {
    pub gates: Arc<Gates>,
    pub sizes: RefCell<HashMap<Service, Size>>,
    /// Order of the services whose streams differ.
    pub scarcities: RefCell<HashMap<Service, Ranked>>,
    /// Time at which a request last had to wait, by service.
    last_waits: RefCell<HashMap<Service, Instant>>,
    /// Number of requests that wait here and can still meet their objective, by service.
    pub urgent: RefCell<HashMap<Service, u32>>,
    /// Number of requests that wait at each peer and can still meet their objective, by service.
    urgent_by_peer: RefCell<HashMap<Incarnation, Vec<(Id, u32)>>>,
    /// Number of gateways that share the engines.
    pub gateways: Cell<u32>,
    /// Whether the task that polls the gates is running.
    pub polling: Cell<bool>,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            gates: Gates::new(Instant::now()),
            sizes: RefCell::default(),
            scarcities: RefCell::default(),
            last_waits: RefCell::default(),
            urgent: RefCell::default(),
            urgent_by_peer: RefCell::default(),
            gateways: Cell::new(1),
            polling: Cell::new(false),
        }
    }
}

/// Average size of a service's requests.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    tokens: f64,
    prefill_tokens: f64,
    /// Time within which an engine has to produce the first event.
    pub engine_time: Duration,
}

impl Size {
    fn new(work: Work, engine_time: Duration) -> Size {
        Size {
            tokens: work.tokens as f64,
            prefill_tokens: work.prefill_tokens as f64,
            engine_time,
        }
    }

    fn update(&mut self, work: Work) {
        self.tokens += EWMA_WEIGHT * (work.tokens as f64 - self.tokens);
        self.prefill_tokens += EWMA_WEIGHT * (work.prefill_tokens as f64 - self.prefill_tokens);
    }

    /// Returns the work of an average request.
    pub fn work(&self) -> Work {
        Work {
            requests: 1,
            tokens: self.tokens as u64,
            prefill_tokens: self.prefill_tokens as u64,
        }
    }
}

/// Admission of a request to an engine's capacity, which is released on drop.
pub struct Admission {
    pub permit: Permit,
    /// Whether the first event could still arrive in time.
    pub in_time: bool,
}

impl Admission {
    /// Records that the first event arrived. The event of a request that was admitted late is
    /// ignored, as it says nothing about the engines.
    pub fn record_first_event(&self) {
        if self.in_time {
            self.permit.record_first_output();
        }
    }
}

// Exchange with peers.
impl Queue {
    /// Adds the numbers of requests that wait here and can still meet their objective to a beacon.
    pub fn fill_beacon(&self, beacon: &mut Beacon) {
        let urgent = self.urgent.borrow();
        let waiting = urgent.iter().filter(|(_, count)| **count > 0);
        let waiting = waiting.map(|(service, count)| (beacon::id(service), *count));
        beacon.queued.extend(waiting);
    }

    /// Applies a peer's beacon.
    pub fn apply_beacon(&self, beacon: &Beacon) {
        let mut peers = self.urgent_by_peer.borrow_mut();
        match beacon.queued.is_empty() {
            true => peers.remove(&beacon.incarnation),
            false => peers.insert(beacon.incarnation, beacon.queued.clone()),
        };
    }

    /// Removes a peer that ended or stopped sending.
    pub fn remove_peer(&self, peer: Incarnation) {
        self.urgent_by_peer.borrow_mut().remove(&peer);
    }

    /// Sets the number of gateways that share the engines.
    pub fn set_gateways(&self, gateways: usize) {
        self.gateways
            .set(u32::try_from(gateways).unwrap_or(u32::MAX));
    }
}

impl Queue {
    /// Returns whether a request waits here for a service and can still meet its objective.
    pub fn has_urgent(&self, service: &Service) -> bool {
        self.urgent
            .borrow()
            .get(service)
            .is_some_and(|count| *count > 0)
    }

    /// Returns the number of requests that wait at peers for a service and can still meet their
    /// objective.
    pub fn urgent_at_peers(&self, service: &Service) -> u32 {
        let service_id = beacon::id(service);
        let peers = self.urgent_by_peer.borrow();
        let counts = peers.values().flatten();
        counts
            .filter(|(id, _)| *id == service_id)
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns whether requests recently had to wait for a service.
    pub fn is_under_pressure(&self, service: &Service) -> bool {
        let last_waits = self.last_waits.borrow();
        last_waits
            .get(service)
            .is_some_and(|at| at.elapsed() < PRESSURE_TTL)
    }

    /// Records that a request had to wait for a service.
    pub fn record_wait(&self, service: &Service) {
        let now = Instant::now();
        self.last_waits.borrow_mut().insert(service.clone(), now);
    }

    /// Initializes the average size of a service's requests from the first one.
    pub fn init_size(&self, call: &Call, work: Work) {
        let mut sizes = self.sizes.borrow_mut();
        let engine_time = wait::engine_time(call.pass.objective);
        sizes
            .entry(call.service.clone())
            .or_insert(Size::new(work, engine_time));
    }

    /// Records the arrival of a stream, and returns the time reserved for its engine.
    pub fn arrive(&self, call: &Call, work: Work) -> Duration {
        let mut scarcities = self.scarcities.borrow_mut();
        let Some(standing) = &call.standing else {
            if scarcities.remove(&call.service).is_some() {
                log_order(&call.service, Policy::Fair);
            }
            return wait::engine_time(call.pass.objective);
        };
        let scarcity = scarcities.entry(call.service.clone()).or_insert_with(|| {
            log_order(&call.service, Policy::Cost);
            Ranked::default()
        });
        scarcity.arrive(clock::now(), standing, work, call.pass.objective)
    }

    /// Adds a request's work to the average, without the part of the prompt that its engine has
    /// cached.
    pub fn record_work(&self, service: &Service, work: Work) {
        if let Some(size) = self.sizes.borrow_mut().get_mut(service) {
            size.update(work);
        }
    }
}

/// Logs by which policy the requests of a service are ordered from now on.
pub fn log_order(service: &Service, policy: Policy) {
    let order = match policy {
        Policy::Fair => "fair",
        Policy::Cost => "cost",
    };
    note!(
        forwarding::ORDER_CHANGED,
        service = service.as_str(),
        order = order
    );
}
