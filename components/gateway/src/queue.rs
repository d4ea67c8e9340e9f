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
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use admission::{
    Reason,
    Report,
    order::Policy,
    wait::{
        self,
        Constraints, //
    }, //
};
use events::{
    forwarding,
    note, //
};
use gates::{
    Gates,
    Permit,
    Rejection,
    Request, //
};
use names::Service;
use routing::placement::Work;
use spread::beacon::{
    self,
    Beacon,
    Id,
    Incarnation, //
};
use tokio::{
    pin,
    select,
    task::spawn_local,
    time::{
        Instant,
        interval,
        interval_at, //
    }, //
};

use self::scarcity::Ranked;
use crate::{
    clock,
    handle::{
        Call,
        Context, //
    },
    meter,
    protocol::Protocol,
    refuse::Refusal, //
};

/// Interval at which the engines' capacity is polled. First events take hundreds of milliseconds,
/// so the delay doesn't matter.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a queued request is recorded as waiting and checks for a shutdown. Shorter
/// waits occur whenever gateways share engines, so they don't count as pressure.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
    gates: Arc<Gates>,
    sizes: RefCell<HashMap<Service, Size>>,
    /// Order of the services whose streams differ.
    scarcities: RefCell<HashMap<Service, Ranked>>,
    /// Time at which a request last had to wait, by service.
    last_waits: RefCell<HashMap<Service, Instant>>,
    /// Number of requests that wait here and can still meet their objective, by service.
    urgent: RefCell<HashMap<Service, u32>>,
    /// Number of requests that wait at each peer and can still meet their objective, by service.
    urgent_by_peer: RefCell<HashMap<Incarnation, Vec<(Id, u32)>>>,
    /// Number of gateways that share the engines.
    gateways: Cell<u32>,
    /// Whether the task that polls the gates is running.
    polling: Cell<bool>,
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
struct Size {
    tokens: f64,
    prefill_tokens: f64,
    /// Time within which an engine has to produce the first event.
    engine_time: Duration,
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

    fn work(&self) -> Work {
        Work {
            requests: 1,
            tokens: self.tokens as u64,
            prefill_tokens: self.prefill_tokens as u64,
        }
    }
}

/// Admission of a request to an engine's capacity, which is released on drop.
pub struct Admission {
    permit: Permit,
    /// Whether the first event could still arrive in time.
    in_time: bool,
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

/// Waits until an engine has capacity for a request's work.
///
/// # Errors
///
/// [`Refusal`] when the request can't be served, or the process shuts down first. The request
/// hasn't run.
pub async fn admit<P: Protocol + 'static>(
    context: &Rc<Context<P>>,
    call: &Call,
    work: Work,
) -> Result<Admission, Refusal> {
    let began = Instant::now();
    context.queue.init_size(call, work);
    let mut last_rejection = Rejection {
        reason: Reason::Late,
        retry_after: POLL_INTERVAL,
    };
    let team = call.team.clone().unwrap_or_default();
    let engine_time = context.queue.arrive(call, work);
    let constraints = Constraints {
        rank: call.pass.rank,
        objective: call.pass.objective,
        timeout: call.pass.timeout,
        deadline: call.request.metadata.deadline,
        expected: context.shutdown.duration_estimate(&call.route),
        engine_time,
    };
    for wait in constraints.waits() {
        report_capacity(context, wait.in_time.then_some(&call.service));
        let admitted = context.queue.gates.admit(Request {
            service: &call.service,
            team: &team,
            limit: wait.limit,
            cost: work.tokens,
            max_wait: wait.max_wait,
            waited: constraints.spent() + began.elapsed(),
            objective: call.pass.objective,
            min_concurrency_factor: 1.0,
            resume: call.request.metadata.after.is_some(),
        });
        let _guard = wait
            .in_time
            .then(|| UrgentGuard::new(context, &call.service));
        pin!(admitted);
        poll_gates(context);
        let mut ticks = interval_at(Instant::now() + WAIT_CHECK_INTERVAL, WAIT_CHECK_INTERVAL);
        let result = loop {
            select! {
                biased;
                result = &mut admitted => break result,
                _ = ticks.tick() => {
                    if is_for_memory(context, &call.service) {
                        context.queue.record_wait(&call.service);
                    }
                    if let Some(refusal) = context.backing_off(&call.service) {
                        return Err(refusal);
                    }
                    let grace = context.settings.borrow().bounds.grace;
                    if !call.is_admitted(&context.shutdown, grace) {
                        return Err(Refusal::ShuttingDown(context.shutdown.retry_after(grace)));
                    }
                }
            }
        };
        match result {
            Ok(permit) => {
                let in_time = wait.in_time;
                log_wait(call, in_time, began.elapsed());
                meter::waited(place(call), began.elapsed());
                return Ok(Admission { permit, in_time });
            }
            Err(rejection) => last_rejection = rejection,
        }
    }
    meter::overloaded(place(call));
    Err(Refusal::Overloaded(last_rejection))
}

