//! `POST /v1/completions` and `POST /v1/chat/completions`.

use std::{
    convert::Infallible,
    sync::Arc, //
};

use answer::position::Position;
use contract::{
    outcome::Reason,
    poison::Verdict, //
};
use futures_util::{
    Stream,
    StreamExt,
    stream, //
};
use routing::Prefix;
use salvo::{
    Request,
    Response,
    handler,
    sse::{
        self,
        SseEvent, //
    },
    writing::Json, //
};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_128, //
};

use super::{
    body,
    openai::{
        self,
        Kind, //
    },
};
use crate::{
    answers::{
        self,
        Chunk,
        Query, //
    },
    callers::request::{
        header,
        limit_share,
        payload,
        team, //
    },
    calls,
    gates::{
        self,
        Permit, //
    },
    problem::{
        Code,
        Problem, //
    },
    state::{
        Guard,
        State, //
    },
};

/// Length of the prompt prefix that is hashed; docs/interfaces/engine.md gives the same number.
const PREFIX_BYTES: usize = 256;

/// Handler of completion requests of one kind.
pub(crate) struct Completions {
    pub(crate) state: Arc<State>,
    pub(crate) kind: Kind,
}

/// Admission of a request: its slot at the entry and its permit for the service.
struct Admission {
    permit: Arc<Permit>,
    _guard: Guard,
}

#[handler]
impl Completions {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.parse(req).await {
            Ok((query, admission)) => self.answer(query, admission, res).await,
            Err(problem) => problem.write(res),
        }
    }
}

impl Completions {
    /// Parses and admits a request.
    async fn parse(&self, req: &mut Request) -> Result<(Query, Admission), Problem> {
        let state = &self.state;
        let guard = super::request::admit(state)?;
        let bytes = payload(req, state.settings.limits.body).await?;
        let body = match self.kind {
            Kind::Completion => body::completion(&bytes)?,
            Kind::Chat => body::chat(&bytes)?,
        };
        let team = team(req);
        let snapshot = super::request::document(state)?;
        let mut target = snapshot
            .document
            .route(req.uri().path(), &team, &body.model, |name| {
                header(req, name)
            })
            .ok_or_else(|| {
                let message = format!("no route takes model `{}` for this team", body.model);
                let mut problem = Problem::new(Code::NotFound, message);
                problem.field = Some("model".into());
                problem
            })?;
        let provision = snapshot.document.service(&target.service);
        let release = provision.and_then(|provision| {
            let mut versions = provision.versions.iter();
            versions.find(|release| release.name == target.version)
        });
        let (Some(provision), Some(release)) = (provision, release) else {
            return Err(Problem::new(
                Code::Unavailable,
                "the route has no such version",
            ));
        };
        let key = header(req, "idempotency-key");
        let position = match header(req, "last-event-id") {
            Some(text) => Some(text.parse::<Position>().map_err(|error| {
                Problem::invalid("Last-Event-ID", format!("`{text}`: {error}"))
            })?),
            None => None,
        };
        let request = request_id(&team, key.as_deref(), &bytes);
        let mut release = release.clone();
        let servers = state.fleet.servers();
        let document = &snapshot.document;
        let assignment =
            state
                .movers
                .assign(document, &request, &servers, &mut target, &mut release);
        let query = Query {
            seed: body.seed.unwrap_or_else(|| xxh3_64(request.as_bytes())),
            resumable: key.is_some(),
            request,
            priority: snapshot.document.limit(&team).priority,
            team,
            continues: provision.contract.continues,
            model: provision.model.clone(),
            release,
            assignment,
            target,
            max_tokens: body.max_tokens.unwrap_or(state.settings.limits.tokens),
            temperature: body.temperature,
            streamed: body.stream,
            position,
            prefix: prefix(&body.prompt),
            prompt: body.prompt,
        };
        if let Verdict::Refused { remaining } = state.suspects.verdict(query.fingerprint()) {
            return Err(calls::refusal(Reason::Poisonous, Some(remaining)));
        }
        let request = gates::Request {
            service: &query.target.service,
            team: &query.team,
            limit: limit_share(state, &snapshot.document.limit(&query.team)),
            cost: query.max_tokens,
            max_wait: state.settings.times.queue,
            waited: std::time::Duration::ZERO,
            objective: gates::first_token_objective(),
            min_concurrency_factor: gates::min_concurrency_factor(),
            resume: query.position.is_some(),
        };
        let permit = Arc::new(state.gates.admit(request).await?);
        Ok((
            query,
            Admission {
                permit,
                _guard: guard,
            },
        ))
    }

