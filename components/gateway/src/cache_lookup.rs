//! Finds the engines that still have the prompts of reconnecting callers in their caches.
//!
//! When all gateways fail at once, their callers reconnect seconds later to resume their streams.
//! No gateway knows any more where their prompts were processed, so each prompt would be processed
//! again, which takes a second of an engine and of the caller's short remaining time. The engines
//! are therefore queried for the contents of their caches, once for all callers that reconnect
//! together. When there are many gateways, each queries its partition of the engines and sends the
//! results to the others, as a hundred gateways that query all engines would slow them down.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use events::{
    forwarding,
    note, //
};
use futures_util::{
    StreamExt,
    stream, //
};
use http::Method;
use names::Service;
use routing::Part;
use spread::beacon::{
    Id,
    Prompt,
    id, //
};
use tokio::{
    sync::{
        mpsc::UnboundedReceiver,
        watch, //
    },
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout,
        timeout_at, //
    },
};

use crate::{
    call::Call,
    context::Context,
    fleet::Target,
    lookups::Lookup,
    peers::Outgoing,
    protocol::Protocol,
    update::Registration, //
};

/// Timeout of the query to one engine.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after its start within which a gateway discovers its peers.
const DISCOVERY_TIME: Duration = Duration::from_millis(300);

/// Longest time that a request waits for the results: a tenth of what processing a prompt takes.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest wait of a request as a share of its remaining time.
const MAX_WAIT_SHARE: f64 = 0.1;

/// Maximum number of engines that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 16;

/// Interval at which a waiting request checks whether its prompt was found.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Looks up which engines of a service have a prompt part cached. Returns when all were queried, or
/// when the wait is too long for a request that must be answered within `remaining`.
pub async fn find_prompt<P: Protocol + 'static>(
    context: &Rc<Context<P>>,
    service: &Service,
    part: (Part, u32),
    remaining: Duration,
) {
    wait_for_peers(context, remaining.mul_f64(MAX_WAIT_SHARE)).await;
    let partitioned = context.fleet.borrow().is_partitioned();
    let mut lookup = match recent(context, service) {
        Some(lookup) => lookup,
        None => {
            if partitioned {
                context.cache_lookup.send(Outgoing::Lookup(id(service)));
            }
            start_lookup(context, service)
        }
    };
    // After a timeout the request proceeds with the results that have arrived.
    let until = Instant::now() + LOOKUP_TIMEOUT.min(remaining.mul_f64(MAX_WAIT_SHARE));
    let _ = timeout_at(until, lookup.done.wait_for(|done| *done)).await;
    // The results of peers arrive in messages of their own.
    let until = until.min(lookup.at + LOOKUP_TIMEOUT);
    let found = || context.fleet.borrow().is_cached(part);
    while partitioned && Instant::now() < until && !found() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a gateway that has just started knows whether there are many gateways. All gateways
/// may have started together, and each that knows no peers yet would query all engines.
async fn wait_for_peers<P>(context: &Context<P>, max_wait: Duration) {
    let until = context.started + DISCOVERY_TIME;
    let until = until.min(Instant::now() + max_wait);
    while Instant::now() < until && !context.fleet.borrow().is_partitioned() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Queries this gateway's partition of the engines when a peer requests it.
pub async fn serve_peers<P: Protocol + 'static>(
    context: Rc<Context<P>>,
    mut lookup_requests: UnboundedReceiver<Id>,
) {
    while let Some(service_id) = lookup_requests.recv().await {
        let Some(service) = service_by_id(&context, service_id) else {
            continue;
        };
        wait_for_peers(&context, DISCOVERY_TIME).await;
        // A gateway that knows few peers doesn't know its partition.
        if context.fleet.borrow().is_partitioned() && recent(&context, &service).is_none() {
            start_lookup(&context, &service);
        }
    }
}

/// Returns the service with a numeric id.
fn service_by_id<P>(context: &Context<P>, service_id: Id) -> Option<Service> {
    let cache = context.document_cache.borrow();
    let services = &cache.snapshot()?.index.document().services;
    let service = services
        .iter()
        .find(|service| id(&service.name) == service_id)?;
    Some(service.name.clone())
}

/// Returns the recent lookup at a service's engines, if there is one. A change of this gateway's
/// rank changes its partition of the engines and those of the others, so the lookup is invalid
/// then.
fn recent<P>(context: &Context<P>, service: &Service) -> Option<Lookup> {
    let fleet = context.fleet.borrow();
    let lookup = context.cache_lookup.recent(service)?;
    let valid = lookup.rank == fleet.rank() || !fleet.is_partitioned();
    valid.then_some(lookup)
}

/// Lets a request wait for the server that has its prompt cached while servers are missing from the
/// registry; those that register later are queried as well. Another server would process the prompt
/// again.
pub async fn wait_for_registration<P: Protocol>(
    context: &Context<P>,
    call: &Call,
    part: (Part, u32),
    remaining: Duration,
) {
    let Some(until) = context.cache_lookup.registering_until.get() else {
        return;
    };
    let began = Instant::now();
    let until = until.min(began + remaining.mul_f64(MAX_WAIT_SHARE));
    let found = || context.fleet.borrow().is_cached(part);
    while Instant::now() < until && !found() {
        sleep(POLL_INTERVAL).await;
    }
    if began.elapsed() < POLL_INTERVAL {
        return;
    }
    note!(
        forwarding::AWAITED_REGISTRATIONS,
        id = call.request.metadata.id.as_str(),
        found = found(),
        waited_ms = began.elapsed().as_millis() as u64
    );
}

/// Queries a newly registered server if the others of its service were queried recently and it
/// belongs to this gateway's partition.
pub fn query_registered<P: Protocol + 'static>(
    context: &Rc<Context<P>>,
    registration: &Registration,
) {
    let Registration { server, spec, .. } = registration;
    if context.cache_lookup.recent(&spec.service).is_none() {
        return;
    }
    let fleet = context.fleet.borrow();
    let Some(engine) = fleet.usable_server(server).filter(|_| fleet.owns(server)) else {
        return;
    };
    drop(fleet);
    let context = context.clone();
    spawn_local(async move {
        let cached = query_engine(&context, engine).await;
        send_cached(&context, cached);
    });
}

