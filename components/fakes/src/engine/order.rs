//! Orders: load, unload, role; and the fencing token.

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
    Old { highest: u64 },
    Wrong(String),
}

/// Whether a version can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loaded {
    Yes,
    Loading,
    No,
}

pub(super) struct Orders {
    highest: u64,
    role: String,
    /// Versions and since when each can serve.
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

    pub(super) fn take(
        &mut self,
        order: &Order,
        ignore_fence: bool,
        model: &str,
        ready: Instant,
    ) -> Outcome {
        if order.fence < self.highest && !ignore_fence {
            return Outcome::Old {
                highest: self.highest,
            };
        }
        match &order.order {
            Kind::Load(version) | Kind::Unload(version) if version.model != model => {
                return Outcome::Wrong(format!("the model here is {model}"));
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
                other => return Outcome::Wrong(format!("unknown role {other}")),
            },
        }
        self.highest = self.highest.max(order.fence);
        Outcome::Applied
    }

    pub(super) fn role(&self) -> &str {
        &self.role
    }

    pub(super) fn loaded(&self, version: &str, now: Instant) -> Loaded {
        match self.versions.get(version) {
            Some(ready) if *ready <= now => Loaded::Yes,
            Some(_) => Loaded::Loading,
            None => Loaded::No,
        }
    }

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
