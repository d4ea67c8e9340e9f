//! Offsets between the monotonic clocks of hosts.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::Line;

/// Returns the identity of an event that all processes log at about the same time; `None` for other
/// events.
fn sync_point(line: &Line) -> Option<String> {
    let subject = match line.event {
        1100 => line.number("version")?.to_string(),
        1102 | 1103 => line.text("server")?.to_string(),
        _ => return None,
    };
    Some(format!("{} {subject}", line.event))
}

/// Offsets that convert the clock of each process to that of a reference process.
#[derive(Debug)]
pub(super) struct Clocks {
    offsets: HashMap<(String, u64), i64>,
}

impl Clocks {
    /// Estimates the offsets of all clocks to that of process `reference`.
    pub(super) fn new(lines: &[Line], reference: &(String, u64)) -> Clocks {
        let mut sync_points: HashMap<(String, u64), BTreeMap<String, i64>> = HashMap::new();
        for line in lines {
            let points = sync_points.entry(line.origin()).or_default();
            if let Some(sync_point) = sync_point(line) {
                points.entry(sync_point).or_insert(line.monotonic_ms);
            }
        }
        let reference_points = sync_points.get(reference).cloned().unwrap_or_default();
        let mut offsets = HashMap::new();
        for (origin, points) in sync_points {
            let mut differences = Vec::new();
            for (sync_point, time) in &points {
                if let Some(reference_time) = reference_points.get(sync_point) {
                    differences.push(reference_time - time);
                }
            }
            differences.sort_unstable();
            // Without a common event the offset is unknown, and the clock is used as it is.
            let median = differences.get(differences.len() / 2).copied();
            offsets.insert(origin, median.unwrap_or(0));
        }
        Clocks { offsets }
    }

    /// Returns the time of a line on the reference clock, in milliseconds.
    pub(super) fn time(&self, line: &Line) -> i64 {
        line.monotonic_ms + self.offsets.get(&line.origin()).copied().unwrap_or(0)
    }
}
