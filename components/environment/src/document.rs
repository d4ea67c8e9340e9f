//! Structure of an environment's document.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        SystemTime, //
    },
};

use names::{
    Environment,
    Move,
    Route,
    Server,
    Service,
    Team,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Key in `teams` whose limits apply to all teams without an entry of their own.
pub const DEFAULT_TEAM: &str = "default";

/// The document of one environment. Unknown fields are rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the environment, such as `production`.
    pub environment: Environment,
    /// Services that can receive traffic.
    pub services: Vec<Provision>,
    /// Routes of traffic to services and versions; the first match wins.
    pub routes: Vec<Rule>,
    /// Moves of traffic from one version to another.
    #[serde(default)]
    pub moves: Vec<Plan>,
    /// Limits and priorities by team; `default` applies to teams without an entry.
    #[serde(default)]
    pub teams: BTreeMap<Team, Limit>,
    /// Whether a request with an API key of no team is refused, although there may be no teams.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub refuses_unknown_keys: bool,
    /// Service levels, against which `report burn` measures.
    #[serde(default)]
    pub levels: Vec<Level>,
    /// Limits on the size and duration of callers' requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Bounds>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head, from its first byte.
    #[serde(with = "humantime_serde")]
    pub header_time: Duration,
    /// Maximum time for which a connection may be idle between two requests.
    #[serde(with = "humantime_serde")]
    pub idle_time: Duration,
}

/// A service: its kind, its delivery contract, and the backend servers of its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Provision {
    /// Name, unique within the document.
    pub name: Service,
    /// Kind of backend: engine or plain service.
    pub kind: Kind,
    /// Model that the service's engines run; empty for plain services.
    #[serde(default)]
    pub model: String,
    /// Guarantees of the service's backend servers.
    #[serde(default)]
    pub contract: Contract,
    /// Versions that can receive traffic.
    pub versions: Vec<Release>,
    /// Present if entries connect to the backend servers directly, without sidecars.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direct: Option<Direct>,
}

/// Properties of backend servers that entries connect to directly.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Direct {
    /// Path of the health check.
    pub health: String,
    /// Maximum number of connections to one backend server, over all entries; 0 means no limit.
    pub connections: u32,
    /// Properties of the engine; engines only.
    pub engine: Option<Engine>,
}

/// Properties of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Memory for running requests and cached prefixes, in tokens.
    pub memory: u64,
    /// Memory per token, in bytes.
    pub token_bytes: u64,
    /// Rate at which engines copy memory to each other, in megabits per second.
    pub link_mbps: f64,
    /// Maximum number of tokens in one event of a stream.
    pub stride: u32,
    /// Whether a running request's memory can be moved to another engine.
    pub moves: bool,
    /// Whether a running request's memory can be replicated to another engine while it grows.
    pub backups: bool,
    /// How long an unused copy is retained.
    #[serde(with = "humantime_serde")]
    pub copy_kept: Duration,
}

/// Kind of a service's backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine, which responds with streams of tokens.
    Engine,
    /// A plain service, whose calls are forwarded unchanged.
    Plain,
}

/// Guarantees of a service's backend servers about repeated and continued requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Contract {
    /// Engines: a run can continue from existing tokens.
    pub continues: bool,
    /// Plain services: any call may be repeated; otherwise calls run at most once.
    pub idempotent: bool,
    /// Plain services: methods whose calls may be repeated even if the service isn't idempotent,
    /// such as `GET`.
    pub safe_methods: Vec<String>,
    /// Plain services: the service deduplicates calls with the same key.
    pub drops_repeats: bool,
    /// The backend servers reject an order with an old fencing token.
    pub checks_fence: bool,
}

impl Default for Contract {
    fn default() -> Self {
        Self {
            continues: true,
            idempotent: false,
            safe_methods: vec!["GET".into(), "HEAD".into()],
            drops_repeats: false,
            checks_fence: false,
        }
    }
}

/// A version of a service and the backend servers that run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Name, unique within the service.
    pub name: Version,
    /// Names of backend servers; a trailing `*` matches any suffix.
    pub servers: Vec<Server>,
}

/// A route: a condition on requests, and the service and version that receive them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name, unique within the document.
    pub name: Route,
    /// Condition that requests must meet; an empty one matches every request.
    #[serde(default, rename = "match")]
    pub matches: Condition,
    /// Service that receives the traffic.
    pub service: Service,
    /// Version that receives the traffic unless a move changes it.
    pub version: Version,
    /// Present on routes whose requests are passed through as bytes to backend servers that entries
    /// connect to directly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pass: Option<Passthrough>,
}

/// How the requests of a route are passed through.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Passthrough {
    /// Whether and how requests may be repeated.
    pub repeats: Repeats,
    /// Whether the response is a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum time until the complete response.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub timeout: Option<Duration>,
    /// Target time until the response, or until a stream's first event.
    #[serde(with = "humantime_serde")]
    pub objective: Duration,
    /// Streams: target for the maximum time between two events.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub gap: Option<Duration>,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Priority rank; 0 is served first.
    #[serde(default)]
    pub rank: u8,
    /// Whether requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// Whether requests with a common prompt prefix benefit from the same engine.
    #[serde(default)]
    pub sticky: bool,
    /// Weighted split of the route's requests over services; if empty, all requests go to the
    /// route's own service.
    #[serde(default)]
    pub split: Vec<Share>,
}

