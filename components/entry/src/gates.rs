//! The driver of the admission in the `admission` crate: a gate for each service.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use admission::{
    Arrival,
    Budget,
    Done,
    Gate,
    Limit,
    Reason,
    Released,
    Report,
    Settings,
    Ticket,
    Verdict, //
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
    time::{
        Instant,
        MissedTickBehavior,
        interval, //
    }, //
};

use crate::{
    problem::{
        Code,
        Problem, //
    },
    state::State,
};

/// Pace at which waiting requests are looked at.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two reports of the replicas' load to the gates.
const REPORT: u32 = 4;

/// Gates by service, and the budget of retries.
pub(crate) struct Gates {
    held: Mutex<Held>,
    budget: Mutex<Budget>,
    origin: Instant,
}

struct Held {
    gates: HashMap<Service, Line>,
    rng: SmallRng,
}

/// One service's gate, and who waits at it.
struct Line {
    gate: Gate,
    waiting: HashMap<Ticket, Waiter>,
}

/// A request that waits. It is sent its pass: when its caller goes away in the same moment, the
/// pass is dropped unread and gives its place back.
struct Waiter {
    team: Team,
    cost: u64,
    arrived: Instant,
    sender: oneshot::Sender<Admitted>,
}

/// What becomes of a request at its gate.
type Admitted = Result<Pass, Problem>;

/// A request that was told to wait, and where it hears what becomes of it.
type Queued = (Ticket, oneshot::Receiver<Admitted>);

/// A request that wants in.
pub(crate) struct Knock<'a> {
    pub(crate) service: &'a Service,
    pub(crate) team: &'a Team,
    pub(crate) limit: Limit,
    /// Expected work, in tokens.
    pub(crate) cost: u64,
    /// Longest wait.
    pub(crate) patience: Duration,
    /// Goes on with an answer that has begun.
    pub(crate) resume: bool,
}

/// Leave to run; dropping it ends the request.
pub(crate) struct Pass {
    gates: Arc<Gates>,
    service: Service,
    team: Team,
    cost: u64,
    used: AtomicU64,
    arrived: Instant,
    admitted: Instant,
    first: Mutex<Option<Duration>>,
}

/// Takes a waiting request out when its caller went away.
struct Waiting<'a> {
    gates: &'a Gates,
    service: &'a Service,
    ticket: Ticket,
}

impl Gates {
    pub(crate) fn new(origin: Instant) -> Arc<Self> {
        Arc::new(Self {
            held: Mutex::new(Held {
                gates: HashMap::new(),
                rng: SmallRng::seed_from_u64(rand::random()),
            }),
            budget: Mutex::default(),
            origin,
        })
    }

    /// Lets a request in, at once or after a wait; or says at once why not and when to come back.
    pub(crate) async fn admit(self: &Arc<Self>, knock: Knock<'_>) -> Result<Pass, Problem> {
        let Some((ticket, outcome)) = self.arrive(&knock)? else {
            let arrived = Instant::now();
            return Ok(self.pass(knock.service, knock.team.clone(), knock.cost, arrived));
        };
        let _waiting = Waiting {
            gates: self,
            service: knock.service,
            ticket,
        };
        match outcome.await {
            Ok(outcome) => outcome,
            Err(_) => Err(refusal(Reason::Full, TICK)),
        }
    }

    /// Draws a retry from the budget.
    pub(crate) fn retry(&self) -> bool {
        self.budget.lock().expect("no panic while held").retry()
    }

    /// Draws the continuation of an answer from the budget.
    pub(crate) fn resume(&self) {
        self.budget.lock().expect("no panic while held").resume();
    }

    fn arrive(&self, knock: &Knock<'_>) -> Result<Option<Queued>, Problem> {
        let arrival = Arrival {
            team: knock.team,
            limit: knock.limit,
            cost: knock.cost,
            patience: knock.patience,
            resume: knock.resume,
        };
        let now = self.origin.elapsed();
        let mut held = self.held.lock().expect("no panic while held");
        let Held { gates, rng } = &mut *held;
        let line = gates.entry(knock.service.clone()).or_insert_with(|| Line {
            gate: Gate::new(Settings::default()),
            waiting: HashMap::new(),
        });
        match line.gate.arrive(now, &arrival, rng) {
            Verdict::Admit => Ok(None),
            Verdict::Queue(ticket) => {
                let (sender, receiver) = oneshot::channel();
                let waiter = Waiter {
                    team: knock.team.clone(),
                    cost: knock.cost,
                    arrived: Instant::now(),
                    sender,
                };
                line.waiting.insert(ticket, waiter);
                Ok(Some((ticket, receiver)))
            }
            Verdict::Refuse {
                reason,
                retry_after,
            } => Err(refusal(reason, retry_after)),
        }
    }

