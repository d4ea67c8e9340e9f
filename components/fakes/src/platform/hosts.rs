//! The host list.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use super::Core;
use crate::server::{
    Request,
    Response,
    lock, //
};

/// Changes of the list that readers with a lag can see.
const KEPT: usize = 10_000;

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    Entry,
    /// A sidecar beside a backend server.
    Sidecar,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// A host as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// What runs there.
    pub role: Role,
    /// QUIC address.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: State,
}

#[derive(Serialize, Deserialize)]
struct Body {
    hosts: Vec<Host>,
}

/// The list over time.
pub(super) struct List {
    versions: VecDeque<(Instant, Vec<Host>)>,
    frozen: Option<Vec<Host>>,
}

impl List {
    pub(super) fn new(hosts: Vec<Host>) -> List {
        List {
            versions: VecDeque::from([(Instant::now(), hosts)]),
            frozen: None,
        }
    }

    pub(super) fn set(&mut self, hosts: Vec<Host>) {
        self.versions.push_back((Instant::now(), hosts));
        if self.versions.len() > KEPT {
            self.versions.pop_front();
        }
    }

    /// Shows the list as it is read now from here on.
    pub(super) fn freeze(&mut self, lag: Option<u64>) {
        self.frozen = Some(self.read(lag));
    }

    pub(super) fn thaw(&mut self) {
        self.frozen = None;
    }

    fn current(&self) -> Vec<Host> {
        let (_, hosts) = self.versions.back().expect("the first version stays");
        hosts.clone()
    }

    fn read(&self, lag: Option<u64>) -> Vec<Host> {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let lag = Duration::from_millis(lag.unwrap_or(0));
        let mut seen = &self.versions[0].1;
        for (at, hosts) in &self.versions {
            if at.elapsed() >= lag {
                seen = hosts;
            }
        }
        seen.clone()
    }

    fn replace(&mut self, host: Host) {
        let mut hosts = self.current();
        hosts.retain(|known| known.name != host.name);
        hosts.push(host);
        self.set(hosts);
    }

    fn remove(&mut self, name: &str) {
        let mut hosts = self.current();
        hosts.retain(|known| known.name != name);
        self.set(hosts);
    }
}

pub(super) fn respond(core: &Core, request: &Request) -> Response {
    let mut state = lock(&core.state);
    match request.method.as_str() {
        "GET" if state.fault.hosts_empty => Response::json(200, &Body { hosts: Vec::new() }),
        "GET" => {
            let hosts = state.hosts.read(state.fault.hosts_lag_ms);
            Response::json(200, &Body { hosts })
        }
        "PUT" => match request.json::<Body>() {
            Ok(body) => {
                state.hosts.set(body.hosts);
                done()
            }
            Err(response) => response,
        },
        "POST" => match request.json::<Host>() {
            Ok(host) => {
                state.hosts.replace(host);
                done()
            }
            Err(response) => response,
        },
        "DELETE" => match request.query.get("name") {
            Some(name) => {
                state.hosts.remove(name);
                done()
            }
            None => Response::bad_request("name is missing"),
        },
        _ => Response::error(405, "no such call"),
    }
}

fn done() -> Response {
    Response::json(200, &serde_json::json!({}))
}
