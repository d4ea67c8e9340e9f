//! Steps that are common to all requests of callers.

use std::sync::Arc;

use environment::document;
use names::Team;
use salvo::{
    Request,
    http::ParseError, //
};

use crate::{
    documents::Snapshot,
    problem::{
        Code,
        Problem, //
    },
    state::{
        Guard,
        State, //
    },
};

/// Header with the team of the caller.
const TEAM_HEADER: &str = "x-medlarhatch-team";

/// Team of requests without the header.
const DEFAULT_TEAM: &str = "default";

/// Time after which to retry at an entry that is full, shutting down, or without a document.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Admits a request, unless the entry is full or shutting down.
pub(crate) fn admit(state: &State) -> Result<Guard, Problem> {
    if state.stopping.is_cancelled() {
        return Err(
            Problem::new(Code::Unavailable, "this entry is shutting down").retry(RETRY_AFTER),
        );
    }
    state
        .requests
        .begin(state.settings.limits.requests)
        .ok_or_else(|| Problem::new(Code::Busy, "this entry is full").retry(RETRY_AFTER))
}

/// Returns the document in force.
pub(crate) fn document(state: &State) -> Result<Arc<Snapshot>, Problem> {
    state
        .documents
        .current()
        .ok_or_else(|| Problem::new(Code::Unavailable, "no document in force").retry(RETRY_AFTER))
}

/// Returns a header as text; none if it is missing or isn't visible ASCII.
pub(crate) fn header(req: &Request, name: &str) -> Option<String> {
    let value = req.headers().get(name)?;
    value.to_str().ok().map(str::to_string)
}

/// Returns the team of the caller.
pub(crate) fn team(req: &Request) -> Team {
    header(req, TEAM_HEADER).unwrap_or_else(|| DEFAULT_TEAM.to_string())
}

/// Reads the body of a request, up to `limit` bytes.
pub(crate) async fn payload(req: &mut Request, limit: u64) -> Result<Vec<u8>, Problem> {
    match req.payload_with_max_size(limit as usize).await {
        Ok(bytes) => Ok(bytes.to_vec()),
        Err(ParseError::PayloadTooLarge) => Err(Problem::new(
            Code::TooLarge,
            format!("the body exceeds the limit of {limit} bytes"),
        )),
        Err(error) => Err(Problem::new(
            Code::Invalid,
            format!("the body can't be received: {error}"),
        )),
    }
}

/// Returns the share of a team's limits that this entry enforces: limits apply to the whole system.
pub(crate) fn limit(state: &State, limit: &document::Limit) -> admission::Limit {
    let total = admission::Limit {
        in_flight: limit.in_flight,
        rate: limit.rate,
        weight: limit.weight,
        priority: limit.priority,
    };
    total.divided(state.hosts.entry_count())
}
