//! Orders to load or unload a version or to change the role, protected by a fencing token.

use std::collections::BTreeMap;

use serde::Deserialize;
use tokio::time::Instant;

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Order {
    fence: u64,
    order: Kind,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Load(Version),
    Unload(Version),
    Role(Role),
}

#[derive(Clone, Debug, Deserialize)]
struct Version {
    model: String,
    version: String,
}

#[derive(Clone, Debug, Deserialize)]
struct Role {
    role: String,
}

pub(super) enum Outcome {
    Applied,
    /// The order's fencing token is lower than the highest one seen.
    Stale {
        highest: u64,
    },
    Invalid(String),
}

/// Load state of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    Loaded,
    Loading,
    Absent,
}

/// State that results from the orders applied so far.
pub(super) struct Orders {
    /// Highest fencing token seen.
    highest: u64,
    role: String,
    /// Versions and the time from which each can serve.
    versions: BTreeMap<String, Instant>,
}

impl Orders {
    pub(super) fn new(version: &str) -> Orders {
        Orders {
            highest: 0,
            role: "both".to_string(),
            versions: BTreeMap::from([(version.to_string(), Instant::now())]),
        }
    }

    /// Applies an order, unless its fencing token is outdated or the order is invalid.
    pub(super) fn apply(
        &mut self,
        order: &Order,
        ignore_fence: bool,
        model: &str,
        ready: Instant,
    ) -> Outcome {
        if order.fence < self.highest && !ignore_fence {
            return Outcome::Stale {
                highest: self.highest,
            };
        }
        match &order.order {
            Kind::Load(version) | Kind::Unload(version) if version.model != model => {
                return Outcome::Invalid(format!("the model here is {model}"));
            }
            Kind::Load(version) => {
                self.versions
                    .entry(version.version.clone())
                    .or_insert(ready);
            }
            Kind::Unload(version) => {
                self.versions.remove(&version.version);
            }
            Kind::Role(role) => match role.role.as_str() {
                "prefill" | "decode" | "both" => self.role.clone_from(&role.role),
                other => return Outcome::Invalid(format!("unknown role {other}")),
            },
        }
        self.highest = self.highest.max(order.fence);
        Outcome::Applied
    }

    pub(super) fn role(&self) -> &str {
        &self.role
    }

    pub(super) fn status(&self, version: &str, now: Instant) -> Status {
        match self.versions.get(version) {
            Some(ready) if *ready <= now => Status::Loaded,
            Some(_) => Status::Loading,
            None => Status::Absent,
        }
    }

    /// Returns the versions that can serve.
    pub(super) fn versions(&self, now: Instant) -> Vec<String> {
        let mut loaded = Vec::new();
        for (version, ready) in &self.versions {
            if *ready <= now {
                loaded.push(version.clone());
            }
        }
        loaded
    }
}
