//! A document with lookup tables: routes by host and path prefix, teams by API key.

use std::collections::HashMap;

use names::Team;

use crate::document::{
    Document,
    Passthrough,
    Rule, //
};

/// A document with the lookup tables that serve each request.
#[derive(Clone, Debug)]
pub struct Index {
    document: Document,
    /// Positions in `document.routes` by host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Teams by API key.
    keys: HashMap<String, Team>,
}

/// The route that a request matches.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// Rule of the route.
    pub rule: &'a Rule,
    /// How requests of the route are passed through.
    pub pass: &'a Passthrough,
}

impl Index {
    /// Builds the tables. They contain only routes whose requests are passed through.
    pub fn new(document: Document) -> Index {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, rule) in document.routes.iter().enumerate() {
            if rule.pass.is_none() {
                continue;
            }
            let host = rule.matches.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            let length = |index: &usize| document.routes[*index].matches.path.len();
            routes.sort_by_key(|index| std::cmp::Reverse(length(index)));
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

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the route of a host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<Match<'_>> {
        let lowercase;
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => {
                lowercase = host.to_ascii_lowercase();
                self.hosts.get(&lowercase)?
            }
        };
        for index in routes {
            let rule = &self.document.routes[*index];
            if !path.starts_with(&rule.matches.path) {
                continue;
            }
            let pass = rule.pass.as_ref()?;
            return Some(Match { rule, pass });
        }
        None
    }

    /// Returns the team that owns an API key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.keys.get(key)
    }

    /// Returns whether the document defines teams, whose callers identify themselves by API keys.
    pub fn requires_api_keys(&self) -> bool {
        !self.document.teams.is_empty()
    }
}
