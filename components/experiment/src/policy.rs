//! Policies that disable single production decisions.

use std::str::FromStr;

/// The set of production decisions that a simulation uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// All decisions, as in production.
    All,
    /// Requests are dispatched at once, regardless of free capacity.
    NoQueue,
    /// No backup copies of runs' KV caches.
    NoCopies,
    /// Backup copies whenever they fit, even while requests wait.
    Copies,
    /// No steady speeds of engines.
    NoSpeeds,
    /// Round robin over the servers regardless of load, without a queue.
    RoundRobin,
    /// Waiting requests of all ranks in fair turns, and engines' queues without ranks.
    Fair,
    /// Order by cost; engines are not told which requests are urgent.
    Untold,
}

/// Error for a policy name that doesn't exist.
#[derive(Debug, thiserror::Error)]
#[error(
    "{0}: unknown policy; expected one of all, no-queue, no-copies, copies, no-speeds, round-robin, \
    fair, untold"
)]
pub struct Unknown(String);

impl FromStr for Policy {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Policy, Unknown> {
        Ok(match text {
            "all" => Policy::All,
            "no-queue" => Policy::NoQueue,
            "no-copies" => Policy::NoCopies,
            "copies" => Policy::Copies,
            "no-speeds" => Policy::NoSpeeds,
            "round-robin" => Policy::RoundRobin,
            "fair" => Policy::Fair,
            "untold" => Policy::Untold,
            _ => return Err(Unknown(text.to_string())),
        })
    }
}

impl Policy {
    /// Name in the printed tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::All => "all",
            Policy::NoQueue => "no queue",
            Policy::NoCopies => "no copies",
            Policy::Copies => "copies while others wait",
            Policy::NoSpeeds => "no steady speeds",
            Policy::RoundRobin => "in turn",
            Policy::Fair => "fair turns",
            Policy::Untold => "engines not told",
        }
    }

    /// Whether requests pass the admission gate.
    pub(crate) fn queues(self) -> bool {
        !matches!(self, Policy::NoQueue | Policy::RoundRobin)
    }

    /// Whether requests that differ are ordered by cost.
    pub(crate) fn orders_by_cost(self) -> bool {
        self != Policy::Fair
    }

    /// Whether engines are told which requests are urgent.
    pub(crate) fn tells_urgency(self) -> bool {
        !matches!(self, Policy::Fair | Policy::Untold)
    }

    /// Whether runs get backup copies.
    pub(crate) fn copies(self, under_pressure: bool) -> bool {
        match self {
            Policy::All | Policy::NoQueue | Policy::NoSpeeds | Policy::Fair | Policy::Untold => {
                !under_pressure
            }
            Policy::Copies => true,
            Policy::NoCopies | Policy::RoundRobin => false,
        }
    }
}
