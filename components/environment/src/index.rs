//! A document with lookup tables: routes by host and path prefix, teams by API key.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use names::{
    Service,
    Team, //
};

use crate::document::{
    Document,
    Limit,
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
    /// Ranks and objectives of the streams to each service.
    urgencies: HashMap<Service, Urgencies>,
}

/// Ranks and objectives of the streams to a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Urgencies {
    /// Shortest objective of each rank, by rank.
    objectives: BTreeMap<u8, Duration>,
    /// Whether streams differ in rank or objective.
    differ: bool,
}

impl Urgencies {
    /// Returns whether streams to the service differ in rank or objective.
    pub fn differ(&self) -> bool {
        self.differ
    }

    /// Returns the place of a rank among those of the streams; 0 goes first.
    pub fn place(&self, rank: u8) -> usize {
        self.objectives.range(..rank).count()
    }

    /// Returns whether streams of some rank come after those of `rank`.
    pub fn has_after(&self, rank: u8) -> bool {
        self.objectives
            .last_key_value()
            .is_some_and(|(last, _)| *last > rank)
    }

    /// Returns the shortest objective among all ranks.
    pub fn shortest_objective(&self) -> Option<Duration> {
        self.objectives.values().min().copied()
    }

    fn add(&mut self, rank: u8, objective: Duration) {
        let known = self.objectives.first_key_value();
        self.differ |= known.is_some_and(|known| known != (&rank, &objective));
        let shortest = self.objectives.entry(rank).or_insert(objective);
        *shortest = objective.min(*shortest);
    }
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
        let urgencies = urgencies(&document);
        Index {
            document,
            hosts,
            keys,
            urgencies,
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

    /// Returns the rank of a team's requests on a route: by the team's rank first, then by the
    /// route's.
    pub fn rank(&self, team: Option<&Team>, pass: &Passthrough) -> u8 {
        let limit = team.and_then(|team| self.document.teams.get(team));
        let team_rank = limit.map_or(0, |limit| team_rank(&self.document, limit));
        combine(team_rank, pass.rank)
    }

    /// Returns the ranks and objectives of the streams to a service.
    pub fn urgencies(&self, service: &Service) -> Option<&Urgencies> {
        self.urgencies.get(service)
    }

    /// Returns whether the document defines teams, whose callers identify themselves by API keys.
    pub fn requires_api_keys(&self) -> bool {
        !self.document.teams.is_empty()
    }

    /// Returns whether a request with an API key of no team is refused.
    pub fn refuses_unknown_keys(&self) -> bool {
        self.document.refuses_unknown_keys || self.requires_api_keys()
    }
}

/// Number of ranks that a route can have within a team's rank.
const ROUTE_RANKS: u8 = 10;

/// Returns the rank of a request from its team's and its route's.
fn combine(team_rank: u8, route_rank: u8) -> u8 {
    let first = team_rank.saturating_mul(ROUTE_RANKS);
    first.saturating_add(route_rank.min(ROUTE_RANKS - 1))
}

/// Returns the rank of a team; a team without one comes after all that have one.
fn team_rank(document: &Document, limit: &Limit) -> u8 {
    let ranks = document.teams.values().filter_map(|limit| limit.rank);
    let after_last = || ranks.max().map_or(0, |last| last.saturating_add(1));
    limit.rank.unwrap_or_else(after_last)
}

/// Collects the ranks and objectives of the streams to each service.
fn urgencies(document: &Document) -> HashMap<Service, Urgencies> {
    let mut urgencies: HashMap<Service, Urgencies> = HashMap::new();
    let limits = document.teams.values();
    let team_ranks: BTreeSet<u8> = limits.map(|limit| team_rank(document, limit)).collect();
    for rule in &document.routes {
        let Some(pass) = rule.pass.as_ref().filter(|pass| pass.stream) else {
            continue;
        };
        // Requests without a team come before those of all teams.
        let has_no_team = document.teams.is_empty() || pass.public;
        let split = pass.split.iter().filter(|share| share.weight > 0);
        let mut services: Vec<&Service> = split.map(|share| &share.service).collect();
        if services.is_empty() {
            services.push(&rule.service);
        }
        for service in services {
            let urgencies = urgencies.entry(service.clone()).or_default();
            if has_no_team {
                urgencies.add(combine(0, pass.rank), pass.objective);
            }
            for team_rank in &team_ranks {
                urgencies.add(combine(*team_rank, pass.rank), pass.objective);
            }
        }
    }
    urgencies
}