    fn pass(self: &Arc<Self>, service: &str, team: Team, cost: u64, arrived: Instant) -> Pass {
        self.budget.lock().expect("no panic while held").request();
        Pass {
            gates: self.clone(),
            service: service.to_string(),
            team,
            cost,
            used: AtomicU64::new(0),
            arrived,
            admitted: Instant::now(),
            first: Mutex::new(None),
        }
    }

    /// Releases what can go on at one service, and refuses what can't be in time.
    fn release(self: &Arc<Self>, service: &str) {
        // The lock is given back before anybody is told: a pass that nobody reads takes it again.
        for (waiter, released) in self.released(service) {
            let outcome = match released {
                Released::Admit(_) => {
                    Ok(self.pass(service, waiter.team, waiter.cost, waiter.arrived))
                }
                Released::Refuse {
                    reason,
                    retry_after,
                    ..
                } => Err(refusal(reason, retry_after)),
            };
            // The caller may have gone away in this moment.
            let _ = waiter.sender.send(outcome);
        }
    }

    fn released(&self, service: &str) -> Vec<(Waiter, Released)> {
        let now = self.origin.elapsed();
        let mut held = self.held.lock().expect("no panic while held");
        let Held { gates, rng } = &mut *held;
        let Some(line) = gates.get_mut(service) else {
            return Vec::new();
        };
        let mut all = Vec::new();
        for released in line.gate.tick(now, rng) {
            let (Released::Admit(ticket) | Released::Refuse { ticket, .. }) = &released;
            if let Some(waiter) = line.waiting.remove(ticket) {
                all.push((waiter, released));
            }
        }
        all
    }

    fn tick(self: &Arc<Self>) {
        let services: Vec<Service> = {
            let held = self.held.lock().expect("no panic while held");
            let busy = held
                .gates
                .iter()
                .filter(|(_, line)| !line.waiting.is_empty());
            busy.map(|(service, _)| service.clone()).collect()
        };
        for service in services {
            self.release(&service);
        }
    }

    fn report(&self, state: &State) {
        let sharing = state.hosts.sharing(state);
        let mut held = self.held.lock().expect("no panic while held");
        for (service, line) in &mut held.gates {
            let (capacity, load) = state.fleet.load(service);
            // No replica has reported yet: nothing is known, and what has to be refused will be
            // for want of a replica.
            if capacity == 0 {
                continue;
            }
            line.gate.report(Report {
                capacity,
                load,
                entries: sharing,
            });
        }
    }
}

/// Looks at the gates until the entry ends.
pub(crate) async fn follow(state: Arc<State>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    loop {
        tokio::select! {
            () = state.ended.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if count.is_multiple_of(REPORT) {
            state.gates.report(&state);
        }
        state.gates.tick();
        count = count.wrapping_add(1);
    }
}

impl Pass {
    /// The first token or byte came.
    pub(crate) fn first(&self) {
        let mut first = self.first.lock().expect("no panic while held");
        first.get_or_insert_with(|| self.arrived.elapsed());
    }

    /// Counts work done.
    pub(crate) fn used(&self, tokens: u64) {
        self.used.fetch_add(tokens, Ordering::Relaxed);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let done = Done {
            cost: self.cost,
            used: self.used.load(Ordering::Relaxed),
            time: self.admitted.elapsed(),
            first: *self.first.lock().expect("no panic while held"),
        };
        {
            let mut held = self.gates.held.lock().expect("no panic while held");
            if let Some(line) = held.gates.get_mut(&self.service) {
                line.gate.finish(&self.team, &done);
            }
        }
        self.gates.release(&self.service);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut held = self.gates.held.lock().expect("no panic while held");
        let Some(line) = held.gates.get_mut(self.service) else {
            return;
        };
        // A ticket that was released already isn't there any more.
        if line.waiting.remove(&self.ticket).is_some() {
            line.gate.cancel(self.ticket);
        }
    }
}

fn refusal(reason: Reason, retry_after: Duration) -> Problem {
    let message = match reason {
        Reason::InFlight => "the team has as many requests in progress as it may",
        Reason::Rate => "the team sends more requests a second than it may",
        Reason::Full => "there are more requests than can be served in time",
        Reason::Late => "the request could not be begun in time",
    };
    Problem::new(Code::Busy, message).retry(retry_after)
}
