//! Waits of streams until an engine has capacity.

use std::{
    rc::Rc,
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
    Rejection,
    Request, //
};
use names::Service;
use routing::placement::Work;
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

use crate::{
    call::Call,
    clock,
    context::Context,
    meter,
    protocol::Protocol,
    queue::Admission,
    refuse::Refusal, //
};

/// Interval at which the engines' capacity is polled. First events take hundreds of milliseconds,
/// so the delay doesn't matter.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a queued request is recorded as waiting and checks for a shutdown. Shorter
/// waits occur whenever gateways share engines, so they don't count as pressure.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
