//! Report on moves of traffic between versions, running and ended, as one entry knows them.

use std::{
    fmt::Write,
    time::SystemTime, //
};

use names::{
    Move,
    Route,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Request counts of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Number of requests.
    pub requests: u32,
    /// Number of distinct requests that failed.
    pub failed: u32,
    /// Number of first tokens later than the limit.
    pub slow_first: u32,
    /// Number of times between tokens over the limit.
    pub slow_between: u32,
}

/// Evidence on both versions on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Route that the counts belong to.
    pub route: Route,
    /// Counts of the version that loses the traffic.
    pub old: VersionCounts,
    /// Counts of the version that gains the traffic.
    pub new: VersionCounts,
}

/// Progress of one move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Name of the move.
    pub name: Move,
    /// Version that loses the traffic.
    pub from: Version,
    /// Version that gains the traffic.
    pub to: Version,
    /// Share of the new version, in thousandths of new requests.
    pub permille: u32,
    /// Time by which all traffic must have moved.
    #[serde(with = "humantime_serde")]
    pub by: SystemTime,
    /// Strength of the evidence against the new version, as an e-value; 500 reverts the move.
    pub against: f64,
    /// `running`, `done` or `reverted`; `reverting` once the traffic has gone back, until the store
    /// has recorded the outcome.
    pub state: String,
    /// Reason for the end of the move; empty while it runs.
    pub reason: String,
    /// Evidence by route.
    pub routes: Vec<Evidence>,
}

/// Renders moves as text for one screen.
pub fn text(moves: &[Progress]) -> String {
    let mut text = String::new();
    if moves.is_empty() {
        return "No moves.\n".into();
    }
    for progress in moves {
        let _ = writeln!(
            text,
            "{}: {} -> {}, {}, {:.1}% of new requests, by {}, evidence against it {:.1} of 500",
            progress.name,
            progress.from,
            progress.to,
            progress.state,
            f64::from(progress.permille) / 10.0,
            humantime_serde::re::humantime::format_rfc3339_seconds(progress.by),
            progress.against
        );
        if !progress.reason.is_empty() {
            let _ = writeln!(text, "  why: {}", progress.reason);
        }
        for route in &progress.routes {
            let _ = writeln!(text, "  route {}", route.route);
            line(&mut text, &progress.to, route.new);
            line(&mut text, &progress.from, route.old);
        }
    }
    text
}

/// Writes the line of one version.
fn line(text: &mut String, version: &Version, count: VersionCounts) {
    let _ = writeln!(
        text,
        "    {version:<12} {:>8} requests {:>6} failed {:>6} late first {:>6} slow between",
        count.requests, count.failed, count.slow_first, count.slow_between
    );
}
