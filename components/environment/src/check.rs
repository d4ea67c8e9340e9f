//! Whether a document makes sense: names, references, numbers.

use std::{
    collections::BTreeSet,
    fmt, //
};

use crate::{
    document::{
        Condition,
        Document,
        Kind,
        Plan,
        Provision,
        Rule, //
    },
    path::Path, //
};

/// Longest name of anything in a document, in bytes: names become parts of the store's keys.
const MAX_NAME: usize = 100;

/// Something in a document that can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where it stands.
    pub path: Path,
    /// Line in the text, from 1, where the text is known.
    pub line: Option<usize>,
    /// What is wrong, and what is accepted.
    pub message: String,
}

impl Problem {
    pub(crate) fn new(path: Path, message: impl Into<String>) -> Self {
        Self {
            path,
            line: None,
            message: message.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(out, "line {line}, ")?;
        }
        write!(out, "{}: {}", self.path, self.message)
    }
}

/// Checks a document; an empty list means that it can be accepted.
pub fn check(document: &Document) -> Vec<Problem> {
    let mut check = Check {
        document,
        problems: Vec::new(),
    };
    let root = Path::root();
    check.name(&root.field("environment"), &document.environment);
    check.services();
    check.servers();
    check.routes();
    check.moves();
    check.teams();
    check.levels();
    check.problems
}

