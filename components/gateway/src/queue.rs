//! Streams that wait until an engine has room.
//!
//! The load that it answers: several times more callers than the engines can serve. Sent on at once,
//! all prompts would be read side by side, each first event would come late, and nobody would be
//! served in time. So a stream waits here, where the order can still be changed, and goes on when an
//! engine can begin it soon. Whoever can't be in time any more stands behind all who can, as a late
//! answer is better than none; whoever can't be served at all hears so at once.

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
    turn::{
        self,
        Ask, //
    }, //
};
use events::{
    direct,
    note, //
};
use gates::{
    Gates,
    Permit,
    Refused, //
    Request,
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

use crate::{
    edge::Edge,
    handle::{
        Call,
        Context, //
    },
    refuse::Refusal, //
};

/// Pace at which it is looked whether an engine has room: first events take hundreds of
/// milliseconds, so that this much more isn't noticed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pace at which a request that waits looks whether the process is stopping. A shorter wait is one
/// for its turn among the entries and doesn't count as pressure.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a wait for which a service counts as pressed: as long as runs take, whose memory
/// is what others wait for.
const PRESSURE_TTL: Duration = Duration::from_secs(5);

/// Weight of a new request in the usual size of a service's requests.
const EWMA_WEIGHT: f64 = 0.1;

/// Gates of the services that have engines.
pub struct Queue {
    gates: Arc<Gates>,
    sizes: RefCell<HashMap<Service, Size>>,
    /// When a request last had to wait, by service.
    waited: RefCell<HashMap<Service, Instant>>,
    /// Requests that wait here and can still be in time, by service.
    hurried: RefCell<HashMap<Service, u32>>,
    /// Such requests at peers.
    peers: RefCell<HashMap<Incarnation, Vec<(Id, u32)>>>,
    /// Entries that share the engines.
    entries: Cell<u32>,
    following: Cell<bool>,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            gates: Gates::new(Instant::now()),
            sizes: RefCell::default(),
            waited: RefCell::default(),
            hurried: RefCell::default(),
            peers: RefCell::default(),
            entries: Cell::new(1),
            following: Cell::new(false),
        }
    }
}

/// Usual size of a service's requests.
#[derive(Clone, Copy, Debug)]
struct Size {
    tokens: f64,
    unread: f64,
    /// Time that an engine may need for the first event.
    within: Duration,
}

impl Size {
    fn learn(&mut self, work: Work) {
        self.tokens += EWMA_WEIGHT * (work.tokens as f64 - self.tokens);
        self.unread += EWMA_WEIGHT * (work.unread as f64 - self.unread);
    }

    fn work(&self) -> Work {
        Work {
            requests: 1,
            tokens: self.tokens as u64,
            unread: self.unread as u64,
        }
    }
}

/// A request's place among those that the engines have room for, until it is dropped.
pub struct Place {
    pass: Permit,
    in_time: bool,
}

impl Place {
    /// The first event came. Where that can't have been in time, it says nothing of the engines.
    pub fn first(&self) {
        if self.in_time {
            self.pass.first();
        }
    }
}

/// Waits until an engine has room for a request's work.
///
/// # Errors
///
/// [`Refusal`] when it can't be served, or the process stops first. It hasn't run.
pub async fn enter<E: Edge + 'static>(
    context: &Rc<Context<E>>,
    call: &Call,
    work: Work,
) -> Result<Place, Refusal> {
    let began = Instant::now();
    context.queue.know(call, work);
    let mut refused = Refused {
        reason: Reason::Late,
        retry_after: POLL_INTERVAL,
    };
    let team = call.team.clone().unwrap_or_default();
    let ask = Ask {
        rank: call.pass.rank,
        objective: call.pass.objective,
        timeout: call.pass.timeout,
        deadline: call.packet.ask.deadline,
        usual: context.departure.usual(&call.route),
    };
    for turn in ask.turns() {
        report(context, turn.in_time.then_some(&call.service));
        let admitted = context.queue.gates.admit(Request {
            service: &call.service,
            team: &team,
            limit: turn.limit,
            cost: work.tokens,
            patience: turn.patience,
            objective: call.pass.objective,
            lowest: 1.0,
            resume: call.packet.ask.after.is_some(),
        });
        let _hurried = turn.in_time.then(|| Hurried::new(context, &call.service));
        pin!(admitted);
        follow(context);
        let mut pace = interval_at(Instant::now() + STOP_POLL_INTERVAL, STOP_POLL_INTERVAL);
        let ended = loop {
            select! {
                biased;
                ended = &mut admitted => break ended,
                _ = pace.tick() => {
                    context.queue.wait(&call.service);
                    let grace = context.settings.borrow().bounds.grace;
                    if !context.departure.fits(&call.route, call.pass.objective, grace) {
                        return Err(Refusal::Leaving(context.departure.retry_after()));
                    }
                }
            }
        };
        match ended {
            Ok(pass) => {
                let in_time = turn.in_time;
                note(call, in_time, began.elapsed());
                return Ok(Place { pass, in_time });
            }
            Err(error) => refused = error,
        }
    }
    Err(Refusal::Busy(refused))
}

