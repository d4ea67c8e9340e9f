//! Admission gates of all services, and the requests that wait at each of them.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use admission::{
    Arrival,
    Done,
    Gate,
    Limit,
    Reason,
    Released,
    Report,
    Settings,
    Ticket,
    Verdict,
    order::{
        Bound,
        Policy, //
    }, //
};
use names::{
    Service,
    Team, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

/// Retry delay of a waiting request whose gate was dropped without a decision.
const DROPPED_GATE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Admission gates, one per service, and their waiting requests.
pub struct Gates {
    state: Mutex<State>,
    /// Start of the gates' clocks.
    origin: Instant,
}

struct State {
    gates: HashMap<Service, ServiceGate>,
    rng: SmallRng,
}

/// Gate of one service, and the requests that wait at it.
struct ServiceGate {
    gate: Gate,
    waiting: HashMap<Ticket, Waiter>,
}

/// Data about a request that its gate needs from the request's arrival to its end.
struct RequestInfo {
    team: Team,
    priority: u8,
    cost: u64,
    arrived: Instant,
}

/// A waiting request. The permit itself is sent through the channel: if the caller disconnects at
/// the same moment, the unread permit is dropped and frees its slot.
struct Waiter {
    info: RequestInfo,
    sender: oneshot::Sender<Decision>,
}

/// Decision on a request.
type Decision = Result<Permit, Rejection>;

/// Order of the waiting requests, and the capacity for those below a priority.
pub type Order = (Policy, Option<Bound>);

/// Ticket of a queued request, and the channel on which its decision arrives.
type Queued = (Ticket, oneshot::Receiver<Decision>);

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service that receives the request.
    pub service: &'a Service,
    /// Team that sent the request.
    pub team: &'a Team,
    /// The team's limits.
    pub limit: Limit,
    /// Expected work in tokens.
    pub cost: u64,
    /// Longest time that the request may wait at the gate.
    pub max_wait: Duration,
    /// Time since the caller's first attempt.
    pub waited: Duration,
    /// Time to the first token or byte above which the request counts as late.
    pub objective: Duration,
    /// Lowest factor, from 0 to 1, by which late first tokens may reduce the concurrency below the
    /// reported capacity. 1 where the reports already account for late first tokens.
    pub min_concurrency_factor: f64,
    /// Whether the request continues a response that has already begun.
    pub resume: bool,
}

/// Rejection of a request, which hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request was rejected.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Permission to run a request; dropping the permit ends the request and frees its slot.
pub struct Permit {
    gates: Arc<Gates>,
    service: Service,
    info: RequestInfo,
    used_tokens: AtomicU64,
    admitted: Instant,
    first_output: Mutex<Option<Duration>>,
}

/// Removes a waiting request from its gate when its caller disconnects.
struct WaitGuard<'a> {
    gates: &'a Gates,
    service: &'a Service,
    ticket: Ticket,
}

impl Gates {
    /// Creates a set without gates. The gates' clocks start at `origin`.
    pub fn new(origin: Instant) -> Arc<Gates> {
        Arc::new(Gates {
            state: Mutex::new(State {
                gates: HashMap::new(),
                rng: SmallRng::seed_from_u64(rand::random()),
            }),
            origin,
        })
    }

    /// Locks the state. A poisoned lock is safe to use: every change is a single step, so a panic
    /// of another holder leaves the state consistent.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request, immediately or after a wait.
    ///
    /// # Errors
    ///
    /// [`Rejection`] immediately, or once the request has waited for [`Request::max_wait`].
    pub async fn admit(self: &Arc<Self>, request: Request<'_>) -> Result<Permit, Rejection> {
        let Some((ticket, decision)) = self.arrive(&request)? else {
            return Ok(self.permit(request.service, RequestInfo::new(&request)));
        };
        let _guard = WaitGuard {
            gates: self,
            service: request.service,
            ticket,
        };
        match decision.await {
            Ok(decision) => decision,
            Err(_) => Err(Rejection {
                reason: Reason::Full,
                retry_after: DROPPED_GATE_RETRY_AFTER,
            }),
        }
    }

    fn arrive(&self, request: &Request<'_>) -> Result<Option<Queued>, Rejection> {
        let arrival = Arrival {
            team: request.team,
            limit: request.limit,
            cost: request.cost,
            max_wait: request.max_wait,
            waited: request.waited,
            resume: request.resume,
        };
        let now = self.origin.elapsed();
        let mut state = self.lock();
        let State { gates, rng } = &mut *state;
        let service_gate = gates
            .entry(request.service.clone())
            .or_insert_with(|| ServiceGate {
                gate: Gate::new(Settings {
                    first_output_target: request.objective,
                    min_concurrency_factor: request.min_concurrency_factor,
                    ..Settings::default()
                }),
                waiting: HashMap::new(),
            });
        match service_gate.gate.arrive(now, &arrival, rng) {
            Verdict::Admit => Ok(None),
            Verdict::Queue(ticket) => {
                let (sender, receiver) = oneshot::channel();
                let waiter = Waiter {
                    info: RequestInfo::new(request),
                    sender,
                };
                service_gate.waiting.insert(ticket, waiter);
                Ok(Some((ticket, receiver)))
            }
            Verdict::Refuse {
                reason,
                retry_after,
            } => Err(Rejection {
                reason,
                retry_after,
            }),
        }
    }