struct Check<'a> {
    document: &'a Document,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn add(&mut self, path: Path, message: impl Into<String>) {
        self.problems.push(Problem::new(path, message));
    }

    fn name(&mut self, path: &Path, name: &str) {
        let plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if name.is_empty() || name.len() > MAX_NAME || !name.chars().all(plain) {
            self.add(
                path.clone(),
                format!(
                    "{name:?} isn't a name; 1 to {MAX_NAME} letters, digits, `-`, `_` and `.` are accepted"
                ),
            );
        }
    }

    /// Checks the names of a list, and that none stands twice.
    fn names<'a>(&mut self, list: &Path, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (at, name) in names.enumerate() {
            let path = list.index(at).field("name");
            self.name(&path, name);
            if !seen.insert(name) {
                self.add(path, format!("`{name}` stands twice; names must be unique"));
            }
        }
    }

    fn services(&mut self) {
        let document = self.document;
        let list = Path::root().field("services");
        self.names(&list, document.services.iter().map(|s| s.name.as_str()));
        for (at, service) in document.services.iter().enumerate() {
            self.service(&list.index(at), service);
        }
    }

    fn service(&mut self, path: &Path, service: &Provision) {
        let contract = path.field("contract");
        match service.kind {
            Kind::Engine if service.model.is_empty() => {
                self.add(path.field("model"), "an engine needs the name of its model");
            }
            Kind::Plain if !service.model.is_empty() => {
                self.add(path.field("model"), "only engines have a model");
            }
            Kind::Engine | Kind::Plain => {}
        }
        if service.kind == Kind::Engine {
            if service.contract.idempotent {
                self.add(contract.field("idempotent"), "only for plain services");
            }
            if service.contract.drops_repeats {
                self.add(contract.field("drops_repeats"), "only for plain services");
            }
        }
        for (at, method) in service.contract.safe_methods.iter().enumerate() {
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                let path = contract.field("safe_methods").index(at);
                self.add(
                    path,
                    format!(
                        "{method:?} isn't a method; capital letters are accepted, such as `GET`"
                    ),
                );
            }
        }
        let versions = path.field("versions");
        if service.versions.is_empty() {
            self.add(versions.clone(), "a service needs a version");
        }
        self.names(&versions, service.versions.iter().map(|v| v.name.as_str()));
    }

    /// A backend server runs one version of one service: a pattern that two claim would send a
    /// version's traffic to the other's servers.
    fn servers(&mut self) {
        let document = self.document;
        let mut seen: Vec<(&str, Path)> = Vec::new();
        for (at, service) in document.services.iter().enumerate() {
            for (version, release) in service.versions.iter().enumerate() {
                let list = Path::root()
                    .field("services")
                    .index(at)
                    .field("versions")
                    .index(version)
                    .field("servers");
                if release.servers.is_empty() {
                    self.add(list.clone(), "a version needs a backend server");
                }
                for (server, pattern) in release.servers.iter().enumerate() {
                    let path = list.index(server);
                    let stem = pattern.strip_suffix('*').unwrap_or(pattern);
                    if !stem.is_empty() || pattern.is_empty() {
                        self.name(&path, stem);
                    }
                    let other = seen.iter().find(|(other, _)| overlap(pattern, other));
                    if let Some((other, place)) = other {
                        let message = format!(
                            "`{pattern}` names servers that `{other}` at {place} names too"
                        );
                        self.add(path.clone(), message);
                    }
                    seen.push((pattern, path));
                }
            }
        }
    }

    fn routes(&mut self) {
        let document = self.document;
        let list = Path::root().field("routes");
        self.names(&list, document.routes.iter().map(|r| r.name.as_str()));
        for (at, rule) in document.routes.iter().enumerate() {
            let path = list.index(at);
            self.version(&path, &rule.service, "version", &rule.version);
            self.condition(&path.field("match"), &rule.matches);
            let hidden = document.routes[..at]
                .iter()
                .find(|earlier| earlier.matches.covers(&rule.matches));
            if let Some(earlier) = hidden {
                self.add(
                    path,
                    format!(
                        "no request gets here: route `{}` above matches it first",
                        earlier.name
                    ),
                );
            }
        }
    }

    fn condition(&mut self, path: &Path, condition: &Condition) {
        if !condition.path.is_empty() && !condition.path.starts_with('/') {
            self.add(path.field("path"), "a path begins with `/`");
        }
        for name in condition.headers.keys() {
            let lower = name.to_ascii_lowercase();
            if *name != lower {
                self.add(
                    path.field("headers").field(name),
                    format!("header names are written in lower case: `{lower}`"),
                );
            }
        }
    }

    /// Checks that a service and a version of it exist; `field` is where the version stands.
    fn version(&mut self, path: &Path, service: &str, field: &str, version: &str) {
        let Some(found) = self.document.service(service) else {
            // Both versions of a move report their service; once is enough.
            let problem = Problem::new(
                path.field("service"),
                format!(
                    "there is no service `{service}`; {}",
                    known(self.document.services.iter().map(|s| s.name.as_str()))
                ),
            );
            if !self.problems.contains(&problem) {
                self.problems.push(problem);
            }
            return;
        };
        if found.versions.iter().any(|release| release.name == version) {
            return;
        }
        let names = known(found.versions.iter().map(|v| v.name.as_str()));
        self.add(
            path.field(field),
            format!("service `{service}` has no version `{version}`; {names}"),
        );
    }

    fn moves(&mut self) {
        let document = self.document;
        let list = Path::root().field("moves");
        self.names(&list, document.moves.iter().map(|m| m.name.as_str()));
        for (at, plan) in document.moves.iter().enumerate() {
            let path = list.index(at);
            self.plan(&path, plan);
            for (before, other) in document.moves[..at].iter().enumerate() {
                if other.service != plan.service {
                    continue;
                }
                let both = document
                    .routes
                    .iter()
                    .find(|rule| plan.applies_to(rule) && other.applies_to(rule));
                if let Some(rule) = both {
                    self.add(
                        path.clone(),
                        format!(
                            "route `{}` is moved by `{}` at {} too; take that one out first",
                            rule.name,
                            other.name,
                            list.index(before)
                        ),
                    );
                }
            }
        }
    }

    fn plan(&mut self, path: &Path, plan: &Plan) {
        self.version(path, &plan.service, "from", &plan.from);
        self.version(path, &plan.service, "to", &plan.to);
        if plan.from == plan.to {
            self.add(
                path.field("to"),
                "a move goes to another version than it comes from",
            );
        }
        if plan.start.is_some_and(|start| start >= plan.by) {
            self.add(path.field("by"), "`by` must be later than `start`");
        }
        for (at, name) in plan.routes.iter().enumerate() {
            let place = path.field("routes").index(at);
            match self.document.routes.iter().find(|rule| rule.name == *name) {
                None => self.add(place, format!("there is no route `{name}`")),
                Some(rule) if rule.service != plan.service => {
                    self.add(
                        place,
                        format!("route `{name}` goes to service `{}`", rule.service),
                    );
                }
                Some(_) => {}
            }
        }
        let mut any = false;
        for rule in self
            .document
            .routes
            .iter()
            .filter(|rule| plan.applies_to(rule))
        {
            any = true;
            if rule.version != plan.from && rule.version != plan.to {
                self.add(
                    path.field("from"),
                    format!(
                        "route `{}` goes to version `{}`, neither where the move comes from nor where it goes",
                        rule.name, rule.version
                    ),
                );
            }
        }
        if !any {
            self.add(path.clone(), "no route of the service is moved by this");
        }
    }

    fn teams(&mut self) {
        let document = self.document;
        for (name, limit) in &document.teams {
            let path = Path::root().field("teams").field(name);
            self.name(&path, name);
            if limit.weight == 0 {
                self.add(path.field("weight"), "a weight is at least 1");
            }
        }
    }

    fn levels(&mut self) {
        let document = self.document;
        let mut seen = BTreeSet::new();
        for (at, level) in document.levels.iter().enumerate() {
            let path = Path::root().field("levels").index(at);
            if document.service(&level.service).is_none() {
                let names = known(document.services.iter().map(|s| s.name.as_str()));
                self.add(
                    path.field("service"),
                    format!("there is no service `{}`; {names}", level.service),
                );
            }
            if !seen.insert(&level.service) {
                self.add(path.field("service"), "a service has one level");
            }
            if !(level.objective > 0.0 && level.objective < 1.0) {
                self.add(
                    path.field("objective"),
                    format!(
                        "{} isn't a share; more than 0 and less than 1 is accepted",
                        level.objective
                    ),
                );
            }
            if level.first.is_zero() {
                self.add(path.field("first"), "a time is more than 0");
            }
            if level.between.is_some_and(|between| between.is_zero()) {
                self.add(path.field("between"), "a time is more than 0");
            }
        }
    }
}

