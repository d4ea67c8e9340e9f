//! A document made ready for look-ups: routes by host and prefix, teams by key.

use std::collections::HashMap;

use names::Team;

use crate::document::{
    Document,
    Passthrough,
    Rule, //
};

/// A document with the tables that each request needs.
#[derive(Clone, Debug)]
pub struct Index {
    document: Document,
    /// Positions in `document.routes` by host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, Team>,
}

/// A route that a request matched.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// The route.
    pub rule: &'a Rule,
    /// How its requests are passed through.
    pub pass: &'a Passthrough,
}

impl Index {
    /// Builds the tables. Routes that aren't passed through are left out.
    pub fn new(document: Document) -> Index {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, rule) in document.routes.iter().enumerate() {
            if rule.pass.is_none() {
                continue;
            }
            let host = rule.matches.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            let length = |at: &usize| document.routes[*at].matches.path.len();
            routes.sort_by_key(|at| std::cmp::Reverse(length(at)));
        }
        let mut keys = HashMap::new();
        for (team, limit) in &document.teams {
            for key in &limit.keys {
                keys.insert(key.clone(), team.clone());
            }
        }
        Index {
            document,
            hosts,
            keys,
        }
    }

    /// The document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Finds the route with the longest prefix among those of a host.
    pub fn route(&self, host: &str, path: &str) -> Option<Match<'_>> {
        let lower;
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => {
                lower = host.to_ascii_lowercase();
                self.hosts.get(&lower)?
            }
        };
        for at in routes {
            let rule = &self.document.routes[*at];
            if !path.starts_with(&rule.matches.path) {
                continue;
            }
            let pass = rule.pass.as_ref()?;
            return Some(Match { rule, pass });
        }
        None
    }

    /// Finds the team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.keys.get(key)
    }

    /// Whether callers are known by keys at all.
    pub fn keyed(&self) -> bool {
        !self.document.teams.is_empty()
    }
}
