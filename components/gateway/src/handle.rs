//! From a caller's request to its answer.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use admission::{
    Outlook,
    Purpose, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use environment::{
    Index,
    document::{
        Bounds,
        Engine,
        Pass, //
    },
};
use events::{
    direct,
    note, //
};
use http::{
    Request,
    Response,
    header::{
        CONTENT_LENGTH,
        HOST, //
    },
    request::Parts, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use names::{
    Route,
    Service,
    Team, //
};
use spread::Freshness;
use tokio::time::{
    Instant,
    timeout_at, //
};

use crate::{
    body::Body,
    cache_lookup::CacheLookup, //
    clock,
    departure::Departure,
    document_cache::{
        DocumentCache,
        State, //
    },
    edge::{
        Ask,
        Edge,
        Prompt, //
    },
    fleet::Fleet,
    initial_sync::InitialSync,
    moving::Moving,
    plain,
    queue::Queue,
    quotas::Quotas,
    refuse::{
        Basis,
        Refusal, //
    },
    sender::{
        Packet,
        Sender, //
    },
    settings::Settings,
    stream,
};

/// Time for the body of a request where the document gives none.
const BODY: Duration = Duration::from_secs(10);

/// What a request needs.
pub struct Context<E> {
    /// Settings of the process.
    pub settings: Rc<RefCell<Rc<Settings>>>,
    /// The document.
    pub document_cache: RefCell<DocumentCache>,
    /// How current it is.
    pub fresh: Rc<RefCell<Freshness>>,
    /// The backend servers.
    pub fleet: Rc<RefCell<Fleet>>,
    /// The way to them.
    pub sender: Sender<E>,
    /// Retries of each service.
    pub quotas: Rc<RefCell<Quotas>>,
    /// What engines said of their caches.
    pub cache_lookup: CacheLookup,
    /// Streams that wait for an engine.
    pub queue: Rc<Queue>,
    /// Moves between versions.
    pub moving: Rc<Moving>,
    /// The first call to the store.
    pub initial_sync: InitialSync,
    /// How long answers take.
    pub outlook: RefCell<Outlook>,
    /// The process's way out.
    pub departure: Rc<Departure>,
    /// When the process started.
    pub started: Instant,
    /// Requests in progress.
    pub running: Cell<usize>,
    /// Callers' connections.
    pub connections: Cell<usize>,
}

/// A request that was understood and may be sent. Clones share what is sent.
#[derive(Clone)]
pub struct Call {
    /// What is sent.
    pub packet: Rc<Packet>,
    /// The route that it matched.
    pub route: Route,
    /// How requests of its route are passed through.
    pub pass: Pass,
    /// Where it goes.
    pub service: Service,
    /// Whose it is.
    pub team: Option<Team>,
    /// What it was admitted by.
    pub basis: Basis,
    /// When it came.
    pub arrived: Instant,
    /// When the caller gets a final answer, whatever it is.
    pub until: Instant,
    /// The servers copy a run's memory to one another.
    pub backups: bool,
    /// How long a copy is kept that isn't used.
    pub copy_kept: Duration,
}

impl Call {
    /// Time that is left for the caller.
    pub fn left(&self) -> Option<Duration> {
        let deadline = self.packet.ask.deadline?;
        let left = self.arrived + deadline;
        Some(left.saturating_duration_since(Instant::now()))
    }

    /// Logs a refusal, and gives its answer.
    pub fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        refusal.tell(&self.packet.ask.id, self.arrived, &self.basis)
    }

    /// The work of its prompt.
    pub fn prompt(&self) -> Option<&Prompt> {
        self.packet.ask.prompt.as_ref()
    }
}

