//! Gates and who waits at them.

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
    time::Instant, //
};

/// When a request comes back whose gate went away.
const COME_BACK: Duration = Duration::from_millis(50);

/// Gates by service.
pub struct Gates {
    held: Mutex<Held>,
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

/// What a gate knows of a request.
struct Entrant {
    team: Team,
    priority: u8,
    cost: u64,
    arrived: Instant,
}

/// A request that waits. It is sent its pass: when its caller goes away in the same moment, the
/// pass is dropped unread and gives its place back.
struct Waiter {
    entrant: Entrant,
    sender: oneshot::Sender<Admitted>,
}

/// What becomes of a request at its gate.
type Admitted = Result<Permit, Refused>;

/// A request that was told to wait, and where it hears what becomes of it.
type Queued = (Ticket, oneshot::Receiver<Admitted>);

/// A request that wants in.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service that it is for.
    pub service: &'a Service,
    /// Whose it is.
    pub team: &'a Team,
    /// The team's limits.
    pub limit: Limit,
    /// Expected work, in tokens.
    pub cost: u64,
    /// Longest wait.
    pub patience: Duration,
    /// Time to the first token or byte above which it counts as late.
    pub objective: Duration,
    /// Part of the reported room that late first tokens may lower the concurrency to; 1 where the
    /// reports already tell how late a first token would be.
    pub lowest: f64,
    /// Goes on with an answer that has begun.
    pub resume: bool,
}

/// A request that isn't let in: it hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Leave to run; dropping it ends the request.
pub struct Permit {
    gates: Arc<Gates>,
    service: Service,
    entrant: Entrant,
    used: AtomicU64,
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
    /// No gates yet; times are counted from an origin.
    pub fn new(origin: Instant) -> Arc<Gates> {
        Arc::new(Gates {
            held: Mutex::new(Held {
                gates: HashMap::new(),
                rng: SmallRng::seed_from_u64(rand::random()),
            }),
            origin,
        })
    }

    /// The state, whose every change is a single step, so that a panic of another holder leaves it
    /// whole.
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a request in, at once or after a wait.
    ///
    /// # Errors
    ///
    /// [`Refused`], at once or when its patience is over.
    pub async fn admit(self: &Arc<Self>, request: Request<'_>) -> Result<Permit, Refused> {
        let Some((ticket, outcome)) = self.arrive(&request)? else {
            return Ok(self.pass(request.service, Entrant::new(&request)));
        };
        let _waiting = Waiting {
            gates: self,
            service: request.service,
            ticket,
        };
        match outcome.await {
            Ok(outcome) => outcome,
            Err(_) => Err(Refused {
                reason: Reason::Full,
                retry_after: COME_BACK,
            }),
        }
    }

    fn arrive(&self, request: &Request<'_>) -> Result<Option<Queued>, Refused> {
        let arrival = Arrival {
            team: request.team,
            limit: request.limit,
            cost: request.cost,
            max_wait: request.patience,
            resume: request.resume,
        };
        let now = self.origin.elapsed();
        let mut held = self.held();
        let Held { gates, rng } = &mut *held;
        let line = gates
            .entry(request.service.clone())
            .or_insert_with(|| Line {
                gate: Gate::new(Settings {
                    first_token_target: request.objective,
                    min_factor: request.lowest,
                    ..Settings::default()
                }),
                waiting: HashMap::new(),
            });
        match line.gate.arrive(now, &arrival, rng) {
            Verdict::Admit => Ok(None),
            Verdict::Queue(ticket) => {
                let (sender, receiver) = oneshot::channel();
                let waiter = Waiter {
                    entrant: Entrant::new(request),
                    sender,
                };
                line.waiting.insert(ticket, waiter);
                Ok(Some((ticket, receiver)))
            }
            Verdict::Refuse {
                reason,
                retry_after,
            } => Err(Refused {
                reason,
                retry_after,
            }),
        }
    }

    fn pass(self: &Arc<Self>, service: &str, entrant: Entrant) -> Permit {
        Permit {
            gates: self.clone(),
            service: service.to_string(),
            entrant,
            used: AtomicU64::new(0),
            admitted: Instant::now(),
            first: Mutex::new(None),
        }
    }

    /// Releases what can go on at one service, and refuses what can't be in time.
    fn release(self: &Arc<Self>, service: &str) {
        // The lock is given back before anybody is told: a pass that nobody reads takes it again.
        for (waiter, released) in self.released(service) {
            let outcome = match released {
                Released::Admit(_) => Ok(self.pass(service, waiter.entrant)),
                Released::Refuse {
                    reason,
                    retry_after,
                    ..
                } => Err(Refused {
                    reason,
                    retry_after,
                }),
            };
            // The caller may have gone away in this moment.
            let _ = waiter.sender.send(outcome);
        }
    }

    fn released(&self, service: &str) -> Vec<(Waiter, Released)> {
        let now = self.origin.elapsed();
        let mut held = self.held();
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

    /// Requests that wait at a service's gate.
    pub fn waiting(&self, service: &Service) -> usize {
        let held = self.held();
        held.gates
            .get(service)
            .map_or(0, |line| line.gate.waiting())
    }

    /// Whether any request waits.
    pub fn any_waiting(&self) -> bool {
        let held = self.held();
        held.gates.values().any(|line| !line.waiting.is_empty())
    }

    /// Lets waiting requests go on where there is room, and refuses those whose patience is over.
    pub fn tick(self: &Arc<Self>) {
        let services: Vec<Service> = {
            let held = self.held();
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

    /// Takes what the servers of each service have room for; `None` where nothing is known, and
    /// what has to be refused will be for want of a server. The second argument is the number of
    /// this process's own requests in progress.
    pub fn report(&self, mut report: impl FnMut(&Service, u32) -> Option<Report>) {
        let mut held = self.held();
        for (service, line) in &mut held.gates {
            if let Some(report) = report(service, line.gate.running()) {
                line.gate.report(report);
            }
        }
    }
}

impl Entrant {
    fn new(request: &Request<'_>) -> Entrant {
        Entrant {
            team: request.team.clone(),
            priority: request.limit.priority,
            cost: request.cost,
            arrived: Instant::now(),
        }
    }
}

impl Permit {
    /// The first token or byte came.
    pub fn first(&self) {
        let mut first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        first.get_or_insert_with(|| self.entrant.arrived.elapsed());
    }

    /// Counts work done.
    pub fn used(&self, tokens: u64) {
        self.used.fetch_add(tokens, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let done = Done {
            priority: self.entrant.priority,
            cost: self.entrant.cost,
            used: self.used.load(Ordering::Relaxed),
            time: self.admitted.elapsed(),
            first_token: *self.first.lock().unwrap_or_else(PoisonError::into_inner),
        };
        {
            let mut held = self.gates.held();
            if let Some(line) = held.gates.get_mut(&self.service) {
                line.gate.finish(&self.entrant.team, &done);
            }
        }
        self.gates.release(&self.service);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut held = self.gates.held();
        let Some(line) = held.gates.get_mut(self.service) else {
            return;
        };
        // A ticket that was released already isn't there any more.
        if line.waiting.remove(&self.ticket).is_some() {
            line.gate.cancel(self.ticket);
        }
    }
}
