//! HTTP interface for operators: edits of documents, their state in each data centre, and reports.

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
    message::Inventory, //
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

/// Time within which the data centres must respond to a survey.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an operator may retry during an outage of the store.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Returns the routes of the interface for operators.
pub(crate) fn router(state: &Arc<State>) -> Router {
    let state = || state.clone();
    let environment = Router::with_path("environments/{environment}")
        .get(Get { state: state() })
        .put(Put { state: state() })
        .push(Router::with_path("promote").post(Promote { state: state() }))
        .push(Router::with_path("status").get(Survey { state: state() }));
    Router::new()
        .push(environment)
        .push(Router::with_path("reports/burn").get(Burn { state: state() }))
        .push(Router::with_path("reports/moves").get(Moves { state: state() }))
        .push(Router::with_path("reports/resumes").get(Resumes { state: state() }))
        .push(Router::with_path("status").get(Status { state: state() }))
}

/// `GET /environments/<environment>`: returns the document in the store.
struct Get {
    state: Arc<State>,
}

/// Response of [`Get`]: a document in the store.
#[derive(Serialize)]
struct Stored {
    revision: Revision,
    edit: Record,
    text: String,
    history: Vec<Record>,
}

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let environment = environment_name(req);
        match edit::read(&self.state.platform, &environment).await {
            Ok(Some(stored)) => res.render(Json(Stored {
                revision: stored.revision,
                edit: stored.envelope.edit,
                text: stored.envelope.text,
                history: stored.envelope.history,
            })),
            Ok(None) => {
                let message = format!("there is no environment `{environment}`");
                Problem::new(Code::NotFound, message).write(res);
            }
            Err(error) => unavailable(&error.to_string()).write(res),
        }
    }
}

/// `PUT /environments/<environment>`: replaces the document.
struct Put {
    state: Arc<State>,
}

#[handler]
impl Put {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let applied = async {
            let environment = environment_name(req);
            let bytes = payload(req, environment::MAX_DOCUMENT_BYTES as u64).await?;
            let text = String::from_utf8(bytes)
                .map_err(|error| Problem::invalid("body", format!("not UTF-8: {error}")))?;
            validate(&text, &environment)?;
            let draft = draft(&self.state, req, text, None).await?;
            apply(&self.state, draft).await
        };
        render(applied.await, res);
    }
}

/// `POST /environments/<environment>/promote`: copies the document that was tried in another
/// environment.
struct Promote {
    state: Arc<State>,
}

#[handler]
impl Promote {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let applied = async {
            let trial_revision = trial_revision(req)?;
            let environment = environment_name(req);
            let trial = edit::read(&self.state.platform, &trial_revision.environment)
                .await
                .map_err(|error| unavailable(&error.to_string()))?;
            let text = trial.map_or_else(String::new, |stored| stored.envelope.text);
            // The edit is refused if the trial differs from this revision, except for a repeated
            // edit: that is accepted even if the trial has changed since.
            let text = environment::replace_environment(&text, &environment).unwrap_or_default();
            let draft = draft(&self.state, req, text, Some(trial_revision)).await?;
            apply(&self.state, draft).await
        };
        render(applied.await, res);
    }
}

/// Returns the environment that the path names.
fn environment_name(req: &Request) -> String {
    req.param("environment").unwrap_or_default()
}

/// Reads from the query which revision of another environment was tried.
///
/// # Errors
///
/// Returns a [`Code::Invalid`] problem for a parameter that is missing or malformed.
fn trial_revision(req: &mut Request) -> Result<Pin, Problem> {
    let invalid = |field: &str, message: &str| Problem::invalid(field, message);
    let digest: Option<String> = req.query("digest");
    let digest = digest.and_then(|digest| u64::from_str_radix(&digest, 16).ok());
    Ok(Pin {
        environment: req
            .query("from")
            .ok_or_else(|| invalid("from", "the environment of the trial is needed"))?,
        revision: req
            .query("revision")
            .ok_or_else(|| invalid("revision", "the revision that was tried is needed"))?,
        digest: digest
            .ok_or_else(|| invalid("digest", "the digest that was tried is needed, in hex"))?,
    })
}

