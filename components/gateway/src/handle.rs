//! Handles a request from its arrival to its response.

use std::{
    cell::{
        OnceCell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use environment::{
    Index,
    document::{
        Engine,
        Passthrough, //
    },
};
use events::{
    forwarding,
    note, //
};
use http::{
    Response,
    request::Parts, //
};
use hyper::body::Incoming;
use names::{
    Route,
    Service,
    Team, //
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    account::{
        Connection,
        Stage, //
    },
    body::Body,
    call::{
        self,
        Call, //
    },
    context::Context,
    document_cache::State,
    plain,
    protocol::{
        Metadata,
        Protocol, //
    },
    queue::{
        self, //
    },
    receive,
    refuse::{
        DocumentInfo,
        Refusal, //
    },
    requests::{
        self,
        Running, //
    },
    sender::BufferedRequest,
    shutdown::{
        self, //
    },
    stream, //
};

/// Timeout of requests whose route and caller set none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3600);

impl<P: Protocol + 'static> Context<P> {
    /// Handles a request. The response may come before the whole body was read.
    pub async fn serve(
        self: &Rc<Self>,
        parts: Parts,
        body: &mut Incoming,
        connection: &Connection,
        pause: Duration,
    ) -> Response<Body> {
        let running = self.requests.begin(connection.closer());
        connection.set_until(None);
        let progress = running.progress.clone();
        let handled = async {
            if !pause.is_zero() {
                connection.set_stage(Stage::HeldBack);
                sleep(pause).await;
                connection.set_stage(Stage::Active);
            }
            match self.admit(parts, body, connection, &progress).await {
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
        if response.body().is_whole() {
            running.progress.complete();
        }
        response.body_mut().set_running(running);
        response
    }

    /// Returns the response of a request that can't be awaited until the process exits.
    fn final_response(&self, progress: &Running) -> Response<Body> {
        let refusal = match progress.stage() {
            requests::Stage::Receiving | requests::Stage::Waiting => self.shutting_down(),
            requests::Stage::Sent | requests::Stage::Answering | requests::Stage::Writing => {
                Refusal::CutOff
            }
        };
        refusal.respond(&progress.id(), progress.arrived, &self.document_info())
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
        connection: &Connection,
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
        let reading = receive::Reading {
            connection,
            account: &self.account,
            limits: &settings.limits,
            max_bytes: caller_limits.map_or(usize::MAX, |limits| limits.body_bytes),
            arrived,
        };
        let read = reading.read_body(&parts, body).await;
        let (body, hold) = read.map_err(refuse)?;
        progress.received(&route);
        connection.set_until(Some(arrived + limit));
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
                hold: Some(hold),
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
    let host = call::requested_host(parts).ok_or(Refusal::NoRoute)?;
    let found = index
        .route(host, parts.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let team = metadata.key.as_deref().and_then(|key| index.team(key));
    let needs_team = match &metadata.key {
        Some(_) => index.refuses_unknown_keys(),
        None => index.requires_api_keys(),
    };
    if team.is_none() && needs_team && !found.pass.public {
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