/// Counts a waiting request that can still meet its objective until it is dropped.
struct UrgentGuard<'a, P> {
    context: &'a Context<P>,
    service: &'a Service,
}

impl<'a, P> UrgentGuard<'a, P> {
    fn new(context: &'a Context<P>, service: &'a Service) -> UrgentGuard<'a, P> {
        let mut urgent = context.queue.urgent.borrow_mut();
        *urgent.entry(service.clone()).or_default() += 1;
        UrgentGuard { context, service }
    }
}

impl<P> Drop for UrgentGuard<'_, P> {
    fn drop(&mut self) {
        let mut urgent = self.context.queue.urgent.borrow_mut();
        if let Some(count) = urgent.get_mut(self.service) {
            *count = count.saturating_sub(1);
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
    fn has_urgent(&self, service: &Service) -> bool {
        self.urgent
            .borrow()
            .get(service)
            .is_some_and(|count| *count > 0)
    }

    /// Returns the number of requests that wait at peers for a service and can still meet their
    /// objective.
    fn urgent_at_peers(&self, service: &Service) -> u32 {
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
    fn record_wait(&self, service: &Service) {
        let now = Instant::now();
        self.last_waits.borrow_mut().insert(service.clone(), now);
    }

    /// Initializes the average size of a service's requests from the first one.
    fn init_size(&self, call: &Call, work: Work) {
        let mut sizes = self.sizes.borrow_mut();
        let engine_time = wait::engine_time(call.pass.objective);
        sizes
            .entry(call.service.clone())
            .or_insert(Size::new(work, engine_time));
    }

    /// Records the arrival of a stream, and returns the time reserved for its engine.
    fn arrive(&self, call: &Call, work: Work) -> Duration {
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

/// Returns whether the requests that wait for a service are taken to wait for the engines' memory.
/// Where streams differ, they also wait for prompts that are promised an early start, while there
/// is memory for them.
fn is_for_memory<P: Protocol>(context: &Context<P>, service: &Service) -> bool {
    let queue = &context.queue;
    let scarcities = queue.scarcities.borrow();
    let Some(ranked) = scarcities.get(service) else {
        return true;
    };
    let fleet = context.fleet.borrow();
    let selection = context.select_resumed(service);
    let room = |work: Work| fleet.room(service, selection.versions(), work, Duration::MAX);
    ranked.is_memory_full(queue.gateways.get(), room)
}

/// Returns the place of a stream's rank among those of its service.
fn place(call: &Call) -> u8 {
    call.standing.map_or(0, |standing| standing.place)
}

/// Logs by which policy the requests of a service are ordered from now on.
fn log_order(service: &Service, policy: Policy) {
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

/// Logs a wait of at least one polling interval.
fn log_wait(call: &Call, in_time: bool, waited: Duration) {
    if waited < POLL_INTERVAL {
        return;
    }
    note!(
        forwarding::ADMITTED,
        id = call.request.metadata.id.as_str(),
        in_time = in_time,
        waited_ms = waited.as_millis() as u64
    );
}

/// Reports the engines' capacity to the gates. `arriving` is the service of a new request that can
/// still meet its objective.
fn report_capacity<P: Protocol>(context: &Context<P>, arriving: Option<&Service>) {
    let queue = &context.queue;
    let fleet = context.fleet.borrow();
    let sizes = queue.sizes.borrow();
    let scarcities = queue.scarcities.borrow();
    queue.gates.report(|service, running| {
        let size = sizes.get(service)?;
        let selection = context.select_resumed(service);
        let room = |work: Work, within: Duration| {
            let room = fleet.room(service, selection.versions(), work, within);
            // Late requests here come after those at peers that can still be in time.
            match arriving != Some(service) && !queue.has_urgent(service) {
                true => wait::room_behind(room, queue.urgent_at_peers(service)),
                false => room,
            }
        };
        let (processes, draw) = (queue.gateways.get(), rand::random());
        let ranked = scarcities.get(service);
        let ranked = ranked.map(|state| state.room(clock::now(), processes, room, draw));
        let (room, order) = match ranked {
            Some(room) => (room.first, (Policy::Cost, room.bound(running))),
            None => {
                let room = room(size.work(), size.engine_time);
                (wait::share(room, processes, draw), (Policy::Fair, None))
            }
        };
        let report = Report {
            capacity: running.saturating_add(room),
            load: running,
            processes: 1,
        };
        Some((report, order))
    });
}

/// Polls the gates while requests wait.
fn poll_gates<P: Protocol + 'static>(context: &Rc<Context<P>>) {
    if context.queue.polling.replace(true) {
        return;
    }
    let context = context.clone();
    spawn_local(async move {
        let mut ticks = interval(POLL_INTERVAL);
        loop {
            ticks.tick().await;
            report_capacity(&context, None);
            context.queue.gates.tick();
            if !context.queue.gates.any_waiting() {
                break;
            }
        }
        context.queue.polling.set(false);
    });
}
