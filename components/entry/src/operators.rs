//! The interface for operators: documents and what is in force where.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    }, //
};

use names::Revision;
use report::{
    page,
    text, //
};
use salvo::{
    Request,
    Response,
    Router,
    handler,
    writing::{
        Json,
        Text, //
    }, //
};
use serde::Serialize;
use serde_json::json;
use spread::{
    edit::{
        Draft,
        Outcome,
        Pin,
        Record, //
    },
    message::Account, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use crate::{
    callers::payload,
    documents::edit,
    problem::{
        Code,
        Problem,
        Run, //
    },
    state::State,
};

/// How long a survey waits for the other data centres.
const SURVEY: Duration = Duration::from_secs(2);

/// When an operator may come back during an outage of the store.
const RETRY: Duration = Duration::from_secs(5);

/// The operators' interface.
pub(crate) fn router(state: &Arc<State>) -> Router {
    let with = || state.clone();
    let environment = Router::with_path("environments/{environment}")
        .get(Get { state: with() })
        .put(Put { state: with() })
        .push(Router::with_path("promote").post(Promote { state: with() }))
        .push(Router::with_path("status").get(Survey { state: with() }));
    Router::new()
        .push(environment)
        .push(Router::with_path("reports/burn").get(Burn { state: with() }))
        .push(Router::with_path("reports/moves").get(Moves { state: with() }))
        .push(Router::with_path("reports/resumes").get(Resumes { state: with() }))
        .push(Router::with_path("status").get(Status { state: with() }))
}

struct Get {
    state: Arc<State>,
}

/// A document as the store keeps it.
#[derive(Serialize)]
struct Kept {
    revision: Revision,
    edit: Record,
    text: String,
    history: Vec<Record>,
}

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let environment = name(req);
        match edit::stored(&self.state.platform, &environment).await {
            Ok(Some(stored)) => res.render(Json(Kept {
                revision: stored.revision,
                edit: stored.envelope.edit,
                text: stored.envelope.text,
                history: stored.envelope.history,
            })),
            Ok(None) => {
                let message = format!("there is no environment `{environment}`");
                Problem::new(Code::NotFound, message).write(res);
            }
            Err(error) => out(&error.to_string()).write(res),
        }
    }
}

struct Put {
    state: Arc<State>,
}

#[handler]
impl Put {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let made = async {
            let environment = name(req);
            let bytes = payload(req, environment::MAX_DOCUMENT_BYTES as u64).await?;
            let text = String::from_utf8(bytes)
                .map_err(|error| Problem::invalid("body", format!("not UTF-8: {error}")))?;
            check(&text, &environment)?;
            let draft = draft(&self.state, req, text, None).await?;
            make(&self.state, draft).await
        };
        render(made.await, res);
    }
}

struct Promote {
    state: Arc<State>,
}

#[handler]
impl Promote {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let made = async {
            let pin = pin(req)?;
            let environment = name(req);
            let trial = edit::stored(&self.state.platform, &pin.environment)
                .await
                .map_err(|error| out(&error.to_string()))?;
            let text = trial.map_or_else(String::new, |stored| stored.envelope.text);
            // The edit refuses a trial that isn't what the pin says; but it first looks whether it
            // is a repeat, and a repeat is accepted even when the trial has changed since.
            let text = environment::replace_environment(&text, &environment).unwrap_or_default();
            let draft = draft(&self.state, req, text, Some(pin)).await?;
            make(&self.state, draft).await
        };
        render(made.await, res);
    }
}

fn name(req: &Request) -> String {
    req.param("environment").unwrap_or_default()
}

fn pin(req: &mut Request) -> Result<Pin, Problem> {
    let missing = |field: &str, what: &str| Problem::invalid(field, what);
    let digest: Option<String> = req.query("digest");
    let digest = digest.and_then(|digest| u64::from_str_radix(&digest, 16).ok());
    Ok(Pin {
        environment: req
            .query("from")
            .ok_or_else(|| missing("from", "the environment of the trial is needed"))?,
        revision: req
            .query("revision")
            .ok_or_else(|| missing("revision", "the revision that was tried is needed"))?,
        digest: digest
            .ok_or_else(|| missing("digest", "the digest that was tried is needed, in hex"))?,
    })
}

fn check(text: &str, environment: &str) -> Result<(), Problem> {
    let document = environment::parse_checked(text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Problem::invalid("body", lines.join("\n"))
    })?;
    if document.environment != environment {
        let message = format!("the document is for `{}`", document.environment);
        return Err(Problem::invalid("environment", message));
    }
    Ok(())
}