    fn permit(self: &Arc<Self>, service: &str, info: RequestInfo) -> Permit {
        Permit {
            gates: self.clone(),
            service: service.to_string(),
            info,
            used_tokens: AtomicU64::new(0),
            admitted: Instant::now(),
            first_output: Mutex::new(None),
        }
    }

    /// Admits the waiting requests of a service that fit, and rejects those that would be late.
    fn release(self: &Arc<Self>, service: &str) {
        // `take_released` frees the lock before any decision is sent: dropping an unread permit
        // locks the state again.
        for (waiter, released) in self.take_released(service) {
            let decision = match released {
                Released::Admit(_) => Ok(self.permit(service, waiter.info)),
                Released::Refuse {
                    reason,
                    retry_after,
                    ..
                } => Err(Rejection {
                    reason,
                    retry_after,
                }),
            };
            // The caller may have just disconnected.
            let _ = waiter.sender.send(decision);
        }
    }

    fn take_released(&self, service: &str) -> Vec<(Waiter, Released)> {
        let now = self.origin.elapsed();
        let mut state = self.lock();
        let State { gates, rng } = &mut *state;
        let Some(service_gate) = gates.get_mut(service) else {
            return Vec::new();
        };
        let mut decided = Vec::new();
        for released in service_gate.gate.tick(now, rng) {
            let (Released::Admit(ticket) | Released::Refuse { ticket, .. }) = &released;
            if let Some(waiter) = service_gate.waiting.remove(ticket) {
                decided.push((waiter, released));
            }
        }
        decided
    }

    /// Returns the number of requests that wait at the gate of a service.
    pub fn waiting(&self, service: &Service) -> usize {
        let state = self.lock();
        state
            .gates
            .get(service)
            .map_or(0, |service_gate| service_gate.gate.waiting())
    }

    /// Returns whether any request waits at any gate.
    pub fn any_waiting(&self) -> bool {
        let state = self.lock();
        state
            .gates
            .values()
            .any(|service_gate| !service_gate.waiting.is_empty())
    }

    /// Admits waiting requests where there is capacity, and rejects those that waited too long.
    pub fn tick(self: &Arc<Self>) {
        let services: Vec<Service> = {
            let state = self.lock();
            let queued = state
                .gates
                .iter()
                .filter(|(_, service_gate)| !service_gate.waiting.is_empty());
            queued.map(|(service, _)| service.clone()).collect()
        };
        for service in services {
            self.release(&service);
        }
    }

    /// Updates the capacity of each service's gate from `report`, whose second argument is the
    /// number of this process's own requests in progress. `None` stands for an unknown capacity and
    /// leaves the gate as it is: requests that can't be served are then rejected for lack of a
    /// server.
    pub fn report(&self, mut report: impl FnMut(&Service, u32) -> Option<(Report, Order)>) {
        let mut state = self.lock();
        for (service, service_gate) in &mut state.gates {
            if let Some((report, (policy, bound))) = report(service, service_gate.gate.running()) {
                service_gate.gate.report(report);
                service_gate.gate.set_order(policy, bound);
            }
        }
    }
}

impl RequestInfo {
    fn new(request: &Request<'_>) -> RequestInfo {
        RequestInfo {
            team: request.team.clone(),
            priority: request.limit.priority,
            cost: request.cost,
            arrived: Instant::now(),
        }
    }
}

impl Permit {
    /// Records that the first token or byte arrived. Later calls have no effect.
    pub fn record_first_output(&self) {
        let mut first_output = self
            .first_output
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        first_output.get_or_insert_with(|| self.info.arrived.elapsed());
    }

    /// Adds tokens to the work that the request has used.
    pub fn record_tokens(&self, tokens: u64) {
        self.used_tokens.fetch_add(tokens, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let done = Done {
            priority: self.info.priority,
            cost: self.info.cost,
            used: self.used_tokens.load(Ordering::Relaxed),
            time: self.admitted.elapsed(),
            first_output: *self
                .first_output
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        };
        {
            let mut state = self.gates.lock();
            if let Some(service_gate) = state.gates.get_mut(&self.service) {
                service_gate.gate.finish(&self.info.team, &done);
            }
        }
        self.gates.release(&self.service);
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.gates.lock();
        let Some(service_gate) = state.gates.get_mut(self.service) else {
            return;
        };
        // A ticket that was already released is no longer in the map.
        if service_gate.waiting.remove(&self.ticket).is_some() {
            service_gate.gate.cancel(self.ticket);
        }
    }
}