/// Says which names would be accepted.
fn known<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<_> = names.map(|name| format!("`{name}`")).collect();
    if names.is_empty() {
        return "there are none".into();
    }
    format!("there is {}", names.join(", "))
}

/// Tells whether two patterns of server names can match the same server.
fn overlap(one: &str, other: &str) -> bool {
    match (one.strip_suffix('*'), other.strip_suffix('*')) {
        (Some(one), Some(other)) => one.starts_with(other) || other.starts_with(one),
        (Some(one), None) => other.starts_with(one),
        (None, Some(other)) => one.starts_with(other),
        (None, None) => one == other,
    }
}

impl Condition {
    /// Tells whether every request that meets `other` meets this too.
    fn covers(&self, other: &Self) -> bool {
        let teams = self.teams.is_empty()
            || (!other.teams.is_empty() && other.teams.iter().all(|t| self.teams.contains(t)));
        let headers = self
            .headers
            .iter()
            .all(|(name, value)| other.headers.get(name) == Some(value));
        other.path.starts_with(&self.path)
            && teams
            && (self.model.is_empty() || self.model == other.model)
            && headers
    }
}

impl Plan {
    /// Tells whether the move takes a route's traffic along.
    pub fn applies_to(&self, rule: &Rule) -> bool {
        rule.service == self.service && (self.routes.is_empty() || self.routes.contains(&rule.name))
    }
}
