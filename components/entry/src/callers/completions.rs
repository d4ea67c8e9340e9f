//! `POST /v1/completions` and `POST /v1/chat/completions`.

use std::{
    convert::Infallible,
    sync::Arc, //
};

use answer::mark::Mark;
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
    shape::{
        self,
        Kind, //
    },
};
use crate::{
    answers::{
        self,
        Ask,
        Piece, //
    },
    callers::request::{
        header,
        limit,
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
        Request as Ticket,
        State, //
    },
};

/// Bytes of a prompt that its prefix is made of; docs/interfaces/engine.md has the same number.
const PREFIX: usize = 256;

/// Answers requests of one kind.
pub(crate) struct Completions {
    pub(crate) state: Arc<State>,
    pub(crate) kind: Kind,
}

/// What a request in progress holds: its place at the entry, and its pass for the service.
struct Leave {
    pass: Arc<Permit>,
    _ticket: Ticket,
}

#[handler]
impl Completions {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.ask(req).await {
            Ok((ask, leave)) => self.answer(ask, leave, res).await,
            Err(problem) => problem.write(res),
        }
    }
}

impl Completions {
    async fn ask(&self, req: &mut Request) -> Result<(Ask, Leave), Problem> {
        let state = &self.state;
        let ticket = super::request::admit(state)?;
        let bytes = payload(req, state.settings.limits.body).await?;
        let body = match self.kind {
            Kind::Completion => body::completion(&bytes)?,
            Kind::Chat => body::chat(&bytes)?,
        };
        let team = team(req);
        let held = super::request::document(state)?;
        let mut target = held
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
        let provision = held.document.service(&target.service);
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
        let mark = match header(req, "last-event-id") {
            Some(text) => Some(text.parse::<Mark>().map_err(|error| {
                Problem::invalid("Last-Event-ID", format!("`{text}`: {error}"))
            })?),
            None => None,
        };
        let request = name(&team, key.as_deref(), &bytes);
        let mut release = release.clone();
        let servers = state.fleet.servers();
        let document = &held.document;
        let picked = state
            .movers
            .pick(document, &request, &servers, &mut target, &mut release);
        let ask = Ask {
            seed: body.seed.unwrap_or_else(|| xxh3_64(request.as_bytes())),
            resumable: key.is_some(),
            request,
            priority: held.document.limit(&team).priority,
            team,
            continues: provision.contract.continues,
            model: provision.model.clone(),
            release,
            picked,
            target,
            max_tokens: body.max_tokens.unwrap_or(state.settings.limits.tokens),
            temperature: body.temperature,
            streamed: body.stream,
            mark,
            prefix: prefix(&body.prompt),
            prompt: body.prompt,
        };
        if let Verdict::Refused { remaining } = state.suspects.verdict(ask.fingerprint()) {
            return Err(calls::refusal(Reason::Poisonous, Some(remaining)));
        }
        let request = gates::Request {
            service: &ask.target.service,
            team: &ask.team,
            limit: limit(state, &held.document.limit(&ask.team)),
            cost: ask.max_tokens,
            patience: state.settings.times.queue,
            objective: gates::objective(),
            lowest: gates::lowest(),
            resume: ask.mark.is_some(),
        };
        let pass = Arc::new(state.gates.admit(request).await?);
        Ok((
            ask,
            Leave {
                pass,
                _ticket: ticket,
            },
        ))
    }

    async fn answer(&self, ask: Ask, leave: Leave, res: &mut Response) {
        let id = ask.request.clone();
        let model = ask.model.clone();
        let streamed = ask.streamed;
        let mut pieces = answers::answer(self.state.clone(), ask, leave.pass.clone());
        if !streamed {
            self.whole(&id, &model, pieces, res).await;
            return;
        }
        // The first piece decides between a stream and a refusal with a status of its own.
        match pieces.recv().await {
            Some(Piece::Interrupt(reason, after)) => {
                shape::interrupted(reason, false).retry(after).write(res);
            }
            Some(first) => {
                let events = events(self.kind, id, model, first, pieces, leave);
                sse::stream(res, events);
            }
            None => Problem::new(Code::Unavailable, "the answer was dropped").write(res),
        }
    }

    async fn whole(
        &self,
        id: &str,
        model: &str,
        mut pieces: mpsc::Receiver<Piece>,
        res: &mut Response,
    ) {
        let mut text = String::new();
        while let Some(piece) = pieces.recv().await {
            match piece {
                Piece::Tokens(tokens) => push(&mut text, &tokens),
                Piece::Restart(tokens) => {
                    text.clear();
                    push(&mut text, &tokens);
                }
                Piece::Finish(finish, usage) => {
                    res.render(Json(shape::whole(
                        self.kind, id, model, &text, finish, usage,
                    )));
                    return;
                }
                Piece::Interrupt(reason, after) => {
                    let begun = !text.is_empty();
                    shape::interrupted(reason, begun).retry(after).write(res);
                    return;
                }
            }
        }
        Problem::new(Code::Unavailable, "the answer was dropped").write(res);
    }
}

/// A request's identity: the caller's key with the team and the content, so that a key that comes
/// with another content can't get the other content's answer.
fn name(team: &str, key: Option<&str>, bytes: &[u8]) -> String {
    match key {
        Some(key) => format!("{team}/{key}/{:032x}", xxh3_128(bytes)),
        None => format!("{team}/-/{:032x}", rand::random::<u128>()),
    }
}

/// Hash of a prompt's beginning, as engines name it in their cache events.
fn prefix(prompt: &str) -> Prefix {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX)])
}

fn push(text: &mut String, tokens: &[(Mark, String)]) {
    for (_, token) in tokens {
        text.push_str(token);
    }
}

/// Turns the pieces of an answer into server-sent events; the leave lives as long as they do.
fn events(
    kind: Kind,
    id: String,
    model: String,
    first: Piece,
    pieces: mpsc::Receiver<Piece>,
    leave: Leave,
) -> impl Stream<Item = Result<SseEvent, Infallible>> {
    let rest = stream::unfold((pieces, leave), |(mut pieces, leave)| async move {
        let piece = pieces.recv().await?;
        Some((piece, (pieces, leave)))
    });
    stream::once(async { first })
        .chain(rest)
        .flat_map(move |piece| stream::iter(event(kind, &id, &model, piece)))
        .map(Ok)
}

fn event(kind: Kind, id: &str, model: &str, piece: Piece) -> Vec<SseEvent> {
    match piece {
        Piece::Tokens(tokens) => tokens
            .into_iter()
            .map(|token| token_event(kind, id, model, token))
            .collect(),
        Piece::Restart(tokens) => {
            let restart = SseEvent::default()
                .name("restart")
                .text("{\"drop\":\"everything received so far\"}");
            let mut events = vec![restart];
            for token in tokens {
                events.push(token_event(kind, id, model, token));
            }
            events
        }
        Piece::Finish(finish, _) => {
            let chunk = shape::chunk(kind, id, model, "", Some(finish));
            vec![
                SseEvent::default().text(chunk.to_string()),
                SseEvent::default().text("[DONE]"),
            ]
        }
        Piece::Interrupt(reason, after) => {
            let problem = shape::interrupted(reason, true).retry(after);
            let body = serde_json::json!({"error": problem}).to_string();
            vec![SseEvent::default().name("error").retry(after).text(body)]
        }
    }
}

fn token_event(kind: Kind, id: &str, model: &str, token: (Mark, String)) -> SseEvent {
    let (mark, text) = token;
    let chunk = shape::chunk(kind, id, model, &text, None);
    SseEvent::default()
        .id(mark.to_string())
        .text(chunk.to_string())
}
