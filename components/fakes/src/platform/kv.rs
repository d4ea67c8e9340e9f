//! The key-value service's calls.

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
const VALUE: usize = 1 << 20;

/// Entries of a listing when the call names no limit, and at most.
const PAGE: u64 = 1000;

/// Longest wait of a watch.
const WAIT: Duration = Duration::from_secs(300);

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    #[serde(default)]
    expect: Option<u64>,
    #[serde(default)]
    lease: Option<u64>,
}

#[derive(Deserialize)]
struct Grant {
    ttl_ms: u64,
}

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
    let slow = lock(&core.state).fault.slow_ms;
    if let Some(slow) = slow {
        // The call takes effect after the wait, also when its caller has given up by then.
        sleep(Duration::from_millis(slow)).await;
        if lock(&core.state).fault.silence {
            return Response::Hang;
        }
        if lock(&core.state).out() {
            return Response::error(503, "out of service");
        }
    }
    match kind {
        Kind::Watch => watch(&core, &request).await,
        Kind::Write => write(&core, &request),
        Kind::Read => done(read(&core, &request)),
        Kind::Lease => done(lease(&core, &request)),
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

/// Counts the call; gives its answer when a fault or a rate forbids it.
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
    if state.out() {
        return Some(Response::error(503, "out of service"));
    }
    let refused = match kind {
        Kind::Read | Kind::Watch => state.reads.refuse(state.fault.reads_per_s, now),
        Kind::Write | Kind::Lease => state.writes.refuse(state.fault.writes_per_s, now),
    };
    refused.map(Response::too_many_requests)
}

fn done(result: Result<Response, Response>) -> Response {
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
    let limit = request.number("limit")?.unwrap_or(PAGE).min(PAGE);
    let entries = state.store.list(prefix, after, limit as usize);
    let body = serde_json::json!({ "entries": entries, "revision": revision });
    Ok(Response::json(200, &body))
}

/// Writes a key, unless a fault loses the write or its answer.
fn write(core: &Core, request: &Request) -> Response {
    {
        let mut state = lock(&core.state);
        if take(&mut state.fault.lose_writes) {
            return Response::Close;
        }
    }
    let response = done(apply(core, request));
    let lost = take(&mut lock(&core.state).fault.lose_answers);
    if lost {
        return Response::Close;
    }
    response
}

/// Takes one from a fault's count.
fn take(count: &mut Option<u64>) -> bool {
    match count {
        Some(left) if *left > 0 => {
            *left -= 1;
            true
        }
        _ => false,
    }
}

fn apply(core: &Core, request: &Request) -> Result<Response, Response> {
    let written = if request.method == "PUT" {
        let put: Put = request.json()?;
        if put.value.len() > VALUE {
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

fn wake(core: &Core) {
    let revision = lock(&core.state).store.revision();
    core.changed.send_modify(|known| *known = revision);
}

/// A watch that waits; counted for as long as it does.
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
    let end = Instant::now() + Duration::from_millis(wait).min(WAIT);
    let mut changed = core.changed.subscribe();
    let silences = lock(&core.state).silences;
    let _waiting = Waiting::new(core);
    loop {
        changed.borrow_and_update();
        let late = Instant::now() >= end;
        {
            let state = lock(&core.state);
            if state.silences > silences || state.fault.silence {
                return Response::Hang;
            }
            if let Some(response) = look(&state, prefix, after, late) {
                return response;
            }
        }
        // The end of the wait is noticed at the loop's start.
        let _ = timeout_at(end, changed.changed()).await;
    }
}

/// The answer to a watch, if there is one by now.
fn look(state: &Inner, prefix: &str, after: u64, late: bool) -> Option<Response> {
    if state.out() {
        return Some(Response::error(503, "out of service"));
    }
    let revision = state.store.revision();
    let Some(events) = state.store.changes(prefix, after) else {
        return Some(Response::json(
            410,
            &serde_json::json!({ "revision": revision }),
        ));
    };
    if events.is_empty() && !late {
        return None;
    }
    let body = serde_json::json!({ "events": events, "revision": revision.max(after) });
    Some(Response::json(200, &body))
}
