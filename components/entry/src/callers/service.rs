//! `/svc/<service>/...`: calls to plain services.

use std::sync::Arc;

use salvo::{
    Request,
    Response,
    handler,
    http::{
        HeaderValue,
        StatusCode,
        header::CONTENT_TYPE, //
    }, //
};
use wire::frame::Call;

use super::request::{
    admit,
    document,
    header,
    limit_share,
    payload,
    team, //
};
use crate::{
    calls::{
        self,
        Answer, //
    },
    gates::{self},
    problem::{
        Code,
        Problem, //
    },
    state::State, //
};

/// Prefix of the paths of calls.
const PATH_PREFIX: &str = "/svc/";

/// Handler of calls to plain services.
pub(crate) struct Service {
    pub(crate) state: Arc<State>,
}

#[handler]
impl Service {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.call(req).await {
            Ok(answer) => write(answer, res),
            Err(problem) => problem.write(res),
        }
    }
}

impl Service {
    /// Admits a call, and sends it to the service.
    async fn call(&self, req: &mut Request) -> Result<Answer, Problem> {
        let state = &self.state;
        let _guard = admit(state)?;
        let body = payload(req, state.settings.limits.body).await?;
        let team = team(req);
        let snapshot = document(state)?;
        let (service, path) = split(req)?;
        let target = snapshot
            .document
            .route(req.uri().path(), &team, "", |name| header(req, name))
            .filter(|target| target.service == service)
            .ok_or_else(|| {
                Problem::new(
                    Code::NotFound,
                    format!("no route takes service `{service}`"),
                )
            })?;
        let provision = snapshot.document.service(&service).ok_or_else(|| {
            Problem::new(Code::NotFound, format!("there is no service `{service}`"))
        })?;
        let method = req.method().as_str().to_string();
        let contract = &provision.contract;
        let call = Call {
            repeatable: contract.idempotent || contract.safe_methods.contains(&method),
            service,
            team,
            key: header(req, "idempotency-key"),
            method,
            path,
            content_type: header(req, "content-type"),
            accept: header(req, "accept"),
            body,
            recording: None,
        };
        let team = call.team.clone();
        let request = gates::Request {
            service: &provision.name,
            team: &team,
            limit: limit_share(state, &snapshot.document.limit(&team)),
            cost: 1,
            max_wait: state.settings.times.queue,
            waited: std::time::Duration::ZERO,
            objective: gates::first_token_objective(),
            min_concurrency_factor: gates::min_concurrency_factor(),
            resume: false,
        };
        let permit = state.gates.admit(request).await?;
        let answer = calls::call(state, provision, &target.version, call).await;
        permit.record_first_output();
        permit.record_tokens(1);
        answer
    }
}

/// Splits the path into the name of the service and the path at the service, with the query.
fn split(req: &Request) -> Result<(String, String), Problem> {
    let full = req
        .uri()
        .path_and_query()
        .map_or("", |path_and_query| path_and_query.as_str());
    let rest = full.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() {
        return Err(Problem::invalid("path", "the path names no service"));
    }
    let path = if path.starts_with('/') {
        path.to_string()
    } else {
        format!("/{path}")
    };
    Ok((service.to_string(), path))
}

/// Writes the answer of a service to the response.
fn write(answer: Answer, res: &mut Response) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(status);
    let content_type = answer
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok());
    if let Some(value) = content_type {
        res.headers_mut().insert(CONTENT_TYPE, value);
    }
    if answer.replayed {
        let value = HeaderValue::from_static("true");
        res.headers_mut().insert("x-medlarhatch-replayed", value);
    }
    // Fails only when the caller has disconnected.
    let _ = res.write_body(answer.body);
}
