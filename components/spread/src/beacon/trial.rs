//! Messages by which processes share the permits of requests that may crash servers.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Id,
    Incarnation, //
};

/// Message about one permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Run of the process whose request needs the permit.
    pub process: Incarnation,
    /// Id of the service.
    pub service: Id,
    /// Number of the permit at that process.
    pub number: u32,
    /// What the message says.
    pub step: Step,
}

/// What a message about a permit says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The process asks for the permit, or renews it.
    Ask,
    /// The permit is granted.
    Granted,
    /// Another request has the permit of the service.
    Busy,
    /// The request has ended, or needs no permit any more.
    Ended,
}