/// Sends cached prompt parts of this gateway's partition to its peers.
fn send_cached<P>(context: &Context<P>, cached: Vec<Prompt>) {
    if context.fleet.borrow().is_partitioned() && !cached.is_empty() {
        context.cache_lookup.send(Outgoing::Cached(cached));
    }
}

/// Returns the engines of a service in this gateway's partition.
fn partition<P>(context: &Context<P>, service: &Service) -> Vec<Target> {
    let fleet = context.fleet.borrow();
    let mut engines = fleet.usable_servers(service);
    engines.retain(|engine| fleet.owns(&engine.server));
    engines
}

/// Starts a lookup at this gateway's partition of a service's engines.
fn start_lookup<P: Protocol + 'static>(context: &Rc<Context<P>>, service: &Service) -> Lookup {
    let (finished, done) = watch::channel(false);
    let lookup = Lookup {
        at: Instant::now(),
        rank: context.fleet.borrow().rank(),
        done,
    };
    let cache = &context.cache_lookup;
    let lookups = &mut *cache.lookups.borrow_mut();
    lookups.insert(service.clone(), lookup.clone());
    let mut engines = partition(context, service);
    engines.retain(|engine| cache.mark_queried(&engine.server));
    let (context, service) = (context.clone(), service.clone());
    spawn_local(async move {
        let count = engines.len();
        let calls = engines
            .into_iter()
            .map(|engine| query_engine(&context, engine));
        let responses = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_QUERIES);
        let cached: Vec<Prompt> = responses.concat().await;
        note!(
            forwarding::CACHES_QUERIED,
            service = service.as_str(),
            engines = count,
            prompts = cached.len(),
            ms = lookup.at.elapsed().as_millis() as u64
        );
        send_cached(&context, cached);
        // There is no receiver when all requests have timed out.
        let _ = finished.send(true);
    });
    lookup
}

/// Queries the contents of an engine's cache.
async fn query_engine<P: Protocol + 'static>(context: &Context<P>, engine: Target) -> Vec<Prompt> {
    let protocol = context.sender.protocol();
    let call = context.call(
        &engine,
        &Method::GET,
        protocol.cache_request(),
        Bytes::new(),
    );
    // An engine that doesn't answer counts as having an empty cache.
    let Ok(Some(Ok((head, body)))) = timeout(QUERY_TIMEOUT, call).await else {
        return Vec::new();
    };
    let parts = protocol.parse_cache(&head, &body).unwrap_or_default();
    context
        .fleet
        .borrow_mut()
        .record_cached(&parts, &engine.server);
    let server = id(&engine.server);
    parts
        .into_iter()
        .map(|(hash, _)| Prompt { hash, server })
        .collect()
}
