//! Consistency checks of a document: names, references and numbers.

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

/// Maximum length of a name in a document, in bytes. Names become parts of the store's keys.
const MAX_NAME_BYTES: usize = 100;

/// An error in a document that prevents its acceptance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the invalid value.
    pub path: Path,
    /// Line in the text, counted from 1, if the text is known.
    pub line: Option<usize>,
    /// Description of the error and of what is accepted.
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

/// Checks a document and returns its problems; a document without problems can be accepted.
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
        let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            self.add(
                path.clone(),
                format!(
                    "{name:?} isn't a name; 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` and `.` are accepted"
                ),
            );
        }
    }

    /// Checks that the names of a list are valid and unique.
    fn names<'a>(&mut self, list: &Path, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let path = list.index(index).field("name");
            self.name(&path, name);
            if !seen.insert(name) {
                self.add(
                    path,
                    format!("`{name}` is used twice; names must be unique"),
                );
            }
        }
    }

    fn services(&mut self) {
        let document = self.document;
        let list = Path::root().field("services");
        self.names(&list, document.services.iter().map(|s| s.name.as_str()));
        for (index, service) in document.services.iter().enumerate() {
            self.service(&list.index(index), service);
        }
    }

    fn service(&mut self, path: &Path, service: &Provision) {
        let contract = path.field("contract");
        match service.kind {
            Kind::Engine if service.model.is_empty() => {
                self.add(path.field("model"), "an engine needs a model");
            }
            Kind::Plain if !service.model.is_empty() => {
                self.add(path.field("model"), "only engines can have a model");
            }
            Kind::Engine | Kind::Plain => {}
        }
        if service.kind == Kind::Engine {
            if service.contract.idempotent {
                self.add(
                    contract.field("idempotent"),
                    "accepted only for plain services",
                );
            }
            if service.contract.drops_repeats {
                self.add(
                    contract.field("drops_repeats"),
                    "accepted only for plain services",
                );
            }
        }
        for (index, method) in service.contract.safe_methods.iter().enumerate() {
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                let path = contract.field("safe_methods").index(index);
                self.add(
                    path,
                    format!(
                        "{method:?} isn't a method; upper-case letters are accepted, such as `GET`"
                    ),
                );
            }
        }
        let versions = path.field("versions");
        if service.versions.is_empty() {
            self.add(versions.clone(), "a service needs at least one version");
        }
        self.names(&versions, service.versions.iter().map(|v| v.name.as_str()));
    }

    /// Checks that no backend server is claimed twice.
    ///
    /// A server runs one version of one service. If the patterns of two versions overlapped, the
    /// traffic of one would reach servers of the other.
    fn servers(&mut self) {
        let document = self.document;
        let mut seen: Vec<(&str, Path)> = Vec::new();
        for (index, service) in document.services.iter().enumerate() {
            for (version, release) in service.versions.iter().enumerate() {
                let list = Path::root()
                    .field("services")
                    .index(index)
                    .field("versions")
                    .index(version)
                    .field("servers");
                if release.servers.is_empty() {
                    self.add(list.clone(), "a version needs at least one backend server");
                }
                for (server, pattern) in release.servers.iter().enumerate() {
                    let path = list.index(server);
                    let prefix = pattern.strip_suffix('*').unwrap_or(pattern);
                    if !prefix.is_empty() || pattern.is_empty() {
                        self.name(&path, prefix);
                    }
                    let other = seen.iter().find(|(other, _)| overlap(pattern, other));
                    if let Some((other, location)) = other {
                        let message = format!(
                            "`{pattern}` matches servers that `{other}` at {location} also matches"
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
        for (index, rule) in document.routes.iter().enumerate() {
            let path = list.index(index);
            self.version(&path, &rule.service, "version", &rule.version);
            self.condition(&path.field("match"), &rule.matches);
            let shadowing = document.routes[..index]
                .iter()
                .find(|earlier| earlier.matches.covers(&rule.matches));
            if let Some(earlier) = shadowing {
                self.add(
                    path,
                    format!(
                        "unreachable: the earlier route `{}` matches every such request",
                        earlier.name
                    ),
                );
            }
        }
    }

    fn condition(&mut self, path: &Path, condition: &Condition) {
        if !condition.path.is_empty() && !condition.path.starts_with('/') {
            self.add(path.field("path"), "a path must begin with `/`");
        }
        for name in condition.headers.keys() {
            let lower = name.to_ascii_lowercase();
            if *name != lower {
                self.add(
                    path.field("headers").field(name),
                    format!("header names must be in lower case: `{lower}`"),
                );
            }
        }
    }

    /// Checks that a service and a version of it exist; `field` names the field with the version.
    fn version(&mut self, path: &Path, service: &str, field: &str, version: &str) {
        let Some(found) = self.document.service(service) else {
            // Both versions of a move refer to the same service, which is reported only once.
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
        for (index, plan) in document.moves.iter().enumerate() {
            let path = list.index(index);
            self.plan(&path, plan);
            for (before, other) in document.moves[..index].iter().enumerate() {
                if other.service != plan.service {
                    continue;
                }
                let shared = document
                    .routes
                    .iter()
                    .find(|rule| plan.applies_to(rule) && other.applies_to(rule));
                if let Some(rule) = shared {
                    self.add(
                        path.clone(),
                        format!(
                            "route `{}` is already moved by `{}` at {}; remove that move first",
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
            self.add(path.field("to"), "`to` must differ from `from`");
        }
        if plan.start.is_some_and(|start| start >= plan.by) {
            self.add(path.field("by"), "`by` must be later than `start`");
        }
        for (index, name) in plan.routes.iter().enumerate() {
            let route_path = path.field("routes").index(index);
            match self.document.routes.iter().find(|rule| rule.name == *name) {
                None => self.add(route_path, format!("there is no route `{name}`")),
                Some(rule) if rule.service != plan.service => {
                    self.add(
                        route_path,
                        format!("route `{name}` goes to service `{}`", rule.service),
                    );
                }
                Some(_) => {}
            }
        }
        let mut affects_any = false;
        for rule in self
            .document
            .routes
            .iter()
            .filter(|rule| plan.applies_to(rule))
        {
            affects_any = true;
            if rule.version != plan.from && rule.version != plan.to {
                self.add(
                    path.field("from"),
                    format!(
                        "route `{}` goes to version `{}`, which is neither `from` nor `to` of the move",
                        rule.name, rule.version
                    ),
                );
            }
        }
        if !affects_any {
            self.add(path.clone(), "the move affects no route of the service");
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
        for (index, level) in document.levels.iter().enumerate() {
            let path = Path::root().field("levels").index(index);
            if document.service(&level.service).is_none() {
                let names = known(document.services.iter().map(|s| s.name.as_str()));
                self.add(
                    path.field("service"),
                    format!("there is no service `{}`; {names}", level.service),
                );
            }
            if !seen.insert(&level.service) {
                self.add(path.field("service"), "a service can have only one level");
            }
            if !(level.objective > 0.0 && level.objective < 1.0) {
                self.add(
                    path.field("objective"),
                    format!(
                        "{} is out of range; a share of more than 0 and less than 1 is accepted",
                        level.objective
                    ),
                );
            }
            if level.first.is_zero() {
                self.add(path.field("first"), "a time must be more than 0");
            }
            if level.between.is_some_and(|between| between.is_zero()) {
                self.add(path.field("between"), "a time must be more than 0");
            }
        }
    }
}

/// Lists the existing names for an error message.
fn known<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<_> = names.map(|name| format!("`{name}`")).collect();
    if names.is_empty() {
        return "there are none".into();
    }
    format!("there is {}", names.join(", "))
}

/// Returns whether two patterns of server names can match the same server.
fn overlap(one: &str, other: &str) -> bool {
    match (one.strip_suffix('*'), other.strip_suffix('*')) {
        (Some(one), Some(other)) => one.starts_with(other) || other.starts_with(one),
        (Some(one), None) => other.starts_with(one),
        (None, Some(other)) => one.starts_with(other),
        (None, None) => one == other,
    }
}

impl Condition {
    /// Returns whether every request that meets `other` also meets this condition.
    fn covers(&self, other: &Self) -> bool {
        let host = self.host.is_empty() || self.host.eq_ignore_ascii_case(&other.host);
        let teams = self.teams.is_empty()
            || (!other.teams.is_empty() && other.teams.iter().all(|t| self.teams.contains(t)));
        let headers = self
            .headers
            .iter()
            .all(|(name, value)| other.headers.get(name) == Some(value));
        host && other.path.starts_with(&self.path)
            && teams
            && (self.model.is_empty() || self.model == other.model)
            && headers
    }
}

impl Plan {
    /// Returns whether the move affects a route's traffic.
    pub fn applies_to(&self, rule: &Rule) -> bool {
        rule.service == self.service && (self.routes.is_empty() || self.routes.contains(&rule.name))
    }
}
