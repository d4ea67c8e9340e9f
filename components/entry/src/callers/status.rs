//! `GET /v1/calls/<key>`: the outcome of a call.

use std::sync::Arc;

use salvo::{
    Request,
    Response,
    handler,
    writing::Json, //
};

use super::request::{
    document,
    team, //
};
use crate::{
    calls,
    problem::{
        Code,
        Problem,
        Run, //
    },
    state::State,
};

/// Handler of outcome requests. A key belongs to a team and a service; without `?service=`, all
/// services that record calls are searched.
pub(crate) struct Status {
    pub(crate) state: Arc<State>,
}

#[handler]
impl Status {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.find(req).await {
            Ok(outcome) => res.render(Json(outcome.message())),
            Err(problem) => problem.write(res),
        }
    }
}

impl Status {
    /// Finds the outcome of the call that a request names.
    async fn find(&self, req: &mut Request) -> Result<contract::Outcome, Problem> {
        let team = team(req);
        let key: String = req
            .param("key")
            .ok_or_else(|| Problem::invalid("path", "the path names no key"))?;
        let services = match req.query::<String>("service") {
            Some(service) => vec![service],
            None => self.services()?,
        };
        for service in services {
            if let Some(outcome) = calls::status(&self.state, &service, &team, &key).await? {
                return Ok(outcome);
            }
        }
        // A missing record proves nothing: a request with the key may be on its way to a sidecar.
        let message = "no record of a call with that key";
        Err(Problem::new(Code::NotFound, message).run(Run::Unknown))
    }

    /// Returns the names of the services that record calls.
    fn services(&self) -> Result<Vec<String>, Problem> {
        let snapshot = document(&self.state)?;
        let plain = snapshot.document.services.iter().filter(|service| {
            service.kind == environment::document::Kind::Plain && !service.contract.idempotent
        });
        Ok(plain.map(|service| service.name.clone()).collect())
    }
}