/// Checks that a text is a valid document of an environment.
fn validate(text: &str, environment: &str) -> Result<(), Problem> {
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

/// Builds the edit that a request describes. Without `base`, it is based on the current revision.
async fn draft(
    state: &State,
    req: &mut Request,
    text: String,
    trial: Option<Pin>,
) -> Result<Draft, Problem> {
    let environment = environment_name(req);
    let base = match req.query("base") {
        Some(base) => base,
        None => edit::read(&state.platform, &environment)
            .await
            .map_err(|error| unavailable(&error.to_string()))?
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

/// Applies an edit, and converts failures to problems.
async fn apply(state: &State, draft: Draft) -> Result<Outcome, Problem> {
    let id = draft.id.clone();
    let environment = draft.environment.clone();
    let outcome = edit::apply(&state.platform, draft).await;
    match &outcome {
        Outcome::Accepted { .. } => {
            // Spread it now instead of waiting for a watch of the store to report it.
            if environment == state.settings.environment {
                announce(state, &environment).await;
            }
            Ok(outcome)
        }
        Outcome::Raced { revision, other } => {
            let author = author(other.as_ref());
            let message = format!("another edit came first: {author}, now revision {revision}");
            Err(Problem::new(Code::Conflict, message))
        }
        Outcome::Changed { revision, other } => {
            let author = author(other.as_ref());
            let message =
                format!("the trial isn't what was tried: {author}, now revision {revision}");
            Err(Problem::new(Code::Conflict, message))
        }
        Outcome::Large => {
            let message = "the document is larger than the store takes; nothing was written";
            Err(Problem::new(Code::TooLarge, message))
        }
        Outcome::Unavailable => Err(unavailable("the store is out")),
        Outcome::Unknown => {
            let message = format!(
                "the store is out, and whether the document was written isn't known; \
                 the same with edit id {id} may be repeated and takes effect once"
            );
            let problem = Problem::new(Code::Unknown, message).run(Run::Unknown);
            Err(problem.retry(OUTAGE_RETRY_AFTER))
        }
    }
}

/// Reads the stored document and passes it to the document replica.
async fn announce(state: &State, environment: &str) {
    let Ok(Some(stored)) = edit::read(&state.platform, environment).await else {
        return;
    };
    state.documents.queue_event(spread::Event::Observed {
        environment: environment.to_string(),
        edition: stored.edition(),
    });
}

/// Describes who wrote the current revision.
fn author(other: Option<&Record>) -> String {
    match other {
        Some(record) if record.id.is_empty() => "written by other means".into(),
        Some(record) => format!("edit {} of {}", record.id, record.operator),
        None => "there is no such document any more".into(),
    }
}

/// Creates the problem for an outage of the store.
fn unavailable(reason: &str) -> Problem {
    let message = format!("{reason}; nothing was written");
    Problem::new(Code::Unavailable, message).retry(OUTAGE_RETRY_AFTER)
}

/// Writes the result of an edit to the response.
fn render(applied: Result<Outcome, Problem>, res: &mut Response) {
    match applied {
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

/// `GET /environments/<environment>/status`: returns the revisions in force in each data centre.
struct Survey {
    state: Arc<State>,
}

/// Response of [`Survey`]: the revisions in force in the data centres that responded in time.
#[derive(Serialize)]
struct Overview {
    environment: String,
    /// Highest revision of all responses.
    revision: Revision,
    data_centres: Vec<Inventory>,
}

#[handler]
impl Survey {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let environment = environment_name(req);
        let deadline = Instant::now() + SURVEY_TIMEOUT;
        let (survey, mut inventories) = self.state.documents.survey();
        let expected = self
            .state
            .hosts
            .data_centre_count(&self.state.settings.data_centre);
        let mut received = BTreeMap::new();
        while received.len() < expected {
            let Ok(Some(mut inventory)) = timeout_at(deadline, inventories.recv()).await else {
                break;
            };
            inventory
                .holders
                .retain(|holders| holders.environment == environment);
            received.insert(inventory.data_centre.clone(), inventory);
        }
        self.state.documents.end_survey(survey);
        let holders = received.values().flat_map(|inventory| &inventory.holders);
        let revision = holders.map(|holders| holders.revision).max().unwrap_or(0);
        res.render(Json(Overview {
            environment,
            revision,
            data_centres: received.into_values().collect(),
        }));
    }
}

/// `GET /reports/burn`: returns the report on service-level burn.
struct Burn {
    state: Arc<State>,
}

#[handler]
impl Burn {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let burn = self.state.burn.report(self.state.now());
        match req.query::<String>("format").as_deref() {
            Some("html") => res.render(Text::Html(page::burn(&burn))),
            Some("text") => res.render(Text::Plain(text::burn(&burn))),
            _ => res.render(Json(burn)),
        }
    }
}

/// `GET /reports/moves`: returns the report on moves.
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

/// `GET /reports/resumes`: returns the report on resumed answers.
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

/// `GET /status`: returns the state of this entry.
struct Status {
    state: Arc<State>,
}

/// Response of [`Status`]: the state of this entry.
#[derive(Serialize)]
struct Summary<'a> {
    host: &'a str,
    environment: &'a str,
    revision: Revision,
    digest: String,
    ready: bool,
    /// Healthy backend servers that this entry has a link to.
    servers: Vec<String>,
}

#[handler]
impl Status {
    async fn handle(&self, res: &mut Response) {
        // Read before the document, which may be replaced in between: this entry is never reported
        // as ready with a document that it had before it was.
        let ready = self.state.documents.may_serve();
        let snapshot = self.state.documents.latest();
        let revision = snapshot.as_ref().map_or(0, |snapshot| snapshot.revision);
        let digest =
            snapshot.map_or_else(String::new, |snapshot| format!("{:016x}", snapshot.digest));
        res.render(Json(Summary {
            host: &self.state.settings.name,
            environment: &self.state.settings.environment,
            revision,
            digest,
            ready,
            servers: self.state.fleet.servers(),
        }));
    }
}
