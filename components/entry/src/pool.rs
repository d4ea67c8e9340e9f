//! Driver of the replica choice in the `routing` crate.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use environment::document::Release;
use names::{
    Clock,
    DataCentre,
    Server,
    Service, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
use routing::{
    Choice,
    Deployment,
    Outcome,
    Prefix,
    Report,
    Request, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};
use wire::frame::{
    Heartbeat,
    Hello, //
};

use crate::fleet::{
    Connection,
    Peer, //
};

/// Maximum number of choices until one is a server that the document names.
const MAX_CHOICES: usize = 8;

/// Minimum time after which a caller that found no replica may retry.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Last known state of the replicas, and the random choice between them.
pub(crate) struct Pool {
    inner: Mutex<Inner>,
    origin: Instant,
    data_centre: DataCentre,
}

/// State behind the lock.
struct Inner {
    pool: routing::Pool,
    /// Places that have had replicas, for the summaries of other data centres.
    places: Vec<Deployment>,
    rng: SmallRng,
}

/// What a replica is chosen by.
pub(crate) struct Criteria<'a> {
    pub(crate) service: &'a Service,
    pub(crate) release: &'a Release,
    /// Hash of the prompt's prefix, to find a replica that has it cached.
    pub(crate) prefix: Option<Prefix>,
    /// Servers to use only when there is no other.
    pub(crate) avoid: &'a [Server],
    /// Whether the work resumes an answer.
    pub(crate) resume: bool,
}

/// Counts one unit of work at a replica until it is dropped, and reports its outcome then.
pub(crate) struct Dispatch {
    work: Arc<watch::Sender<u32>>,
    pool: Arc<Pool>,
    server: Server,
    started: Instant,
    outcome: Mutex<Option<Outcome>>,
}

/// A chosen replica, with the unit of work that is about to be sent to it.
pub(crate) struct Replica {
    pub(crate) peer: Arc<Peer>,
    pub(crate) connection: Connection,
    pub(crate) server: Server,
    pub(crate) dispatch: Dispatch,
}

