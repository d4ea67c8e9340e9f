//! The shape of an environment's document.

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

/// Name under which limits stand for teams that aren't named.
pub const DEFAULT_TEAM: &str = "default";

/// One environment, whole. Unknown fields are refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The environment that the document describes, such as `production`.
    pub environment: Environment,
    /// The services that traffic may go to.
    pub services: Vec<Provision>,
    /// Which traffic goes to which service and version; the first that matches wins.
    pub routes: Vec<Rule>,
    /// Moves of traffic from one version to another.
    #[serde(default)]
    pub moves: Vec<Plan>,
    /// Limits and priorities by team; `default` stands for teams that aren't named.
    #[serde(default)]
    pub teams: BTreeMap<Team, Limit>,
    /// Service levels that `report burn` measures against.
    #[serde(default)]
    pub levels: Vec<Level>,
    /// What callers may send, and how long they may take over it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Bounds>,
}

/// What callers may send, and how long they may take over it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for the head of a request, from its first byte.
    #[serde(with = "humantime_serde")]
    pub header_time: Duration,
    /// Time for which a connection may rest between two requests.
    #[serde(with = "humantime_serde")]
    pub idle_time: Duration,
}

/// A service: what kind it is, what it promises, and where its versions run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Provision {
    /// Name, unique within the document.
    pub name: Service,
    /// Engine or plain service.
    pub kind: Kind,
    /// Model that engines of the service run; empty for plain services.
    #[serde(default)]
    pub model: String,
    /// What its backend servers promise.
    #[serde(default)]
    pub contract: Contract,
    /// Versions that may get traffic.
    pub versions: Vec<Release>,
    /// Present where entries reach the backend servers themselves, without sidecars.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direct: Option<Direct>,
}

/// What entries must know of backend servers that they reach themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Direct {
    /// Path of the health check.
    pub health: String,
    /// Connections that one backend server takes from all entries together; 0 is no limit.
    pub connections: u32,
    /// Engines only: how they work.
    pub engine: Option<Engine>,
}

/// How an engine works.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for the tokens of running requests and cached prefixes, in tokens.
    pub memory: u64,
    /// Size of one token's part of that memory, in bytes.
    pub token_bytes: u64,
    /// Rate at which engines copy memory to one another, in megabits a second.
    pub link_mbps: f64,
    /// Tokens that one event of a stream may hold.
    pub stride: u32,
    /// A running request's memory can be moved to another engine.
    pub moves: bool,
    /// A running request's memory can be copied to another engine as it grows.
    pub backups: bool,
    /// How long a copy that isn't used is kept.
    #[serde(with = "humantime_serde")]
    pub copy_kept: Duration,
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine, which answers with streams of tokens.
    Engine,
    /// A plain service, whose calls are passed through.
    Plain,
}

/// What the backend servers of a service promise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Contract {
    /// Engines: a run can continue from tokens that exist already.
    pub continues: bool,
    /// Plain services: any call may be repeated. Otherwise calls run at most once.
    pub idempotent: bool,
    /// Plain services: methods whose calls may be repeated all the same, such as `GET`.
    pub safe_methods: Vec<String>,
    /// Plain services: the service itself drops a second call with the same key.
    pub drops_repeats: bool,
    /// The backend servers refuse an order that carries an old fencing token.
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
    /// Backend servers by name; a trailing `*` matches any ending.
    pub servers: Vec<Server>,
}

/// A route: which traffic it matches and where that goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name, unique within the document.
    pub name: Route,
    /// All given conditions must hold; no condition matches everything.
    #[serde(default, rename = "match")]
    pub matches: Condition,
    /// Service that the traffic goes to.
    pub service: Service,
    /// Version that the traffic goes to when no move says otherwise.
    pub version: Version,
    /// Present on routes whose requests are passed through as bytes to backend servers that the
    /// entry reaches itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pass: Option<Passthrough>,
}