    /// Answers a request, streamed or complete.
    async fn answer(&self, query: Query, admission: Admission, res: &mut Response) {
        let id = query.request.clone();
        let model = query.model.clone();
        let streamed = query.streamed;
        let mut chunks = answers::answer(self.state.clone(), query, admission.permit.clone());
        if !streamed {
            self.complete(&id, &model, chunks, res).await;
            return;
        }
        // An interrupt before any other chunk gets an error status instead of a stream.
        match chunks.recv().await {
            Some(Chunk::Interrupt(reason, after)) => {
                openai::interrupted(reason, false).retry(after).write(res);
            }
            Some(first) => {
                let events = events(self.kind, id, model, first, chunks, admission);
                sse::stream(res, events);
            }
            None => Problem::new(Code::Unavailable, "the answer was dropped").write(res),
        }
    }

    /// Answers with the complete text.
    async fn complete(
        &self,
        id: &str,
        model: &str,
        mut chunks: mpsc::Receiver<Chunk>,
        res: &mut Response,
    ) {
        let mut text = String::new();
        while let Some(chunk) = chunks.recv().await {
            match chunk {
                Chunk::Tokens(tokens) => append(&mut text, &tokens),
                Chunk::Restart(tokens) => {
                    text.clear();
                    append(&mut text, &tokens);
                }
                Chunk::Finish(finish, usage) => {
                    res.render(Json(openai::complete(
                        self.kind, id, model, &text, finish, usage,
                    )));
                    return;
                }
                Chunk::Interrupt(reason, after) => {
                    let delivered = !text.is_empty();
                    openai::interrupted(reason, delivered)
                        .retry(after)
                        .write(res);
                    return;
                }
            }
        }
        Problem::new(Code::Unavailable, "the answer was dropped").write(res);
    }
}

/// Returns the identifier of a request: the caller's key with the team and a hash of the body, so
/// that a key reused with another body doesn't return the answer to the first.
fn request_id(team: &str, key: Option<&str>, bytes: &[u8]) -> String {
    match key {
        Some(key) => format!("{team}/{key}/{:032x}", xxh3_128(bytes)),
        None => format!("{team}/-/{:032x}", rand::random::<u128>()),
    }
}

/// Returns the hash of the prompt's prefix, as engines report it in their cache events.
fn prefix(prompt: &str) -> Prefix {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Appends the text of tokens.
fn append(text: &mut String, tokens: &[(Position, String)]) {
    for (_, token) in tokens {
        text.push_str(token);
    }
}

/// Converts the chunks of an answer to server-sent events, and holds the admission until the last.
fn events(
    kind: Kind,
    id: String,
    model: String,
    first: Chunk,
    chunks: mpsc::Receiver<Chunk>,
    admission: Admission,
) -> impl Stream<Item = Result<SseEvent, Infallible>> {
    let rest = stream::unfold((chunks, admission), |(mut chunks, admission)| async move {
        let chunk = chunks.recv().await?;
        Some((chunk, (chunks, admission)))
    });
    stream::once(async { first })
        .chain(rest)
        .flat_map(move |chunk| stream::iter(chunk_events(kind, &id, &model, chunk)))
        .map(Ok)
}

/// Converts a chunk to server-sent events.
fn chunk_events(kind: Kind, id: &str, model: &str, chunk: Chunk) -> Vec<SseEvent> {
    match chunk {
        Chunk::Tokens(tokens) => tokens
            .into_iter()
            .map(|token| token_event(kind, id, model, token))
            .collect(),
        Chunk::Restart(tokens) => {
            let restart = SseEvent::default()
                .name("restart")
                .text("{\"drop\":\"everything received so far\"}");
            let mut events = vec![restart];
            for token in tokens {
                events.push(token_event(kind, id, model, token));
            }
            events
        }
        Chunk::Finish(finish, _) => {
            let chunk = openai::chunk(kind, id, model, "", Some(finish));
            vec![
                SseEvent::default().text(chunk.to_string()),
                SseEvent::default().text("[DONE]"),
            ]
        }
        Chunk::Interrupt(reason, after) => {
            let problem = openai::interrupted(reason, true).retry(after);
            let body = serde_json::json!({"error": problem}).to_string();
            vec![SseEvent::default().name("error").retry(after).text(body)]
        }
    }
}

/// Creates the event of one token; the id of the event is the position after the token.
fn token_event(kind: Kind, id: &str, model: &str, token: (Position, String)) -> SseEvent {
    let (position, text) = token;
    let chunk = openai::chunk(kind, id, model, &text, None);
    SseEvent::default()
        .id(position.to_string())
        .text(chunk.to_string())
}
