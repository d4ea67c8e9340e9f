//! The driver of the replica choice in the `routing` crate.

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
    Joined,
    Peer, //
};

/// Choices that are tried until one runs on a server that the document names.
const TRIES: usize = 8;

/// Shortest time after which a caller that found no replica is asked to come back.
pub(crate) const COME_BACK: Duration = Duration::from_millis(500);

/// What the replicas were last known to be, and the generator of the choices between them.
pub(crate) struct Pool {
    inner: Mutex<Inner>,
    origin: Instant,
    data_centre: DataCentre,
}

struct Inner {
    pool: routing::Pool,
    /// Places with replicas, for the summaries of other data centres.
    places: Vec<Deployment>,
    rng: SmallRng,
}

/// A wish for a replica.
pub(crate) struct Wish<'a> {
    pub(crate) service: &'a Service,
    pub(crate) release: &'a Release,
    pub(crate) prefix: Option<Prefix>,
    pub(crate) avoid: &'a [Server],
    pub(crate) resume: bool,
}

/// One piece of work at a replica; dropping it ends it.
pub(crate) struct Sent {
    work: Arc<watch::Sender<u32>>,
    pool: Arc<Pool>,
    server: Server,
    begun: Instant,
    outcome: Mutex<Option<Outcome>>,
}

/// A replica that was chosen, with the work that is about to be sent there.
pub(crate) struct Replica {
    pub(crate) peer: Arc<Peer>,
    pub(crate) joined: Joined,
    pub(crate) server: Server,
    pub(crate) sent: Sent,
}

impl Pool {
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

    fn now(&self) -> Clock {
        self.origin.elapsed()
    }

    /// A link to a backend server's sidecar is up.
    pub(crate) fn up(&self, hello: &Hello) {
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

    /// A heartbeat came.
    pub(crate) fn heard(&self, server: &Server, heartbeat: &Heartbeat, leaving: bool) {
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

    /// The link was lost.
    pub(crate) fn lost(&self, server: &Server) {
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.pool.remove(server);
    }

    /// Chooses a replica, or says when to come back.
    pub(crate) fn choose(&self, wish: &Wish<'_>) -> Result<Server, Duration> {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.sum_up(now, wish, &self.data_centre);
        let mut avoid = wish.avoid.to_vec();
        let mut data_centre = self.data_centre.clone();
        let mut asked = vec![data_centre.clone()];
        let mut avoided = None;
        let mut wait = Duration::ZERO;
        for _ in 0..TRIES {
            let ask = Request {
                service: wish.service,
                version: &wish.release.name,
                data_centre: &data_centre,
                prefix: wish.prefix,
                avoid: &avoid,
                resume: wish.resume,
            };
            let Inner { pool, rng, .. } = &mut *inner;
            match pool.choose(now, &ask, rng) {
                // A data centre gives an avoided server when it has no other. The next epoch of an
                // answer that went back to the engine that fell silent would wait there as well,
                // while another data centre has replicas.
                Choice::Server(server) if wish.avoid.contains(&server) => {
                    avoided.get_or_insert(server);
                    let Some(other) = inner.other(wish, &asked) else {
                        break;
                    };
                    data_centre = other.clone();
                    asked.push(other);
                }
                Choice::Server(server) if wish.release.runs_on(&server) => return Ok(server),
                Choice::Server(server) if avoid.contains(&server) => break,
                // It says that it runs the version, but the document doesn't name it.
                Choice::Server(server) => avoid.push(server),
                Choice::Remote(other) => {
                    asked.push(other.clone());
                    data_centre = other;
                }
                Choice::None { retry_after } => {
                    wait = retry_after;
                    break;
                }
            }
        }
        if let Some(server) = avoided {
            return Ok(server);
        }
        Err(wait.max(COME_BACK))
    }

    /// Counts a piece of work sent to a server.
    pub(crate) fn send(
        self: &Arc<Self>,
        server: &Server,
        prefix: Option<Prefix>,
        work: &Arc<watch::Sender<u32>>,
    ) -> Sent {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.pool.sent(now, server, prefix);
        work.send_modify(|work| *work += 1);
        Sent {
            work: work.clone(),
            pool: self.clone(),
            server: server.clone(),
            begun: Instant::now(),
            outcome: Mutex::new(None),
        }
    }
}

impl Inner {
    /// A data centre with replicas that has not been asked.
    fn other(&self, wish: &Wish<'_>, asked: &[DataCentre]) -> Option<DataCentre> {
        let mut places = self.places.iter();
        let place = places.find(|place| {
            place.service == *wish.service
                && place.version == wish.release.name
                && !asked.contains(&place.data_centre)
        });
        place.map(|place| place.data_centre.clone())
    }

    /// Sums up the replicas of other data centres, of those that there is a link to.
    fn sum_up(&mut self, now: Clock, wish: &Wish<'_>, own: &DataCentre) {
        for place in &self.places {
            let serves = place.service == *wish.service && place.version == wish.release.name;
            if !serves || place.data_centre == *own {
                continue;
            }
            let summary = self.pool.summary(now, place);
            self.pool.record_summary(now, place, &summary);
        }
    }
}

impl Sent {
    /// The first token or byte of the answer came.
    pub(crate) fn answered(&self) {
        let mut inner = self.pool.inner.lock().expect("no panic while held");
        inner.pool.answered(&self.server);
    }

    /// Served to its end.
    pub(crate) fn served(&self) {
        let time = self.begun.elapsed();
        self.ended(Outcome::Served { time });
    }

    /// Ended in another way; the first word counts.
    pub(crate) fn ended(&self, outcome: Outcome) {
        let mut held = self.outcome.lock().expect("no panic while held");
        held.get_or_insert(outcome);
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let outcome = self.outcome.lock().expect("no panic while held").take();
        let outcome = outcome.unwrap_or(Outcome::Cancelled);
        let now = self.pool.now();
        let mut inner = self.pool.inner.lock().expect("no panic while held");
        inner.pool.done(now, &self.server, outcome);
        self.work.send_modify(|work| *work -= 1);
    }
}
