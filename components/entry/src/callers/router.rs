//! Routes of the interface for callers.

use std::sync::Arc;

use salvo::{
    Depot,
    FlowCtrl,
    Request,
    Response,
    Router,
    handler, //
};

use super::{
    completions::Completions,
    cutoff::Cutoff,
    openai::Kind,
    service::Service,
    status::Status, //
};
use crate::{
    problem::{
        Code,
        Problem, //
    },
    state::State, //
};

/// Returns the routes of the interface for callers.
pub(crate) fn router(state: &Arc<State>) -> Router {
    let completions = |kind| Completions {
        state: state.clone(),
        kind,
    };
    let service = || Service {
        state: state.clone(),
    };
    let status = Status {
        state: state.clone(),
    };
    let cutoff = Cutoff {
        state: state.clone(),
    };
    Router::new()
        .hoop(cutoff)
        .push(Router::with_path("v1/completions").post(completions(Kind::Completion)))
        .push(Router::with_path("v1/chat/completions").post(completions(Kind::Chat)))
        .push(Router::with_path("v1/calls/{key}").get(status))
        .push(Router::with_path("svc/{service}").goal(service()))
        .push(Router::with_path("svc/{service}/{**rest}").goal(service()))
        .push(Router::with_path("{**rest}").goal(unknown))
}

/// Responds to paths that match no route.
#[handler]
async fn unknown(req: &mut Request, res: &mut Response, _: &mut Depot, _: &mut FlowCtrl) {
    let message = format!("nothing is at `{}`", req.uri().path());
    Problem::new(Code::NotFound, message).write(res);
}
