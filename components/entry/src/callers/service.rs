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
    limit,
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

/// Start of the paths of calls.
const PREFIX: &str = "/svc/";

/// Passes calls through.
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
    async fn call(&self, req: &mut Request) -> Result<Answer, Problem> {
        let state = &self.state;
        let _ticket = admit(state)?;
        let body = payload(req, state.settings.limits.body).await?;
        let team = team(req);
        let held = document(state)?;
        let (service, path) = split(req)?;
        let target = held
            .document
            .route(req.uri().path(), &team, "", |name| header(req, name))
            .filter(|target| target.service == service)
            .ok_or_else(|| {
                Problem::new(
                    Code::NotFound,
                    format!("no route takes service `{service}`"),
                )
            })?;
        let provision = held.document.service(&service).ok_or_else(|| {
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
            limit: limit(state, &held.document.limit(&team)),
            cost: 1,
            patience: state.settings.times.queue,
            objective: gates::objective(),
            lowest: gates::lowest(),
            resume: false,
        };
        let pass = state.gates.admit(request).await?;
        let answer = calls::call(state, provision, &target.version, call).await;
        pass.first();
        pass.used(1);
        answer
    }
}

/// Cuts the path into the service's name and what the service gets.
fn split(req: &Request) -> Result<(String, String), Problem> {
    let whole = req
        .uri()
        .path_and_query()
        .map_or("", |path_and_query| path_and_query.as_str());
    let rest = whole.strip_prefix(PREFIX).unwrap_or_default();
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
    // A body that can't be written is a caller that is gone.
    let _ = res.write_body(answer.body);
}
