//! Vetoes, outcomes and the record that is kept of a move.

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

/// Says that a move's new version is bad. Once known it is never forgotten.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Veto {
    /// When the entry tripped, as wall-clock time.
    #[serde(with = "humantime_serde")]
    pub at: SystemTime,
    /// The entry that tripped.
    pub by: Source,
    /// What it found.
    pub finding: Finding,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// All traffic goes to the new version.
    Done,
    /// All traffic goes to the old version.
    Reverted,
}

/// Why a move ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The new version had all traffic for the whole watch time.
    Watched,
    /// An entry found the new version bad.
    Vetoed(Veto),
    /// A later document no longer holds the move.
    Dropped,
    /// A later document uses the move's name for other versions.
    Replaced,
}

/// A move's end. It is written once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Done or reverted.
    pub end: End,
    /// Why.
    pub reason: Reason,
    /// When the new version got all traffic, if it did.
    #[serde(with = "humantime_serde::option")]
    pub full: Option<SystemTime>,
    /// When the move ended.
    #[serde(with = "humantime_serde")]
    pub at: SystemTime,
    /// The entry that wrote this.
    pub by: Source,
}

/// What the store keeps of a move: written at its begin and once more at its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The move.
    pub name: Move,
    /// Version that the traffic leaves.
    pub from: Version,
    /// Version that the traffic goes to.
    pub to: Version,
    /// Time by which all traffic must have moved.
    #[serde(with = "humantime_serde")]
    pub by: SystemTime,
    /// When the move began.
    #[serde(with = "humantime_serde")]
    pub began: SystemTime,
    /// How it ended; none while it runs.
    pub outcome: Option<Outcome>,
}

impl Outcome {
    /// The version that all traffic goes to.
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

/// Key of a move's record in the platform's store.
pub fn key(environment: &Environment, name: &Move) -> String {
    format!("moves/{environment}/{name}")
}
