//! Moves under way and ended, as one entry knows them.

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

/// Counts of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests.
    pub requests: u32,
    /// Distinct requests that failed.
    pub failed: u32,
    /// First tokens over the limit.
    pub slow_first: u32,
    /// Times between tokens over the limit.
    pub slow_between: u32,
}

/// What is known of both versions on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Route.
    pub route: Route,
    /// The version that the traffic leaves.
    pub old: Count,
    /// The version that the traffic goes to.
    pub new: Count,
}

/// One move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Name.
    pub name: Move,
    /// Version that the traffic leaves.
    pub from: Version,
    /// Version that the traffic goes to.
    pub to: Version,
    /// The new version's share in thousandths.
    pub permille: u32,
    /// Time by which all traffic must have moved.
    #[serde(with = "humantime_serde")]
    pub by: SystemTime,
    /// How strongly the evidence speaks against the new version, as an e-value: 500 takes it back.
    pub against: f64,
    /// `running`, `done`, `reverted`; `reverting` when the traffic is back and the store doesn't
    /// know yet.
    pub state: String,
    /// Why it ended; empty while it runs.
    pub reason: String,
    /// Evidence by route.
    pub routes: Vec<Evidence>,
}

/// Moves as text for one screen.
pub fn text(moves: &[Progress]) -> String {
    let mut text = String::new();
    if moves.is_empty() {
        return "No moves.\n".into();
    }
    for one in moves {
        let _ = writeln!(
            text,
            "{}: {} -> {}, {}, {:.1}% of new requests, by {}, evidence against it {:.1} of 500",
            one.name,
            one.from,
            one.to,
            one.state,
            f64::from(one.permille) / 10.0,
            humantime_serde::re::humantime::format_rfc3339_seconds(one.by),
            one.against
        );
        if !one.reason.is_empty() {
            let _ = writeln!(text, "  why: {}", one.reason);
        }
        for route in &one.routes {
            let _ = writeln!(text, "  route {}", route.route);
            line(&mut text, &one.to, route.new);
            line(&mut text, &one.from, route.old);
        }
    }
    text
}

fn line(text: &mut String, version: &Version, count: Count) {
    let _ = writeln!(
        text,
        "    {version:<12} {:>8} requests {:>6} failed {:>6} late first {:>6} slow between",
        count.requests, count.failed, count.slow_first, count.slow_between
    );
}
