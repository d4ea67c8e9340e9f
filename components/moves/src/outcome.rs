//! Vetoes, outcomes and the stored record of a move.

use std::{
    fmt,
    time::SystemTime, //
};

use names::{
    Environment,
    Move,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    evidence::Source,
    judge::{
        Finding,
        Metric, //
    },
    share::Side, //
};

/// States that a move's new version is bad. A known veto is never dropped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Veto {
    /// Wall-clock time of the veto.
    #[serde(with = "humantime_serde")]
    pub at: SystemTime,
    /// The entry that raised the veto.
    pub by: Source,
    /// The finding behind the veto.
    pub finding: Finding,
}

/// End state of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// All traffic goes to the new version.
    Done,
    /// All traffic goes to the old version.
    Reverted,
}

/// Reason for the end of a move.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The new version had all traffic for the whole watch time.
    Watched,
    /// An entry found the new version bad.
    Vetoed(Veto),
    /// A later document no longer contains the move.
    Dropped,
    /// A later document uses the move's name for other versions.
    Replaced,
}

/// The outcome of a move, written once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// End state.
    pub end: End,
    /// Reason for the end.
    pub reason: Reason,
    /// Time when the new version received all traffic, if it did.
    #[serde(with = "humantime_serde::option")]
    pub full: Option<SystemTime>,
    /// Time when the move ended.
    #[serde(with = "humantime_serde")]
    pub at: SystemTime,
    /// The entry that wrote the outcome.
    pub by: Source,
}

/// The stored record of a move, written at its start and again at its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Name of the move.
    pub name: Move,
    /// Version that the traffic leaves.
    pub from: Version,
    /// Version that the traffic goes to.
    pub to: Version,
    /// Deadline for moving all traffic.
    #[serde(with = "humantime_serde")]
    pub by: SystemTime,
    /// Time when the move began.
    #[serde(with = "humantime_serde")]
    pub began: SystemTime,
    /// The outcome; `None` while the move is running.
    pub outcome: Option<Outcome>,
}

impl Outcome {
    /// Returns the version that receives all traffic.
    pub fn side(&self) -> Side {
        match self.end {
            End::Done => Side::New,
            End::Reverted => Side::Old,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Watched => out.write_str("it had all traffic for the whole watch time"),
            Self::Vetoed(veto) => veto.finding.fmt(out),
            Self::Dropped => out.write_str("the document no longer holds it"),
            Self::Replaced => out.write_str("the document uses its name for other versions"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.metric {
            Metric::Failed => "requests failed",
            Metric::SlowFirst => "first tokens were late",
            Metric::SlowBetween => "tokens came slowly",
            Metric::Died => "backend servers died",
        };
        match &self.route {
            Some(route) => write!(out, "{what} on route {route}")?,
            None => write!(out, "{what}")?,
        }
        let (new, of_new, old, of_old) = (self.new, self.of_new, self.old, self.of_old);
        write!(
            out,
            ": {new} of {of_new}; with the old version {old} of {of_old}"
        )
    }
}

/// Returns the key of a move's record in the platform's store.
pub fn key(environment: &Environment, name: &Move) -> String {
    format!("moves/{environment}/{name}")
}
