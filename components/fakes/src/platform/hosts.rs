//! Host list and its HTTP interface.

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

/// Past versions of the list that are retained for delayed reads.
const MAX_VERSIONS: usize = 10_000;

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs an entry.
    Entry,
    /// Runs a sidecar next to a backend server.
    Sidecar,
}

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is in service.
    Live,
    /// The host is shutting down.
    Leaving,
}

/// Entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Region of the host.
    pub region: String,
    /// Role of the host.
    pub role: Role,
    /// QUIC address.
    pub address: SocketAddr,
    /// Lifecycle state of the host.
    pub state: State,
}

/// Response body of `GET /hosts` and request body of `PUT /hosts`.
#[derive(Serialize, Deserialize)]
struct Body {
    hosts: Vec<Host>,
}

/// Host list with its past versions.
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
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Freezes the list in the state in which it reads now.
    pub(super) fn freeze(&mut self, lag: Option<u64>) {
        self.frozen = Some(self.read(lag));
    }

    pub(super) fn thaw(&mut self) {
        self.frozen = None;
    }

    fn current(&self) -> Vec<Host> {
        let (_, hosts) = self.versions.back().expect("there is always a version");
        hosts.clone()
    }

    fn read(&self, lag: Option<u64>) -> Vec<Host> {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let lag = Duration::from_millis(lag.unwrap_or(0));
        let mut visible = &self.versions[0].1;
        for (at, hosts) in &self.versions {
            if at.elapsed() >= lag {
                visible = hosts;
            }
        }
        visible.clone()
    }

    fn replace(&mut self, host: Host) {
        let mut hosts = self.current();
        hosts.retain(|other| other.name != host.name);
        hosts.push(host);
        self.set(hosts);
    }

    fn remove(&mut self, name: &str) {
        let mut hosts = self.current();
        hosts.retain(|other| other.name != name);
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
                empty_response()
            }
            Err(response) => response,
        },
        "POST" => match request.json::<Host>() {
            Ok(host) => {
                state.hosts.replace(host);
                empty_response()
            }
            Err(response) => response,
        },
        "DELETE" => match request.query.get("name") {
            Some(name) => {
                state.hosts.remove(name);
                empty_response()
            }
            None => Response::bad_request("name is missing"),
        },
        _ => Response::error(405, "no such call"),
    }
}

fn empty_response() -> Response {
    Response::json(200, &serde_json::json!({}))
}