/// Whether and how the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Never: a request runs at most once.
    Never,
    /// A request may be repeated from the start.
    Always,
    /// A stream may resume on another backend server after the last delivered event.
    Resumes,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Service that receives this share.
    pub service: Service,
    /// Weight of this share, relative to the sum of all weights.
    pub weight: u32,
}

/// Condition of a route. All fields must match; an empty field matches every request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Condition {
    /// Value of the request's `Host`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub host: String,
    /// Prefix of the request's path.
    pub path: String,
    /// Teams, one of which must have sent the request.
    pub teams: Vec<Team>,
    /// Value of the `model` field in the request's body.
    pub model: String,
    /// Required header values; names in lower case.
    pub headers: BTreeMap<String, String>,
}

/// Destination of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Target {
    /// Service that handles the request.
    pub service: Service,
    /// Version that handles the request unless a move changes it.
    pub version: Version,
    /// Route that matched the request.
    pub route: Route,
}

/// A move of a service's traffic from one version to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name, unique within the environment for all time, because the move's outcome is stored under
    /// it.
    pub name: Move,
    /// Service whose traffic moves.
    pub service: Service,
    /// Version that the traffic moves away from.
    pub from: Version,
    /// Version that the traffic moves to.
    pub to: Version,
    /// Names of the affected routes; all routes of the service if empty.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Wall-clock time at which the ramp begins; the time of the document's acceptance if absent.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub start: Option<SystemTime>,
    /// Wall-clock deadline by which all traffic must have moved.
    #[serde(with = "humantime_serde")]
    pub by: SystemTime,
    /// How long the old version stays ready after the move, in case faults appear late.
    #[serde(default = "Plan::default_watch", with = "humantime_serde")]
    pub watch: Duration,
}

impl Plan {
    /// Returns the default of [`Plan::watch`].
    fn default_watch() -> Duration {
        Duration::from_secs(15 * 60)
    }
}

/// Limits and priority of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// Maximum number of requests in flight over the whole system; 0 means no limit.
    pub in_flight: u32,
    /// Maximum number of requests per second over the whole system; 0 means no limit.
    pub rate: u32,
    /// Weight of the team in fair queueing.
    pub weight: u32,
    /// Priority; higher values are served first.
    pub priority: u8,
    /// Rank on routes whose requests are passed through, instead of the route's; 0 goes first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// API keys that identify the team's callers on routes whose requests are passed through.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<String>,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            in_flight: 0,
            rate: 0,
            weight: 1,
            priority: 1,
            rank: None,
            keys: Vec::new(),
        }
    }
}

/// A service level: the share of requests that must meet given times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Level {
    /// Service that the level applies to.
    pub service: Service,
    /// Maximum time from a request's arrival to its first token or byte.
    #[serde(with = "humantime_serde")]
    pub first: Duration,
    /// Maximum mean time between the tokens of an answer; not checked for plain services.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub between: Option<Duration>,
    /// Share of requests that must meet the level, more than 0 and less than 1.
    pub objective: f64,
}

impl Document {
    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Provision> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the destination of a request: that of the first route that matches it.
    ///
    /// `header` returns a header's value by its name in lower case.
    pub fn route(
        &self,
        path: &str,
        team: &str,
        model: &str,
        header: impl Fn(&str) -> Option<String>,
    ) -> Option<Target> {
        let rule = self
            .routes
            .iter()
            .find(|rule| rule.matches.matches(path, team, model, &header))?;
        Some(Target {
            service: rule.service.clone(),
            version: rule.version.clone(),
            route: rule.name.clone(),
        })
    }

    /// Returns the limits of a team; those of `default` if the team has no entry.
    pub fn limit(&self, team: &str) -> Limit {
        self.teams
            .get(team)
            .or_else(|| self.teams.get(DEFAULT_TEAM))
            .cloned()
            .unwrap_or_default()
    }
}

impl Condition {
    /// Returns whether a request meets the condition, apart from its host.
    pub fn matches(
        &self,
        path: &str,
        team: &str,
        model: &str,
        header: impl Fn(&str) -> Option<String>,
    ) -> bool {
        if !path.starts_with(&self.path) {
            return false;
        }
        if !self.teams.is_empty() && !self.teams.iter().any(|name| name == team) {
            return false;
        }
        if !self.model.is_empty() && self.model != model {
            return false;
        }
        self.headers
            .iter()
            .all(|(name, value)| header(name).as_deref() == Some(value))
    }
}

impl Release {
    /// Returns whether a backend server runs this version.
    pub fn runs_on(&self, server: &str) -> bool {
        self.servers
            .iter()
            .any(|pattern| match pattern.strip_suffix('*') {
                Some(prefix) => server.starts_with(prefix),
                None => pattern == server,
            })
    }
}