/// A request that waits and can still be in time, until it is dropped.
struct Hurried<'a, E> {
    context: &'a Context<E>,
    service: &'a Service,
}

impl<'a, E> Hurried<'a, E> {
    fn new(context: &'a Context<E>, service: &'a Service) -> Hurried<'a, E> {
        let mut hurried = context.queue.hurried.borrow_mut();
        *hurried.entry(service.clone()).or_default() += 1;
        Hurried { context, service }
    }
}

impl<E> Drop for Hurried<'_, E> {
    fn drop(&mut self) {
        let mut hurried = self.context.queue.hurried.borrow_mut();
        if let Some(count) = hurried.get_mut(self.service) {
            *count = count.saturating_sub(1);
        }
    }
}

// What peers tell one another.
impl Queue {
    /// What waits here, for a beacon.
    pub fn tell(&self, beacon: &mut Beacon) {
        let hurried = self.hurried.borrow();
        let waiting = hurried.iter().filter(|(_, count)| **count > 0);
        let waiting = waiting.map(|(service, count)| (beacon::id(service), *count));
        beacon.queued.extend(waiting);
    }

    /// Takes what a peer tells.
    pub fn hear(&self, beacon: &Beacon) {
        let mut peers = self.peers.borrow_mut();
        match beacon.queued.is_empty() {
            true => peers.remove(&beacon.incarnation),
            false => peers.insert(beacon.incarnation, beacon.queued.clone()),
        };
    }

    /// Forgets a peer that ended or fell silent.
    pub fn forget(&self, peer: Incarnation) {
        self.peers.borrow_mut().remove(&peer);
    }

    /// Notes the number of entries that share the engines.
    pub fn stand(&self, entries: usize) {
        self.entries.set(u32::try_from(entries).unwrap_or(u32::MAX));
    }
}

impl Queue {
    fn hurries(&self, service: &Service) -> bool {
        self.hurried
            .borrow()
            .get(service)
            .is_some_and(|count| *count > 0)
    }

    /// Requests that wait at peers for a service and can still be in time.
    fn hurried_elsewhere(&self, service: &Service) -> u32 {
        let number = beacon::id(service);
        let peers = self.peers.borrow();
        let all = peers.values().flatten();
        all.filter(|(service, _)| *service == number)
            .map(|(_, count)| count)
            .sum()
    }

    /// Whether requests had to wait for a service a moment ago.
    pub fn pressed(&self, service: &Service) -> bool {
        let waited = self.waited.borrow();
        waited
            .get(service)
            .is_some_and(|at| at.elapsed() < PRESSURE_TTL)
    }

    fn wait(&self, service: &Service) {
        let now = Instant::now();
        self.waited.borrow_mut().insert(service.clone(), now);
    }

    /// Takes the first request of a service for what all are like.
    fn know(&self, call: &Call, work: Work) {
        let mut sizes = self.sizes.borrow_mut();
        sizes.entry(call.service.clone()).or_insert(Size {
            tokens: work.tokens as f64,
            unread: work.unread as f64,
            within: turn::engine(call.pass.objective),
        });
    }

    /// Learns the work of a request as it was sent: without what its engine has of the prompt.
    pub fn sent(&self, service: &Service, work: Work) {
        if let Some(size) = self.sizes.borrow_mut().get_mut(service) {
            size.learn(work);
        }
    }
}

/// Logs a wait that was longer than a look.
fn note(call: &Call, in_time: bool, waited: Duration) {
    if waited < POLL_INTERVAL {
        return;
    }
    note!(
        direct::ADMITTED,
        id = call.packet.ask.id.as_str(),
        in_time = in_time,
        waited_ms = waited.as_millis() as u64
    );
}

/// Tells the gates what the engines have room for; `fresh` is the service of a request that comes
/// now and can be in time.
fn report<E: Edge>(context: &Context<E>, fresh: Option<&Service>) {
    let queue = &context.queue;
    let fleet = context.fleet.borrow();
    let sizes = queue.sizes.borrow();
    queue.gates.report(|service, running| {
        let size = sizes.get(service)?;
        let pick = context.moving.limit(service);
        let versions = pick.versions();
        let mut room = fleet.room(service, versions, size.work(), size.within);
        // What is late here stands behind what can be in time elsewhere.
        if fresh != Some(service) && !queue.hurries(service) {
            room = turn::behind(room, queue.hurried_elsewhere(service));
        }
        let room = turn::share(room, queue.entries.get(), rand::random());
        Some(Report {
            capacity: running.saturating_add(room),
            load: running,
            entries: 1,
        })
    });
}

/// Sees to the gates while requests wait.
fn follow<E: Edge + 'static>(context: &Rc<Context<E>>) {
    if context.queue.following.replace(true) {
        return;
    }
    let context = context.clone();
    spawn_local(async move {
        let mut pace = interval(POLL_INTERVAL);
        loop {
            pace.tick().await;
            report(&context, None);
            context.queue.gates.tick();
            if !context.queue.gates.any_waiting() {
                break;
            }
        }
        context.queue.following.set(false);
    });
}