impl<E: Edge + 'static> Context<E> {
    /// Answers a request.
    pub async fn serve(self: &Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.running.set(self.running.get() + 1);
        let running = Running(self.clone());
        let mut response = match self.admit(request).await {
            Ok(call) if call.pass.stream => stream::run(self, call).await,
            Ok(call) => plain::run(self, call).await,
            Err(refused) => refused,
        };
        response.body_mut().hold(running);
        response
    }

    /// What decisions go by now, for logs.
    fn basis(&self) -> Basis {
        let document_cache = self.document_cache.borrow();
        let confirmed = self.fresh.borrow().confirmed_at();
        Basis {
            document: document_cache
                .edition()
                .map_or(0, |edition| edition.version),
            age: confirmed.map(|at| clock::now().saturating_sub(at)),
        }
    }

    /// What requests can go by now.
    pub fn state(&self, settings: &Settings) -> State {
        let confirmed = self.fresh.borrow().confirmed_at();
        let revocation = settings.bounds.revocation;
        self.document_cache
            .borrow()
            .state(clock::now(), confirmed, revocation)
    }

    /// Counts a send of a request; `false` when it is a retry and there is none left.
    pub fn may_send(&self, service: &Service, first: bool, purpose: Purpose) -> bool {
        let bound = self.settings.borrow().bounds.retries();
        let mut quotas = self.quotas.borrow_mut();
        if first {
            quotas.request(service, &bound);
            return true;
        }
        quotas.retry(service, &bound, purpose)
    }

    /// How the engines of a service work.
    fn engine<'a>(index: &'a Index, service: &Service) -> Option<&'a Engine> {
        let provision = index.document().service(service)?;
        provision.direct.as_ref()?.engine.as_ref()
    }

    /// Lets a request wait for the first reading of the store, while what it needs isn't known yet.
    async fn synced(&self, ask: &Ask, known: impl FnOnce() -> bool) {
        if self.initial_sync.over() || known() {
            return;
        }
        let came = Instant::now();
        self.initial_sync.wait(ask.deadline).await;
        note!(
            direct::OPENED,
            id = ask.id.as_str(),
            document = self.basis().document,
            waited_ms = came.elapsed().as_millis() as u64
        );
    }

    async fn admit(&self, request: Request<Incoming>) -> Result<Call, Response<Body>> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let ask = self
            .sender
            .edge()
            .ask(&parts)
            .map_err(|flaw| Refusal::Flawed(flaw).tell("", arrived, &Basis::default()))?;
        let documented = || self.document_cache.borrow().edition().is_some();
        self.synced(&ask, documented).await;
        let basis = self.basis();
        let refuse = |refusal: Refusal| refusal.tell(&ask.id, arrived, &basis);
        let settings = self.settings.borrow().clone();
        let edition = match self.state(&settings) {
            State::Current(edition) => edition,
            State::Unknown | State::Stale(_) => {
                return Err(refuse(Refusal::Unsure));
            }
        };
        let index = &edition.index;
        let (rule, pass, service, team) = route(index, &parts, &ask).map_err(refuse)?;
        // A large register is read page by page, and the first ones may show no server of the service.
        let registered = || self.fleet.borrow().serves(&service);
        self.synced(&ask, registered).await;
        let grace = settings.bounds.grace;
        if !self.departure.admits(&rule, pass.objective, grace) {
            return Err(refuse(Refusal::Leaving(self.departure.retry_after())));
        }
        let bounds = index.document().callers.as_ref();
        let body = read(&parts, body, bounds, arrived).await.map_err(refuse)?;
        let longest = Duration::from_secs(3600);
        let most = pass.timeout.unwrap_or(longest);
        let most = ask.deadline.map_or(most, |deadline| deadline.min(most));
        let engine = Self::engine(index, &service);
        Ok(Call {
            backups: engine.is_some_and(|engine| engine.backups),
            copy_kept: engine.map(|engine| engine.copy_kept).unwrap_or_default(),
            basis,
            route: rule,
            packet: Rc::new(Packet { parts, ask, body }),
            pass,
            service,
            team,
            arrived,
            until: arrived + most,
        })
    }
}

struct Running<E: 'static>(Rc<Context<E>>);

impl<E> Drop for Running<E> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

fn route(
    index: &Index,
    parts: &Parts,
    ask: &Ask,
) -> Result<(Route, Pass, Service, Option<Team>), Refusal> {
    let host = host(parts).ok_or(Refusal::NoRoute)?;
    let found = index.find(host, parts.uri.path()).ok_or(Refusal::NoRoute)?;
    let team = ask.key.as_deref().and_then(|key| index.team(key));
    if team.is_none() && index.keyed() && !found.pass.public {
        return Err(Refusal::NoKey);
    }
    let service = share(found.pass, &found.rule.service, &ask.id);
    let route = found.rule.name.clone();
    Ok((route, found.pass.clone(), service, team.cloned()))
}

/// The host that a request names, without its port.
fn host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or(parts.uri.host())?;
    Some(host.split(':').next().unwrap_or(host))
}

/// Picks the service of a split route by the request's id.
fn share(pass: &Pass, service: &Service, id: &str) -> Service {
    let sum: u64 = pass.split.iter().map(|share| u64::from(share.weight)).sum();
    if sum == 0 {
        return service.clone();
    }
    let mut point = hash(id) % sum;
    for share in &pass.split {
        let weight = u64::from(share.weight);
        if point < weight {
            return share.service.clone();
        }
        point -= weight;
    }
    service.clone()
}

fn hash(id: &str) -> u64 {
    use std::hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    };
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

async fn read(
    parts: &Parts,
    mut body: Incoming,
    bounds: Option<&Bounds>,
    arrived: Instant,
) -> Result<Bytes, Refusal> {
    let most = bounds.map_or(usize::MAX, |bounds| bounds.body_bytes);
    let told = parts
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if told.is_some_and(|length| length > most) {
        return Err(Refusal::Long);
    }
    let until = arrived + BODY;
    let mut whole = BytesMut::new();
    loop {
        let frame = timeout_at(until, body.frame()).await;
        let frame = match frame {
            Err(_) => return Err(Refusal::Slow),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_))) => return Err(Refusal::Slow),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > most {
            return Err(Refusal::Long);
        }
        if whole.is_empty() && told == Some(data.len()) {
            return Ok(data);
        }
        whole.extend_from_slice(&data);
    }
}
