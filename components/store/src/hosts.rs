//! Types of the host list.

use std::net::SocketAddr;

use names::DataCentre;
use serde::{
    Deserialize,
    Serialize, //
};

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs an entry.
    Entry,
    /// Runs a sidecar beside a backend server.
    Sidecar,
}

/// Life-cycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is in service.
    Live,
    /// About to be removed; receives no new work.
    Leaving,
}

/// An entry of the host list. The list lags by seconds and may contain hosts that no longer exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name of the host.
    pub name: names::Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the host.
    pub region: String,
    /// Role of the host.
    pub role: Role,
    /// Address of its QUIC endpoint.
    pub address: SocketAddr,
    /// Life-cycle state.
    pub state: State,
}
