//! The interface for operators: documents and what is in force here.

use std::sync::Arc;

use platform::store::{
    Expect,
    Write, //
};
use report::{
    page,
    text, //
};
use salvo::{
    Request, Response, Router, handler,
    writing::{
        Json,
        Text, //
    },
};
use serde::Serialize;
use serde_json::json;

use crate::{
    callers::payload,
    documents::key,
    problem::{
        Code,
        Problem, //
    },
    state::State,
};

/// Largest document in bytes: the platform's store takes no more.
const LARGEST: u64 = 1 << 20;

/// The operators' interface.
pub(crate) fn router(state: &Arc<State>) -> Router {
    let path = "environments/{environment}";
    Router::new()
        .push(Router::with_path(path).put(Put {
            state: state.clone(),
        }))
        .push(Router::with_path("reports/burn").get(Burn {
            state: state.clone(),
        }))
        .push(Router::with_path("reports/moves").get(Moves {
            state: state.clone(),
        }))
        .push(Router::with_path("status").get(Status {
            state: state.clone(),
        }))
}

struct Put {
    state: Arc<State>,
}

#[handler]
impl Put {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.put(req).await {
            Ok(revision) => res.render(Json(json!({"revision": revision}))),
            Err(problem) => problem.write(res),
        }
    }
}

impl Put {
    async fn put(&self, req: &mut Request) -> Result<u64, Problem> {
        let environment: String = req.param("environment").unwrap_or_default();
        let bytes = payload(req, LARGEST).await?;
        let text = String::from_utf8(bytes)
            .map_err(|error| Problem::invalid("body", format!("not UTF-8: {error}")))?;
        let document = environment::read(&text).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            Problem::invalid("body", lines.join("\n"))
        })?;
        if document.environment != environment {
            let message = format!("the document is for `{}`", document.environment);
            return Err(Problem::invalid("environment", message));
        }
        let key = key(&environment);
        match self
            .state
            .platform
            .put(&key, &text, Expect::Any, None)
            .await
        {
            Ok(Write::Done { revision }) => Ok(revision),
            Ok(Write::Conflict { .. }) => {
                Err(Problem::new(Code::Unavailable, "another edit came first"))
            }
            Err(error) => Err(Problem::new(Code::Unavailable, error.to_string())),
        }
    }
}

struct Burn {
    state: Arc<State>,
}

#[handler]
impl Burn {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let burn = self.state.book.report(self.state.now());
        match req.query::<String>("format").as_deref() {
            Some("html") => res.render(Text::Html(page::burn(&burn))),
            Some("text") => res.render(Text::Plain(text::burn(&burn))),
            _ => res.render(Json(burn)),
        }
    }
}

struct Moves {
    state: Arc<State>,
}

#[handler]
impl Moves {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let moves = self.state.movers.progress();
        match req.query::<String>("format").as_deref() {
            Some("text") => res.render(Text::Plain(report::moves::text(&moves))),
            _ => res.render(Json(moves)),
        }
    }
}

struct Status {
    state: Arc<State>,
}

/// What is in force at one entry.
#[derive(Serialize)]
struct InForce<'a> {
    host: &'a str,
    environment: &'a str,
    revision: u64,
    digest: String,
    /// Backend servers that this entry has a link to and that are healthy.
    servers: Vec<String>,
}

#[handler]
impl Status {
    async fn handle(&self, res: &mut Response) {
        let held = self.state.documents.current();
        let revision = held.as_ref().map_or(0, |held| held.revision);
        let digest = held.map_or_else(String::new, |held| {
            format!("{:016x}", environment::digest(&held.text))
        });
        res.render(Json(InForce {
            host: &self.state.settings.name,
            environment: &self.state.settings.environment,
            revision,
            digest,
            servers: self.state.fleet.servers(),
        }));
    }
}
