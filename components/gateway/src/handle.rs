//! Handles a request from its arrival to its response.

use std::{
    cell::{
        Cell,
        OnceCell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use admission::{
    Forecast,
    Purpose,
    scarcity::Standing, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use contract::poison::{
    self,
    Fingerprint,
    evidence::{
        Observation,
        Subject, //
    }, //
};
use environment::{
    Index,
    document::{
        Bounds,
        Engine,
        Passthrough, //
    },
};
use events::{
    forwarding,
    note, //
};
use http::{
    Method,
    Response,
    StatusCode,
    header::{
        CONTENT_LENGTH,
        HOST, //
    },
    request::Parts, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use names::{
    Clock,
    Route,
    Server,
    Service,
    Team, //
};
use routing::placement::Said;
use spread::{
    Freshness,
    beacon, //
};
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout,
        timeout_at, //
    },
};
use upstream::Head;

use crate::{
    bodies::{
        Bodies,
        Hold, //
    },
    body::Body,
    cache_lookup::CacheLookup,
    clock,
    crashes::Crashes,
    demands::Demands,
    document_cache::{
        DocumentCache,
        State, //
    },
    fleet::{
        Fleet,
        Target, //
    },
    initial_sync::InitialSync,
    plain,
    probation::PlainGuard,
    protocol::{
        Activity,
        Generation,
        Metadata,
        Protocol,
        Reply, //
    },
    queue::{
        self,
        Queue, //
    },
    refuse::{
        DocumentInfo,
        Refusal, //
    },
    requests::{
        self,
        Requests,
        Running, //
    },
    retry_budget::{
        Permit,
        RetryBudgets, //
    },
    rollout::{
        Rollouts,
        Selection, //
    },
    sender::{
        BufferedRequest,
        Sender, //
    },
    settings::Settings,
    shutdown::{
        self,
        Shutdown, //
    },
    stream,
    suspects::Suspects,
    trials::Ticket, //
};

/// Timeout of a request for a server's current runs.
const ACTIVITY_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait until the refusal of a request is certain, which further crashes delay.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(400);

/// Timeout of requests whose route and caller set none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3600);

/// Shared state of the gateway.
pub struct Context<P> {
    /// Settings of the process.
    pub settings: Rc<RefCell<Rc<Settings>>>,
    /// Last known version of the operator's document.
    pub document_cache: RefCell<DocumentCache>,
    /// How current the document is.
    pub freshness: Rc<RefCell<Freshness>>,
    /// Backend servers known to the gateway.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Client for backend servers.
    pub sender: Sender<P>,
    /// Retry budget of each service.
    pub retry_budgets: Rc<RefCell<RetryBudgets>>,
    /// Lookups of the engines' caches.
    pub cache_lookup: CacheLookup,
    /// Queue of streams that wait for an engine.
    pub queue: Rc<Queue>,
    /// Rollouts of new versions.
    pub rollouts: Rc<Rollouts>,
    /// Demand for each service.
    pub demands: Rc<Demands>,
    /// Requests that may crash servers.
    pub suspects: Rc<Suspects>,
    /// Losses that may turn out to be crashes.
    pub crashes: Rc<Crashes>,
    /// Initial read of the store.
    pub initial_sync: InitialSync,
    /// Estimates of how long answers take.
    pub forecast: RefCell<Forecast>,
    /// State of the graceful shutdown.
    pub shutdown: Rc<Shutdown>,
    /// Bodies of requests that the process holds.
    pub bodies: Rc<Bodies>,
    /// Time at which the process started.
    pub started: Instant,
    /// Requests in progress.
    pub requests: Rc<Requests>,
    /// Number of open connections of callers.
    pub connections: Cell<usize>,
}

/// An admitted request. Clones share the buffered request.
#[derive(Clone)]
pub struct Call {
    /// The buffered request.
    pub request: Rc<BufferedRequest>,
    /// Route that the request matched.
    pub route: Route,
    /// How requests of the route are forwarded.
    pub pass: Passthrough,
    /// Service to which the request is sent.
    pub service: Service,
    /// The caller's team.
    pub team: Option<Team>,
    /// Place among the streams of the service, where they differ.
    pub standing: Option<Standing>,
    /// Document on which the admission is based.
    pub document: DocumentInfo,
    /// How far the request is.
    pub progress: Rc<Running>,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the caller gets a final response, if only an error.
    pub until: Instant,
    /// Whether the servers replicate the KV caches of runs to one another.
    pub backups: bool,
    /// Time for which servers keep an unused copy of a KV cache.
    pub copy_kept: Duration,
}

impl Call {
    /// Returns the time until the caller's deadline, if it set one.
    pub fn time_left(&self) -> Option<Duration> {
        let deadline = self.request.metadata.deadline?;
        let expires_at = self.arrived + deadline;
        Some(expires_at.saturating_duration_since(Instant::now()))
    }

    /// Returns the fingerprint of the request, which repeated attempts share although their ids
    /// differ.
    pub fn fingerprint(&self) -> Fingerprint {
        self.subject().request
    }

    /// Returns what the request has that may crash servers.
    pub fn subject(&self) -> &Subject {
        self.request.subject.get_or_init(|| {
            let parts = &self.request.parts;
            let team = self.team.as_deref().unwrap_or_default();
            let host = requested_host(parts).unwrap_or_default();
            let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
            let target = format!("{} {host}{path}", parts.method);
            let request = poison::fingerprint(team, &target, &self.request.body);
            let part = |(part, _): &(u64, u32)| poison::part_fingerprint(&self.service, *part);
            let prompt = self.parts().iter().map(part);
            Subject::new(beacon::id(&self.service), request, prompt)
        })
    }

    /// Returns the id of the prompt part with a fingerprint, if the request has it.
    pub fn part_of(&self, fingerprint: Fingerprint) -> Option<u64> {
        let mut ids = self.parts().iter().map(|(part, _)| *part);
        ids.find(|part| poison::part_fingerprint(&self.service, *part) == fingerprint)
    }

    /// Returns whether the request may be sent to a server now, although the process may be
    /// shutting down.
    pub fn is_admitted(&self, shutdown: &Shutdown, grace: Duration) -> bool {
        let now = Instant::now();
        let request = shutdown::Request {
            route: &self.route,
            objective: self.pass.objective,
            limit: self.until.saturating_duration_since(now),
            stream: self.pass.stream,
        };
        shutdown.admits(now, &request, grace)
    }

    /// Logs that the request waits until others live, those at the `occupied` servers if there are any.
    pub fn log_separated(&self, occupied: &[Server]) {
        let id = self.request.metadata.id.as_str();
        note!(forwarding::SEPARATED, id = id, servers = occupied.len());
    }

    /// Logs a rejection and returns its response.
    pub fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        refusal.respond(&self.request.metadata.id, self.arrived, &self.document)
    }

    /// Returns the size of the generation; `None` for a plain request.
    pub fn generation(&self) -> Option<&Generation> {
        self.request.metadata.generation.as_ref()
    }

    /// Returns the parts of the prompt in order, with their tokens.
    pub fn parts(&self) -> &[(u64, u32)] {
        self.generation()
            .map_or(&[], |generation| &generation.parts)
    }

    /// Returns the ids of the prompt's parts for a log line, if there are any.
    pub fn part_ids(&self) -> Option<String> {
        let ids = self.parts().iter().map(|(part, _)| part.to_string());
        let ids: Vec<_> = ids.collect();
        (!ids.is_empty()).then(|| ids.join(","))
    }
}

impl<P> Context<P> {
    /// Selects the versions for a new request, and counts the request.
    pub fn select(&self, service: &Service, route: &Route) -> Selection {
        self.rollouts.select(&self.fleet.borrow(), service, route)
    }

    /// Returns the versions for a request that is resumed after a loss.
    pub fn select_resumed(&self, service: &Service) -> Selection {
        self.rollouts.select_resumed(&self.fleet.borrow(), service)
    }
}

impl<P: Protocol + 'static> Context<P> {
    /// Handles a request. The response may come before the whole body was read.
    pub async fn serve(self: &Rc<Self>, parts: Parts, body: &mut Incoming) -> Response<Body> {
        let running = self.requests.begin();
        let progress = running.progress.clone();
        let handled = async {
            match self.admit(parts, body, &progress).await {
                Ok(call) if !self.may_begin(&call) => call.refuse(&self.shutting_down()),
                Ok(call) if call.pass.stream => stream::run(self, call).await,
                Ok(call) => plain::run(self, call).await,
                Err(response) => response,
            }
        };
        let cut_off = async {
            self.shutdown.cutoff().cancelled().await;
            progress.cut_off();
        };
        let mut response = tokio::select! {
            biased;
            response = handled => response,
            () = cut_off => self.final_response(&progress),
        };
        running.progress.answering();
        response.body_mut().hold(running);
        response
    }

    /// Returns whether a complete request may be sent to a server now, which may be long after its head
    /// arrived.
    pub fn may_begin(&self, call: &Call) -> bool {
        let grace = self.settings.borrow().bounds.grace;
        call.is_admitted(&self.shutdown, grace)
    }

    /// Returns the refusal of a request that this process can't complete before it exits.
    pub fn shutting_down(&self) -> Refusal {
        let grace = self.settings.borrow().bounds.grace;
        Refusal::ShuttingDown(self.shutdown.retry_after(grace))
    }

    /// Returns the response of a request that can't be awaited until the process exits.
    fn final_response(&self, progress: &Running) -> Response<Body> {
        let refusal = match progress.stage() {
            requests::Stage::Receiving | requests::Stage::Waiting => self.shutting_down(),
            requests::Stage::Sent | requests::Stage::Answering => Refusal::CutOff,
        };
        refusal.respond(&progress.id(), progress.arrived, &self.document_info())
    }

    /// Returns the document on which decisions are based now, for logs.
    fn document_info(&self) -> DocumentInfo {
        let document_cache = self.document_cache.borrow();
        let confirmed = self.freshness.borrow().confirmed_at();
        DocumentInfo {
            version: document_cache
                .snapshot()
                .map_or(0, |snapshot| snapshot.version),
            age: confirmed.map(|at| clock::now().saturating_sub(at)),
        }
    }

    /// Returns whether requests can be decided now.
    pub fn state(&self, settings: &Settings) -> State {
        let confirmed = self.freshness.borrow().confirmed_at();
        let revocation = settings.bounds.revocation;
        self.document_cache
            .borrow()
            .state(clock::now(), confirmed, revocation)
    }

    /// Counts a send of a request. Returns `None` when it is a retry and the budget is used up.
    pub fn may_send(&self, service: &Service, first: bool, purpose: Purpose) -> Option<Permit> {
        let bound = self.settings.borrow().bounds.retries();
        if !first {
            return Permit::retry(&self.retry_budgets, service, &bound, purpose);
        }
        self.retry_budgets
            .borrow_mut()
            .count_request(service, &bound);
        self.demands.count_request(service);
        Some(Permit::default())
    }

    /// Returns why no server could be chosen for a request: none takes it, or all that could want no
    /// requests or limit their request rates.
    pub fn unplaced_refusal(&self, service: &Service) -> Refusal {
        let mut fleet = self.fleet.borrow_mut();
        if let Some(retry_after) = fleet.backoff_retry_after(service) {
            return Refusal::BackingOff(retry_after);
        }
        let retry_after = fleet.unplaced_retry_after(service);
        retry_after.map_or(Refusal::NoServer, Refusal::RateLimited)
    }

    /// Returns the refusal of a request while all servers of its service want none.
    pub fn backing_off(&self, service: &Service) -> Option<Refusal> {
        let retry_after = self.fleet.borrow_mut().backoff_retry_after(service)?;
        Some(Refusal::BackingOff(retry_after))
    }

    /// Returns whether it is certain that a request must not run, as servers crashed under it or under
    /// a part of its prompt.
    pub fn is_poisonous(&self, call: &Call) -> bool {
        let cause = self.refused_cause(call);
        cause.is_some_and(|cause| self.suspects.unsettled_for(cause).is_zero())
    }

    /// Returns the cause for which a request must not be sent, if there is one. While that may still
    /// turn out to be wrong, it waits.
    pub async fn poisonous_cause(&self, call: &Call) -> Option<Fingerprint> {
        let latest = call.until.min(Instant::now() + MAX_SETTLE_WAIT);
        loop {
            let cause = self.refused_cause(call)?;
            let unsettled_for = self.suspects.unsettled_for(cause);
            if unsettled_for.is_zero() || Instant::now() >= latest {
                return Some(cause);
            }
            sleep(unsettled_for).await;
        }
    }

    /// Rejects a request that must not be sent; see [`Context::poisonous_cause`].
    pub async fn refuse_poisonous(&self, call: &Call) -> Option<Response<Body>> {
        let cause = self.poisonous_cause(call).await?;
        Some(call.refuse(&Refusal::Poisonous(cause)))
    }

    /// Returns the servers that take no further run of a request with a prompt until one lives there.
    /// Requests without one are told apart by their crashes.
    pub fn occupied_servers(&self, call: &Call) -> Vec<Server> {
        if self.suspects.is_empty() || call.parts().is_empty() {
            return Vec::new();
        }
        self.suspects.occupied_servers(call.subject().service)
    }

    /// Returns the cause for which a request is refused, although that may still turn out to be wrong.
    pub fn refused_cause(&self, call: &Call) -> Option<Fingerprint> {
        if self.suspects.is_empty() {
            return None;
        }
        self.suspects.refused_cause(call.subject())
    }

    /// Returns whether a request may have crashed servers, or is refused as it did.
    pub fn is_suspect(&self, call: &Call) -> bool {
        self.refused_cause(call).is_some()
            || !self.suspects.is_empty() && self.suspects.is_suspect(call.fingerprint())
    }

    /// Returns whether a request may only run beside no other one that may crash servers.
    pub fn is_held(&self, call: &Call) -> bool {
        !self.suspects.is_empty() && self.suspects.held_causes(call.subject()) > 0
    }

    /// Returns whether a request may run now. One that may only run beside no other waits for its turn.
    pub fn may_run(&self, call: &Call, ticket: &mut Option<Ticket>) -> bool {
        if !self.is_held(call) {
            *ticket = None;
            return true;
        }
        let subject = call.subject();
        let held_causes = self.suspects.held_causes(subject);
        let trials = &self.suspects.trials;
        ticket
            .get_or_insert_with(|| trials.wait(subject.service, held_causes))
            .has_come()
    }

    /// Returns whether a plain request has to wait for another one; see [`Suspects::must_wait`].
    pub fn must_wait(&self, call: &Call) -> bool {
        !self.suspects.is_empty()
            && call.parts().is_empty()
            && self.suspects.must_wait(call.subject())
    }

    /// Records that a run of a plain request begins, while any request is suspected.
    pub fn begin_plain(&self, call: &Call) -> Option<PlainGuard> {
        let subject = (!self.suspects.is_empty()).then(|| call.subject())?;
        let probation = &self.suspects.probation;
        Some(probation.begin_plain(subject.service, subject.request))
    }

    /// Records that a run of a request lived or survived.
    pub fn record_life(&self, call: &Call, observation: Observation) {
        if observation == Observation::Survived || !self.suspects.is_empty() {
            self.suspects.record_life(call.subject(), observation);
        }
    }

    /// Records what a server says of itself in the head of an answer to a request that was sent at
    /// `sent_at`: whether it leaves, whether it wants requests, and the limit on their rate.
    pub fn record_reply(&self, target: &Target, status: StatusCode, reply: &Reply, sent_at: Clock) {
        if reply.misdirected {
            // Another server answered.
            return;
        }
        let mut fleet = self.fleet.borrow_mut();
        if reply.signed {
            fleet.confirm(target);
        }
        if reply.signed || reply.rate_limit.is_some() {
            fleet.record_rate_limit(&target.server, reply.rate_limit, sent_at);
        }
        let is_backoff =
            |time: &Duration| status == StatusCode::SERVICE_UNAVAILABLE && !time.is_zero();
        let said = Said {
            leaving: reply.leaving,
            backoff: reply.retry_after.filter(is_backoff),
        };
        fleet.record_said(target, said, sent_at);
    }

    /// Records that the server at a target's address said that it is another one, and uses the target
    /// again after a while.
    pub fn record_denial(&self, target: &Target) {
        self.sender.disconnect(target.address);
        let Some(time) = self.fleet.borrow_mut().deny(target) else {
            return;
        };
        note!(
            forwarding::DENIED,
            server = target.server.as_str(),
            address = target.address.to_string().as_str(),
            ms = time.as_millis() as u64
        );
        let (fleet, target) = (self.fleet.clone(), target.clone());
        spawn_local(async move {
            let mut wait = Some(time);
            while let Some(time) = wait {
                sleep(time).await;
                wait = fleet.borrow_mut().reinstate(&target);
            }
        });
    }

    /// Sends a request of the gateway itself, and reads the whole response; see [`Sender::call`].
    /// Returns `None` when there is none, or the server wants no requests.
    pub async fn call(
        &self,
        target: &Target,
        method: &Method,
        head: Vec<u8>,
        body: Bytes,
    ) -> Option<Result<(Head, Bytes), upstream::Error>> {
        if !self.fleet.borrow().wants_requests(&target.server) {
            return None;
        }
        let sent_at = clock::now();
        let result = self.sender.call(target, method, head, body).await;
        if let Ok((head, _)) = &result {
            let reply = self.sender.protocol().parse_reply(head);
            self.record_reply(target, head.status, &reply, sent_at);
        }
        Some(result)
    }

    /// Reads a server's current runs. Returns `None` when it can't be reached. Nothing is known of them
    /// while the server wants no requests, or if the response can't be parsed.
    pub async fn read_activity(&self, target: &Target) -> Option<Activity> {
        // While `queued` isn't 0, `Activity::has_lost` doesn't count a missing run as lost.
        let unknown = Activity {
            queued: 1,
            runs: Vec::new(),
        };
        let protocol = self.sender.protocol();
        let head = protocol.activity_request();
        let call = self.call(target, &Method::GET, head, Bytes::new());
        let (head, body) = match timeout(ACTIVITY_TIMEOUT, call).await.ok()? {
            None => {
                let is_alive = self.sender.probe(target).await;
                return is_alive.then_some(unknown);
            }
            Some(Ok(response)) => response,
            Some(Err(upstream::Error::Excess(_) | upstream::Error::Malformed(_))) => {
                return Some(unknown);
            }
            Some(Err(_)) => return None,
        };
        Some(protocol.parse_activity(&head, &body).unwrap_or(unknown))
    }

    /// Returns the engine parameters of a service.
    fn engine<'a>(index: &'a Index, service: &Service) -> Option<&'a Engine> {
        let provision = index.document().service(service)?;
        provision.direct.as_ref()?.engine.as_ref()
    }

    /// Lets a request wait until what it needs is `known`, while the initial read of the store
    /// lasts.
    async fn wait_for_sync(&self, metadata: &Metadata, known: impl Fn() -> bool) {
        if self.initial_sync.has_ended() || known() {
            return;
        }
        let began = Instant::now();
        self.initial_sync.wait(metadata.deadline, known).await;
        note!(
            forwarding::AWAITED_DOCUMENT,
            id = metadata.id.as_str(),
            document = self.document_info().version,
            waited_ms = began.elapsed().as_millis() as u64
        );
    }

    /// Parses a request and decides whether it is admitted; an error is the response to the caller.
    async fn admit(
        &self,
        parts: Parts,
        body: &mut Incoming,
        progress: &Rc<Running>,
    ) -> Result<Call, Response<Body>> {
        let arrived = progress.arrived;
        let metadata = self
            .sender
            .protocol()
            .parse_request(&parts)
            .map_err(|error| {
                Refusal::InvalidHeader(error).respond("", arrived, &DocumentInfo::default())
            })?;
        progress.set_id(&metadata.id);
        let has_document = || self.document_cache.borrow().snapshot().is_some();
        self.wait_for_sync(&metadata, has_document).await;
        let document = self.document_info();
        let refuse = |refusal: Refusal| refusal.respond(&metadata.id, arrived, &document);
        let settings = self.settings.borrow().clone();
        let snapshot = match self.state(&settings) {
            State::Current(snapshot) => snapshot,
            State::Unknown | State::Stale(_) => {
                return Err(refuse(Refusal::StaleDocument));
            }
        };
        let index = &snapshot.index;
        let (route, pass, service, team) = match_route(index, &parts, &metadata).map_err(refuse)?;
        // A large registry is read page by page, and the first pages may contain no server of the
        // service.
        let has_server = || self.fleet.borrow().serves(&service);
        self.wait_for_sync(&metadata, has_server).await;
        let limit = pass.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let limit = metadata
            .deadline
            .map_or(limit, |deadline| deadline.min(limit));
        let grace = settings.bounds.grace;
        let now = Instant::now();
        let draining = shutdown::Request {
            route: &route,
            objective: pass.objective,
            limit,
            stream: pass.stream,
        };
        if !self.shutdown.admits(now, &draining, grace) {
            return Err(refuse(self.shutting_down()));
        }
        if let Some(remaining) = self.shutdown.remaining(now, grace) {
            let estimate = self.shutdown.duration_estimate(&route);
            note!(
                forwarding::ADMITTED_DRAINING,
                id = metadata.id.as_str(),
                route = route.as_str(),
                remaining_ms = remaining.as_millis() as u64,
                limit_ms = limit.as_millis() as u64,
                estimate_ms = estimate.map(|estimate| estimate.as_millis() as u64)
            );
        }
        let caller_limits = index.document().callers.as_ref();
        let room = Room {
            bodies: &self.bodies,
            memory: settings.memory,
        };
        let read = read_body(&parts, body, caller_limits, arrived, room).await;
        let (body, hold) = read.map_err(refuse)?;
        progress.received(&route);
        let engine = Self::engine(index, &service);
        Ok(Call {
            backups: engine.is_some_and(|engine| engine.backups),
            standing: queue::standing(index.urgencies(&service), pass.rank),
            copy_kept: engine.map(|engine| engine.copy_kept).unwrap_or_default(),
            document,
            route,
            request: Rc::new(BufferedRequest {
                parts,
                metadata,
                body,
                hold,
                subject: OnceCell::new(),
                sent_to: RefCell::default(),
            }),
            pass,
            service,
            team,
            progress: progress.clone(),
            arrived,
            until: arrived + limit,
        })
    }
}

