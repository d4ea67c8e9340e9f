//! HTTP interface of the key-value service.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::Deserialize;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};

use super::{
    Core,
    Inner, //
};
use crate::{
    server::{
        Request,
        Response,
        lock, //
    },
    store::Refusal, //
};

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Default and largest number of entries in a listing.
const MAX_PAGE_ENTRIES: u64 = 1000;

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(300);

/// Request body of `PUT /kv`.
#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    #[serde(default)]
    expect: Option<u64>,
    #[serde(default)]
    lease: Option<u64>,
}

/// Request body of `POST /lease`.
#[derive(Deserialize)]
struct Grant {
    ttl_ms: u64,
}

/// Request body of `POST /lease/keep` and `POST /lease/drop`.
#[derive(Deserialize)]
struct Lease {
    lease: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Lease,
    Watch,
}

pub(super) async fn respond(core: Arc<Core>, request: Request) -> Response {
    let Some(kind) = kind(&request) else {
        return Response::error(404, "no such call");
    };
    if let Some(response) = admit(&core, kind) {
        return response;
    }
    let delay_ms = lock(&core.state).fault.slow_ms;
    if let Some(delay_ms) = delay_ms {
        // The request takes effect after the delay even if its client has given up by then.
        sleep(Duration::from_millis(delay_ms)).await;
        if lock(&core.state).fault.silence {
            return Response::Hang;
        }
        if lock(&core.state).is_unavailable() {
            return Response::error(503, "out of service");
        }
    }
    match kind {
        Kind::Watch => watch(&core, &request).await,
        Kind::Write => write(&core, &request),
        Kind::Read => flatten(read(&core, &request)),
        Kind::Lease => flatten(lease(&core, &request)),
    }
}

fn kind(request: &Request) -> Option<Kind> {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/kv") => Some(Kind::Read),
        ("PUT" | "DELETE", "/kv") => Some(Kind::Write),
        ("POST", "/lease" | "/lease/keep" | "/lease/drop") => Some(Kind::Lease),
        ("GET", "/watch") => Some(Kind::Watch),
        _ => None,
    }
}

/// Counts the request and returns its response if a fault or a rate limit rejects it.
fn admit(core: &Core, kind: Kind) -> Option<Response> {
    let mut guard = lock(&core.state);
    let state = &mut *guard;
    let now = Instant::now();
    state.store.expire(now);
    match kind {
        Kind::Read => state.counts.reads += 1,
        Kind::Write | Kind::Lease => state.counts.writes += 1,
        Kind::Watch => state.counts.watches += 1,
    }
    if state.fault.silence {
        return Some(Response::Hang);
    }
    if state.is_unavailable() {
        return Some(Response::error(503, "out of service"));
    }
    let retry_after = match kind {
        Kind::Read | Kind::Watch => state.reads.limit(state.fault.reads_per_s, now),
        Kind::Write | Kind::Lease => state.writes.limit(state.fault.writes_per_s, now),
    };
    retry_after.map(Response::too_many_requests)
}

/// Returns the response of either variant.
fn flatten(result: Result<Response, Response>) -> Response {
    result.unwrap_or_else(|response| response)
}

fn read(core: &Core, request: &Request) -> Result<Response, Response> {
    let state = lock(&core.state);
    let revision = state.store.revision();
    if let Some(key) = request.query.get("key") {
        let response = match state.store.get(key) {
            Some(entry) => Response::json(200, entry),
            None => Response::json(404, &serde_json::json!({ "revision": revision })),
        };
        return Ok(response);
    }
    let Some(prefix) = request.query.get("prefix") else {
        return Err(Response::bad_request("key or prefix is missing"));
    };
    let after = request.query.get("after").map_or("", String::as_str);
    let limit = request
        .number("limit")?
        .unwrap_or(MAX_PAGE_ENTRIES)
        .min(MAX_PAGE_ENTRIES);
    let entries = state.store.list(prefix, after, limit as usize);
    let body = serde_json::json!({ "entries": entries, "revision": revision });
    Ok(Response::json(200, &body))
}

/// Writes or deletes a key, unless a fault loses the write or its response.
fn write(core: &Core, request: &Request) -> Response {
    {
        let mut state = lock(&core.state);
        if consume(&mut state.fault.lose_writes) {
            return Response::Close;
        }
    }
    let response = flatten(apply(core, request));
    let lost = consume(&mut lock(&core.state).fault.lose_answers);
    if lost {
        return Response::Close;
    }
    response
}