/// How the requests of a route are passed through.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Passthrough {
    /// What may be repeated.
    pub repeats: Repeats,
    /// The answer is a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// Longest time that a request is kept waiting for its whole answer.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub timeout: Option<Duration>,
    /// Time within which an answer, or a stream's first event, is worth most.
    #[serde(with = "humantime_serde")]
    pub objective: Duration,
    /// Streams: longest time between two events with which an answer is still in time.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub gap: Option<Duration>,
    /// Backend servers that one request may be sent to.
    pub attempts: u32,
    /// Rank: 0 goes first.
    #[serde(default)]
    pub rank: u8,
    /// Needs no key.
    #[serde(default)]
    pub public: bool,
    /// Requests that share the beginning of their prompts gain from the same engine.
    #[serde(default)]
    pub sticky: bool,
    /// Shares of the route's requests by service; empty when all go to the route's own service.
    #[serde(default)]
    pub split: Vec<Share>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Nothing: a request runs at most once.
    Never,
    /// A request may run again from its beginning.
    Always,
    /// A stream may go on elsewhere behind the last event that was delivered.
    Resumes,
}

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Where this part goes.
    pub service: Service,
    /// Its size against the sum of all weights.
    pub weight: u32,
}

/// Conditions of a route. An empty field holds for everything.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Condition {
    /// Host that the request names.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub host: String,
    /// Prefix of the path.
    pub path: String,
    /// Teams, any of them.
    pub teams: Vec<Team>,
    /// The `model` field of the body.
    pub model: String,
    /// Headers that must have these values; names in lower case.
    pub headers: BTreeMap<String, String>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Target {
    /// Service that answers.
    pub service: Service,
    /// Version that answers when no move says otherwise.
    pub version: Version,
    /// Route that matched.
    pub route: Route,
}

/// A move of a service's traffic from one version to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name, unique within the environment for good: its outcome is kept under this name.
    pub name: Move,
    /// Service whose traffic moves.
    pub service: Service,
    /// Version that the traffic leaves.
    pub from: Version,
    /// Version that the traffic goes to.
    pub to: Version,
    /// Routes that move; all routes of the service when empty.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// When the ramp begins, as wall-clock time; when the document is accepted if not given.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub start: Option<SystemTime>,
    /// Wall-clock time by which all traffic must have moved.
    #[serde(with = "humantime_serde")]
    pub by: SystemTime,
    /// How long the old version stays ready after the end, for faults that show late.
    #[serde(default = "Plan::default_watch", with = "humantime_serde")]
    pub watch: Duration,
}

impl Plan {
    /// Watch time when the document gives none.
    fn default_watch() -> Duration {
        Duration::from_secs(15 * 60)
    }
}

/// Limits and priority of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// Requests that may be in flight at once over the whole system; 0 is no limit.
    pub in_flight: u32,
    /// Requests a second over the whole system; 0 is no limit.
    pub rate: u32,
    /// Weight of the team's fair share.
    pub weight: u32,
    /// Priority: higher goes first.
    pub priority: u8,
    /// Keys by which callers of the team are known on routes that are passed through.
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
            keys: Vec::new(),
        }
    }
}

/// A service level: what share of requests must meet which times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Level {
    /// Service that the level is for.
    pub service: Service,
    /// Time from a request's arrival to its first token or byte.
    #[serde(with = "humantime_serde")]
    pub first: Duration,
    /// Time between tokens; not checked for plain services.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub between: Option<Duration>,
    /// Share of requests that must meet the level, between 0 and 1.
    pub objective: f64,
}

impl Document {
    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Provision> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds where a request goes: the first route that matches it wins.
    ///
    /// `header` gives a header's value by its name in lower case.
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

    /// Finds the limits of a team; teams that aren't named have those of `default`.
    pub fn limit(&self, team: &str) -> Limit {
        self.teams
            .get(team)
            .or_else(|| self.teams.get(DEFAULT_TEAM))
            .cloned()
            .unwrap_or_default()
    }
}

impl Condition {
    /// Tells whether a request meets every condition.
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
    /// Tells whether a backend server runs this version.
    pub fn runs_on(&self, server: &str) -> bool {
        self.servers
            .iter()
            .any(|pattern| match pattern.strip_suffix('*') {
                Some(start) => server.starts_with(start),
                None => pattern == server,
            })
    }
}