/// Finds the route of a request, and authenticates its team.
fn match_route(
    index: &Index,
    parts: &Parts,
    metadata: &Metadata,
) -> Result<(Route, Passthrough, Service, Option<Team>), Refusal> {
    let host = requested_host(parts).ok_or(Refusal::NoRoute)?;
    let found = index
        .route(host, parts.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let team = metadata.key.as_deref().and_then(|key| index.team(key));
    if team.is_none() && index.requires_api_keys() && !found.pass.public {
        return Err(Refusal::NoKey);
    }
    let service = split_service(found.pass, &found.rule.service, &metadata.id);
    let route = found.rule.name.clone();
    let pass = Passthrough {
        rank: index.rank(team, found.pass),
        ..found.pass.clone()
    };
    Ok((route, pass, service, team.cloned()))
}

/// Returns the host that a request names, without its port.
fn requested_host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or(parts.uri.host())?;
    Some(host.split(':').next().unwrap_or(host))
}

/// Picks the service of a split route by the hash of the request's id.
fn split_service(pass: &Passthrough, service: &Service, id: &str) -> Service {
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

/// Room for bodies in a process.
struct Room<'a> {
    bodies: &'a Rc<Bodies>,
    /// Memory that the process may use, in bytes.
    memory: Option<u64>,
}

