//! A request that is admitted.

use std::{
    cell::OnceCell,
    rc::Rc,
    time::Duration, //
};

use admission::scarcity::Standing;
use contract::poison::{
    self,
    Fingerprint,
    evidence::Subject, //
};
use environment::document::Passthrough;
use events::{
    forwarding,
    note, //
};
use http::{
    Response,
    header::HOST,
    request::Parts, //
};
use names::{
    Route,
    Server,
    Service,
    Team, //
};
use spread::beacon;
use tokio::time::Instant;
use upstream::Segments;

use crate::{
    body::Body,
    protocol::Generation,
    refuse::{
        DocumentInfo,
        Refusal, //
    },
    requests::Running,
    sender::BufferedRequest,
    shutdown::{
        self,
        Shutdown, //
    },
};

/// An admitted request. Clones share the buffered request.
#[derive(Clone)]
pub struct Call {
    /// The buffered request.
    pub request: Rc<BufferedRequest>,
    /// Route that the request matched.
    pub route: Route,
    /// How requests of the route are forwarded.
    pub pass: Passthrough,
    /// Service to which the request is sent.
    pub service: Service,
    /// The caller's team.
    pub team: Option<Team>,
    /// Place among the streams of the service, where they differ.
    pub standing: Option<Standing>,
    /// Document on which the admission is based.
    pub document: DocumentInfo,
    /// How far the request is.
    pub progress: Rc<Running>,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the caller gets a final response, if only an error.
    pub until: Instant,
    /// Whether the servers replicate the KV caches of runs to one another.
    pub backups: bool,
    /// Time for which servers keep an unused copy of a KV cache.
    pub copy_kept: Duration,
}

impl Call {
    /// Returns the time until the caller's deadline, if it set one.
    pub fn time_left(&self) -> Option<Duration> {
        let deadline = self.request.metadata.deadline?;
        let expires_at = self.arrived + deadline;
        Some(expires_at.saturating_duration_since(Instant::now()))
    }

    /// Returns the fingerprint of the request, which repeated attempts share although their ids
    /// differ.
    pub fn fingerprint(&self) -> Fingerprint {
        self.subject().request
    }

    /// Returns what the request has that may crash servers.
    pub fn subject(&self) -> &Subject {
        self.request.subject.get_or_init(|| {
            let parts = &self.request.parts;
            let team = self.team.as_deref().unwrap_or_default();
            let host = requested_host(parts).unwrap_or_default();
            let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
            let target = format!("{} {host}{path}", parts.method);
            let request = poison::fingerprint_of_pieces(team, &target, self.request.body.pieces());
            let part = |(part, _): &(u64, u32)| poison::part_fingerprint(&self.service, *part);
            let prompt = self.parts().iter().map(part);
            Subject::new(beacon::id(&self.service), request, prompt)
        })
    }

    /// Returns the request without its body, for records that outlast it.
    pub fn without_body(&self) -> Call {
        let request = &self.request;
        // Taken from the body.
        let subject = OnceCell::from(self.subject().clone());
        Call {
            request: Rc::new(BufferedRequest {
                parts: request.parts.clone(),
                metadata: request.metadata.clone(),
                body: Segments::default(),
                hold: None,
                subject,
                sent_to: request.sent_to.clone(),
            }),
            ..self.clone()
        }
    }

    /// Returns the id of the prompt part with a fingerprint, if the request has it.
    pub fn part_of(&self, fingerprint: Fingerprint) -> Option<u64> {
        let mut ids = self.parts().iter().map(|(part, _)| *part);
        ids.find(|part| poison::part_fingerprint(&self.service, *part) == fingerprint)
    }

    /// Returns whether the request may be sent to a server now, although the process may be
    /// shutting down.
    pub fn is_admitted(&self, shutdown: &Shutdown, grace: Duration) -> bool {
        let now = Instant::now();
        let request = shutdown::Request {
            route: &self.route,
            objective: self.pass.objective,
            limit: self.until.saturating_duration_since(now),
            stream: self.pass.stream,
        };
        shutdown.admits(now, &request, grace)
    }

    /// Logs that the request waits until others live, those at the `occupied` servers if there are any.
    pub fn log_separated(&self, occupied: &[Server]) {
        let id = self.request.metadata.id.as_str();
        note!(forwarding::SEPARATED, id = id, servers = occupied.len());
    }

    /// Logs a rejection and returns its response.
    pub fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        refusal.respond(&self.request.metadata.id, self.arrived, &self.document)
    }

    /// Returns the size of the generation; `None` for a plain request.
    pub fn generation(&self) -> Option<&Generation> {
        self.request.metadata.generation.as_ref()
    }

    /// Returns the parts of the prompt in order, with their tokens.
    pub fn parts(&self) -> &[(u64, u32)] {
        self.generation()
            .map_or(&[], |generation| &generation.parts)
    }

    /// Returns the ids of the prompt's parts for a log line, if there are any.
    pub fn part_ids(&self) -> Option<String> {
        let ids = self.parts().iter().map(|(part, _)| part.to_string());
        let ids: Vec<_> = ids.collect();
        (!ids.is_empty()).then(|| ids.join(","))
    }
}

/// Returns the host that a request names, without its port.
pub fn requested_host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or(parts.uri.host())?;
    Some(host.split(':').next().unwrap_or(host))
}