/// The edit that a request asks for. Without `base` it replaces what stands there now.
async fn draft(
    state: &State,
    req: &mut Request,
    text: String,
    trial: Option<Pin>,
) -> Result<Draft, Problem> {
    let environment = name(req);
    let base = match req.query("base") {
        Some(base) => base,
        None => edit::stored(&state.platform, &environment)
            .await
            .map_err(|error| out(&error.to_string()))?
            .map_or(0, |stored| stored.revision),
    };
    let id: Option<String> = req.query("edit");
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Ok(Draft {
        environment,
        id: id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())),
        operator: req.query("operator").unwrap_or_else(|| "unnamed".into()),
        at: Duration::from_secs(now.unwrap_or_default().as_secs()),
        base,
        text,
        trial,
    })
}

async fn make(state: &State, draft: Draft) -> Result<Outcome, Problem> {
    let id = draft.id.clone();
    let environment = draft.environment.clone();
    let outcome = edit::make(&state.platform, draft).await;
    match &outcome {
        Outcome::Accepted { .. } => {
            // Nobody needs to wait for a watch to tell what this entry knows already.
            if environment == state.settings.environment {
                spread_now(state, &environment).await;
            }
            Ok(outcome)
        }
        Outcome::Raced { revision, other } => {
            let by = by(other.as_ref());
            let message = format!("another edit came first: {by}, now revision {revision}");
            Err(Problem::new(Code::Conflict, message))
        }
        Outcome::Changed { revision, other } => {
            let by = by(other.as_ref());
            let message = format!("the trial isn't what was tried: {by}, now revision {revision}");
            Err(Problem::new(Code::Conflict, message))
        }
        Outcome::Large => {
            let message = "the document is larger than the store takes; nothing was written";
            Err(Problem::new(Code::TooLarge, message))
        }
        Outcome::Unavailable => Err(out("the store is out")),
        Outcome::Unknown => {
            let message = format!(
                "the store is out, and whether the document was written isn't known; \
                 the same with edit id {id} may be repeated and takes effect once"
            );
            let problem = Problem::new(Code::Unknown, message).run(Run::Unknown);
            Err(problem.retry(RETRY))
        }
    }
}

async fn spread_now(state: &State, environment: &str) {
    let Ok(Some(stored)) = edit::stored(&state.platform, environment).await else {
        return;
    };
    state.documents.event(spread::Event::Seen {
        environment: environment.to_string(),
        edition: stored.edition(),
    });
}

fn by(other: Option<&Record>) -> String {
    match other {
        Some(record) if record.id.is_empty() => "written by other means".into(),
        Some(record) => format!("edit {} of {}", record.id, record.operator),
        None => "there is no such document any more".into(),
    }
}

fn out(reason: &str) -> Problem {
    let message = format!("{reason}; nothing was written");
    Problem::new(Code::Unavailable, message).retry(RETRY)
}

fn render(made: Result<Outcome, Problem>, res: &mut Response) {
    match made {
        Ok(Outcome::Accepted {
            revision,
            replaced_by,
        }) => res.render(Json(
            json!({"revision": revision, "replaced_by": replaced_by}),
        )),
        Ok(outcome) => res.render(Json(outcome)),
        Err(problem) => problem.write(res),
    }
}

struct Survey {
    state: Arc<State>,
}

/// What is in force where, as far as the data centres answer.
#[derive(Serialize)]
struct Where {
    environment: String,
    /// Highest revision that any answer names.
    revision: Revision,
    data_centres: Vec<Account>,
}

#[handler]
impl Survey {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let environment = name(req);
        let until = Instant::now() + SURVEY;
        let (number, mut accounts) = self.state.documents.survey();
        let wanted = self
            .state
            .hosts
            .data_centres(&self.state.settings.data_centre);
        let mut heard = BTreeMap::new();
        while heard.len() < wanted {
            let Ok(Some(mut account)) = timeout_at(until, accounts.recv()).await else {
                break;
            };
            account
                .standings
                .retain(|one| one.environment == environment);
            heard.insert(account.data_centre.clone(), account);
        }
        self.state.documents.surveyed(number);
        let standings = heard.values().flat_map(|account| &account.standings);
        let revision = standings.map(|one| one.revision).max().unwrap_or(0);
        res.render(Json(Where {
            environment,
            revision,
            data_centres: heard.into_values().collect(),
        }));
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

struct Resumes {
    state: Arc<State>,
}

#[handler]
impl Resumes {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let rows = self.state.resumes.rows();
        match req.query::<String>("format").as_deref() {
            Some("text") => res.render(Text::Plain(report::resumes::text(&rows))),
            _ => res.render(Json(rows)),
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
    revision: Revision,
    digest: String,
    ready: bool,
    /// Backend servers that this entry has a link to and that are healthy.
    servers: Vec<String>,
}

#[handler]
impl Status {
    async fn handle(&self, res: &mut Response) {
        let held = self.state.documents.held();
        let revision = held.as_ref().map_or(0, |held| held.revision);
        let digest = held.map_or_else(String::new, |held| format!("{:016x}", held.digest));
        res.render(Json(InForce {
            host: &self.state.settings.name,
            environment: &self.state.settings.environment,
            revision,
            digest,
            ready: self.state.documents.serves(),
            servers: self.state.fleet.servers(),
        }));
    }
}