/// Reads the whole body of a request. Refuses it before the first byte if there is no room for its
/// length.
async fn read_body(
    parts: &Parts,
    body: &mut Incoming,
    caller_limits: Option<&Bounds>,
    arrived: Instant,
    room: Room<'_>,
) -> Result<(Bytes, Hold), Refusal> {
    let limit = caller_limits.map_or(usize::MAX, |limits| limits.body_bytes);
    let declared = parts
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(Refusal::BodyTooLong);
    }
    let Room { bodies, memory } = room;
    let full = || Refusal::BodiesFull(bodies.retry_after());
    let length = declared.unwrap_or(0);
    let mut hold = bodies.hold(memory, length).ok_or_else(full)?;
    let until = arrived + BODY_TIMEOUT;
    let mut buffer = BytesMut::new();
    loop {
        let frame = timeout_at(until, body.frame()).await;
        let frame = match frame {
            Err(_) => return Err(Refusal::BodyIncomplete),
            Ok(None) => return Ok((buffer.freeze(), hold)),
            Ok(Some(Err(_))) => return Err(Refusal::BodyIncomplete),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(Refusal::BodyTooLong);
        }
        if buffer.is_empty() && declared == Some(data.len()) {
            return Ok((data, hold));
        }
        if declared.is_none() && !hold.grow(memory, data.len()) {
            return Err(full());
        }
        if buffer.is_empty() {
            buffer.reserve(length);
        }
        buffer.extend_from_slice(&data);
    }
}