impl Pool {
    /// Creates an empty pool; `origin` is the origin of its clock readings.
    pub(crate) fn new(data_centre: &DataCentre, origin: Instant) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                pool: routing::Pool::new(routing::Settings::default()),
                places: Vec::new(),
                rng: SmallRng::seed_from_u64(rand::random()),
            }),
            origin,
            data_centre: data_centre.clone(),
        })
    }

    /// Returns the time since the origin.
    fn now(&self) -> Clock {
        self.origin.elapsed()
    }

    /// Adds the backend server of a sidecar whose link is up.
    pub(crate) fn add(&self, hello: &Hello) {
        let Some(backend) = &hello.backend else {
            return;
        };
        let place = Deployment {
            service: backend.service.clone(),
            version: backend.version.clone(),
            data_centre: hello.data_centre.clone(),
        };
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.pool.insert(now, &backend.server, &place);
        if !inner.places.contains(&place) {
            inner.places.push(place);
        }
    }

    /// Updates a server from a heartbeat. `leaving` is set when the host list has its host as
    /// leaving.
    pub(crate) fn update(&self, server: &Server, heartbeat: &Heartbeat, leaving: bool) {
        let load = heartbeat.load.unwrap_or_default();
        let report = Report {
            running: load.running,
            queued: load.queued,
            capacity: load.capacity,
            healthy: heartbeat.healthy,
            leaving: heartbeat.leaving || leaving,
            age: load.age,
        };
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.pool.record_report(now, server, &report);
    }

    /// Removes a server whose link was lost.
    pub(crate) fn remove(&self, server: &Server) {
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.pool.remove(server);
    }

    /// Chooses a replica.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry when there is no replica.
    pub(crate) fn choose(&self, criteria: &Criteria<'_>) -> Result<Server, Duration> {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.refresh_summaries(now, criteria, &self.data_centre);
        let mut avoid = criteria.avoid.to_vec();
        let mut data_centre = self.data_centre.clone();
        let mut tried = vec![data_centre.clone()];
        let mut avoided = None;
        let mut retry_delay = Duration::ZERO;
        for _ in 0..MAX_CHOICES {
            let query = Request {
                service: criteria.service,
                version: &criteria.release.name,
                data_centre: &data_centre,
                prefix: criteria.prefix,
                avoid: &avoid,
                resume: criteria.resume,
            };
            let Inner { pool, rng, .. } = &mut *inner;
            match pool.choose(now, &query, rng) {
                // A data centre returns an avoided server when it has no other. Try the other data
                // centres first: on the engine that stopped responding, the next epoch of an
                // answer would stall as well.
                Choice::Server(server) if criteria.avoid.contains(&server) => {
                    avoided.get_or_insert(server);
                    let Some(other) = inner.other_data_centre(criteria, &tried) else {
                        break;
                    };
                    data_centre = other.clone();
                    tried.push(other);
                }
                Choice::Server(server) if criteria.release.runs_on(&server) => return Ok(server),
                Choice::Server(server) if avoid.contains(&server) => break,
                // The server reports the version, but the document doesn't name the server.
                Choice::Server(server) => avoid.push(server),
                Choice::Remote(other) => {
                    tried.push(other.clone());
                    data_centre = other;
                }
                Choice::None { retry_after } => {
                    retry_delay = retry_after;
                    break;
                }
            }
        }
        if let Some(server) = avoided {
            return Ok(server);
        }
        Err(retry_delay.max(MIN_RETRY_AFTER))
    }

    /// Counts a unit of work that is sent to a server.
    pub(crate) fn start(
        self: &Arc<Self>,
        server: &Server,
        prefix: Option<Prefix>,
        work: &Arc<watch::Sender<u32>>,
    ) -> Dispatch {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.pool.sent(now, server, prefix);
        work.send_modify(|work| *work += 1);
        Dispatch {
            work: work.clone(),
            pool: self.clone(),
            server: server.clone(),
            started: Instant::now(),
            outcome: Mutex::new(None),
        }
    }
}

impl Inner {
    /// Returns a data centre with replicas that is not in `tried`.
    fn other_data_centre(
        &self,
        criteria: &Criteria<'_>,
        tried: &[DataCentre],
    ) -> Option<DataCentre> {
        let mut places = self.places.iter();
        let place = places.find(|place| {
            place.service == *criteria.service
                && place.version == criteria.release.name
                && !tried.contains(&place.data_centre)
        });
        place.map(|place| place.data_centre.clone())
    }

    /// Refreshes the summaries of other data centres from the replicas that this entry has links to.
    fn refresh_summaries(&mut self, now: Clock, criteria: &Criteria<'_>, own: &DataCentre) {
        for place in &self.places {
            let serves =
                place.service == *criteria.service && place.version == criteria.release.name;
            if !serves || place.data_centre == *own {
                continue;
            }
            let summary = self.pool.summary(now, place);
            self.pool.record_summary(now, place, &summary);
        }
    }
}

impl Dispatch {
    /// Records the first token or byte of the answer.
    pub(crate) fn answered(&self) {
        let mut inner = self.pool.inner.lock().expect("no panic while held");
        inner.pool.answered(&self.server);
    }

    /// Records that the work was completed.
    pub(crate) fn served(&self) {
        let time = self.started.elapsed();
        self.finish(Outcome::Served { time });
    }

    /// Records the outcome, unless one is recorded already.
    pub(crate) fn finish(&self, outcome: Outcome) {
        let mut recorded = self.outcome.lock().expect("no panic while held");
        recorded.get_or_insert(outcome);
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        let outcome = self.outcome.lock().expect("no panic while held").take();
        let outcome = outcome.unwrap_or(Outcome::Cancelled);
        let now = self.pool.now();
        let mut inner = self.pool.inner.lock().expect("no panic while held");
        inner.pool.done(now, &self.server, outcome);
        self.work.send_modify(|work| *work -= 1);
    }
}
