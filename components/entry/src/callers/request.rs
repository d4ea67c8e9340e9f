//! What all of the callers' requests need.

use std::sync::Arc;

use environment::document;
use names::Team;
use salvo::{
    Request,
    http::ParseError, //
};

use crate::{
    documents::Held,
    problem::{
        Code,
        Problem, //
    },
    state::{
        Request as Ticket,
        State, //
    },
};

/// Header with the caller's team.
const TEAM: &str = "x-medlarhatch-team";

/// Team of callers that name none.
const DEFAULT_TEAM: &str = "default";

/// Time to come back to an entry that is full, leaving, or without a document.
const RETRY: std::time::Duration = std::time::Duration::from_secs(1);

/// Takes a request in, unless the entry is full or leaving.
pub(crate) fn admit(state: &State) -> Result<Ticket, Problem> {
    if state.leaving.is_cancelled() {
        return Err(Problem::new(Code::Unavailable, "this entry is shutting down").retry(RETRY));
    }
    state
        .requests
        .begin(state.settings.limits.requests)
        .ok_or_else(|| Problem::new(Code::Busy, "this entry is full").retry(RETRY))
}

/// The document in force.
pub(crate) fn document(state: &State) -> Result<Arc<Held>, Problem> {
    state
        .documents
        .current()
        .ok_or_else(|| Problem::new(Code::Unavailable, "no document is in force yet").retry(RETRY))
}

/// A header as text.
pub(crate) fn header(req: &Request, name: &str) -> Option<String> {
    let value = req.headers().get(name)?;
    value.to_str().ok().map(str::to_string)
}

/// The caller's team.
pub(crate) fn team(req: &Request) -> Team {
    header(req, TEAM).unwrap_or_else(|| DEFAULT_TEAM.to_string())
}

/// Reads the body, up to a bound.
pub(crate) async fn payload(req: &mut Request, most: u64) -> Result<Vec<u8>, Problem> {
    match req.payload_with_max_size(most as usize).await {
        Ok(bytes) => Ok(bytes.to_vec()),
        Err(ParseError::PayloadTooLarge) => Err(Problem::new(
            Code::TooLarge,
            format!("the body is over the bound of {most} bytes"),
        )),
        Err(error) => Err(Problem::new(
            Code::Invalid,
            format!("the body didn't arrive whole: {error}"),
        )),
    }
}

/// A team's limits as this entry has to keep them: limits are for the whole system.
pub(crate) fn limit(state: &State, limit: &document::Limit) -> admission::Limit {
    let whole = admission::Limit {
        in_flight: limit.in_flight,
        rate: limit.rate,
        weight: limit.weight,
        priority: limit.priority,
    };
    whole.divided(state.hosts.entries())
}