/// Decrements the remaining count of a fault. Returns whether the fault applies.
fn consume(count: &mut Option<u64>) -> bool {
    match count {
        Some(remaining) if *remaining > 0 => {
            *remaining -= 1;
            true
        }
        _ => false,
    }
}

fn apply(core: &Core, request: &Request) -> Result<Response, Response> {
    let written = if request.method == "PUT" {
        let put: Put = request.json()?;
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(Response::error(413, "value over 1 MiB"));
        }
        let mut state = lock(&core.state);
        state.store.put(&put.key, &put.value, put.expect, put.lease)
    } else {
        let Some(key) = request.query.get("key") else {
            return Err(Response::bad_request("key is missing"));
        };
        let expect = request.number("expect")?;
        lock(&core.state).store.delete(key, expect)
    };
    let response = match written {
        Ok(revision) => Response::json(200, &serde_json::json!({ "revision": revision })),
        Err(Refusal::Conflict(entry)) => {
            Response::json(409, &serde_json::json!({ "entry": entry }))
        }
        Err(Refusal::UnknownLease) => Response::error(404, "lease"),
    };
    wake(core);
    Ok(response)
}

fn lease(core: &Core, request: &Request) -> Result<Response, Response> {
    let now = Instant::now();
    let response = match request.path.as_str() {
        "/lease" => {
            let grant: Grant = request.json()?;
            let ttl = Duration::from_millis(grant.ttl_ms);
            let lease = lock(&core.state).store.grant(ttl, now);
            let body = serde_json::json!({ "lease": lease, "ttl_ms": grant.ttl_ms });
            Response::json(200, &body)
        }
        "/lease/keep" => {
            let lease: Lease = request.json()?;
            if lock(&core.state).store.keep(lease.lease, now) {
                Response::json(200, &serde_json::json!({}))
            } else {
                Response::error(404, "lease")
            }
        }
        _ => {
            let lease: Lease = request.json()?;
            lock(&core.state).store.drop_lease(lease.lease);
            wake(core);
            Response::json(200, &serde_json::json!({}))
        }
    };
    Ok(response)
}

/// Wakes waiting watches.
fn wake(core: &Core) {
    let revision = lock(&core.state).store.revision();
    core.changed.send_modify(|known| *known = revision);
}

/// Counts a waiting watch until it is dropped.
struct Waiting<'a>(&'a Core);

impl<'a> Waiting<'a> {
    fn new(core: &'a Core) -> Waiting<'a> {
        lock(&core.state).counts.watching += 1;
        Waiting(core)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).counts.watching -= 1;
    }
}

async fn watch(core: &Core, request: &Request) -> Response {
    let (after, wait) = match (request.number("after"), request.number("wait_ms")) {
        (Ok(after), Ok(wait)) => (after.unwrap_or(0), wait.unwrap_or(0)),
        (Err(response), _) | (_, Err(response)) => return response,
    };
    let prefix = request.query.get("prefix").map_or("", String::as_str);
    let end = Instant::now() + Duration::from_millis(wait).min(MAX_WATCH_WAIT);
    let mut changed = core.changed.subscribe();
    let watch_silences = lock(&core.state).watch_silences;
    let _waiting = Waiting::new(core);
    loop {
        changed.borrow_and_update();
        let timed_out = Instant::now() >= end;
        {
            let state = lock(&core.state);
            if state.watch_silences > watch_silences || state.fault.silence {
                return Response::Hang;
            }
            if let Some(response) = poll(&state, prefix, after, timed_out) {
                return response;
            }
        }
        // On a timeout, the next iteration sees that the wait is over.
        let _ = timeout_at(end, changed.changed()).await;
    }
}

/// Returns the response to a watch, or `None` if it has to keep waiting.
fn poll(state: &Inner, prefix: &str, after: u64, timed_out: bool) -> Option<Response> {
    if state.is_unavailable() {
        return Some(Response::error(503, "out of service"));
    }
    let revision = state.store.revision();
    let Some(events) = state.store.changes(prefix, after) else {
        return Some(Response::json(
            410,
            &serde_json::json!({ "revision": revision }),
        ));
    };
    if events.is_empty() && !timed_out {
        return None;
    }
    let body = serde_json::json!({ "events": events, "revision": revision.max(after) });
    Some(Response::json(200, &body))
}
