//! Summary of all requests in log lines: outcomes by kind and by time, and percentiles of times.

use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    Line,
    PROCESS_STARTED,
    cause, //
};

/// Gap between events from which on a stream counts as disturbed, in milliseconds: several times
/// the usual gap, as when the engine prefills another prompt meanwhile.
const DISTURBED_GAP_MS: u64 = 150;

/// Largest time that the histograms distinguish, in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;

/// Event number of the admission of a request.
const ADMITTED: u64 = 1012;

/// Number of requests by outcome.
pub type Outcomes = BTreeMap<String, u64>;

/// Summary of all requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Requests by kind: `stream`, `plain`, and `unsent` for those not sent to any server.
    pub kinds: BTreeMap<&'static str, Kind>,
    /// Outcomes by arrival time of the requests.
    pub windows: Vec<Window>,
}

/// Requests of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Kind {
    /// Requests by outcome.
    pub outcomes: Outcomes,
    /// Waits for an engine with capacity.
    pub waited: Times,
    /// Times to the first event.
    pub first: Times,
    /// Longest gap between events of each answer.
    pub gap: Times,
    /// Times to the end of the answer.
    pub whole: Times,
    /// Share of the answered streams with a gap of 150 ms or more.
    pub disturbed: f64,
}

/// Percentiles of a set of times, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Number of times.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Requests that arrived within a window of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// Start of the window, in seconds since the first request, by wall clocks.
    pub from_s: f64,
    /// Requests by outcome.
    pub outcomes: Outcomes,
}

/// Summarizes all requests that lines name, with windows of the given length.
pub fn summary(lines: &[Line], window: Duration) -> Summary {
    let mut requests: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in lines {
        if let Some(id) = line.id() {
            requests.entry(id).or_default().push(line);
        }
    }
    // By wall clock: monotonic clocks can't be compared across a restart of a host.
    let arrival = |own: &[&Line]| own.iter().map(|line| line.wall_ms).min();
    let start = requests.values().filter_map(|own| arrival(own)).min();
    let start = start.unwrap_or_default();
    let window_ms = i64::try_from(window.as_millis()).unwrap_or(i64::MAX).max(1);
    let mut kinds: BTreeMap<&'static str, Samples> = BTreeMap::new();
    let mut windows: BTreeMap<i64, Outcomes> = BTreeMap::new();
    for own in requests.values() {
        let outcome = outcome(own, lines);
        let index = (arrival(own).unwrap_or(start) - start) / window_ms;
        let window = windows.entry(index).or_default();
        *window.entry(outcome.clone()).or_default() += 1;
        kinds
            .entry(request_kind(own))
            .or_default()
            .add(own, outcome);
    }
    let windows = windows.into_iter().map(|(index, outcomes)| Window {
        from_s: (index * window_ms) as f64 / 1000.0,
        outcomes,
    });
    Summary {
        kinds: kinds
            .into_iter()
            .map(|(name, samples)| (name, samples.into()))
            .collect(),
        windows: windows.collect(),
    }
}

/// Returns the kind of a request.
fn request_kind(own: &[&Line]) -> &'static str {
    let has = |name: &str| own.iter().any(|line| line.number(name).is_some());
    if has("attempt") || has("first_ms") {
        return "stream";
    }
    match own.iter().any(|line| line.text("server").is_some()) {
        true => "plain",
        false => "unsent",
    }
}

/// Returns the outcome of a request. All requests with the same cause have the same text, which is
/// a key of the summary's JSON.
fn outcome(own: &[&Line], lines: &[Line]) -> String {
    let last_outcome = own.iter().rev().find(|line| cause::is_outcome(line));
    let Some(line) = last_outcome else {
        return unfinished_outcome(own, lines).to_string();
    };
    match (line.event, line.text("reason")) {
        (cause::REFUSED, Some(reason)) => format!("refused: {reason}"),
        (cause::INCOMPLETE, Some(reason)) => format!("cut: {reason}"),
        (cause::FAILED, _) => "failed by its server".to_string(),
        (cause::ABANDONED, _) => "left by its caller".to_string(),
        _ => "answered".to_string(),
    }
}

/// Returns the outcome of a request without a logged one.
fn unfinished_outcome(own: &[&Line], lines: &[Line]) -> &'static str {
    let last = own.iter().max_by_key(|line| line.monotonic_ms);
    let restarted = last.is_some_and(|last| {
        let mut starts = lines.iter().filter(|line| line.event == PROCESS_STARTED);
        starts.any(|line| {
            line.process == last.process && line.run != last.run && line.wall_ms > last.wall_ms
        })
    });
    match restarted {
        true => "in progress when its entry ended",
        false => "without an end in these lines",
    }
}

/// Outcomes and times of one kind of request while they are collected.
#[derive(Default)]
struct Samples {
    outcomes: Outcomes,
    waited: Vec<u64>,
    first: Vec<u64>,
    gap: Vec<u64>,
    whole: Vec<u64>,
}

impl Samples {
    fn add(&mut self, own: &[&Line], outcome: String) {
        *self.outcomes.entry(outcome).or_default() += 1;
        for line in own {
            if line.event == ADMITTED {
                self.waited.extend(line.number("waited_ms"));
            }
            if line.event == cause::ANSWERED {
                self.first.extend(line.number("first_ms"));
                self.gap.extend(line.number("gap_ms"));
                self.whole.extend(line.number("ms"));
            }
        }
    }
}

impl From<Samples> for Kind {
    fn from(samples: Samples) -> Kind {
        let disturbed = samples.gap.iter().filter(|gap| **gap >= DISTURBED_GAP_MS);
        Kind {
            disturbed: disturbed.count() as f64 / samples.gap.len().max(1) as f64,
            outcomes: samples.outcomes,
            waited: times(&samples.waited),
            first: times(&samples.first),
            gap: times(&samples.gap),
            whole: times(&samples.whole),
        }
    }
}

/// Returns the percentiles of samples.
fn times(samples: &[u64]) -> Times {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_TIME_MS, 3).expect("the bounds are valid");
    for sample in samples {
        histogram.saturating_record(*sample);
    }
    Times {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.5),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, kind) in &self.kinds {
            writeln!(formatter, "{name}: {}", line(&kind.outcomes))?;
            let rows = [
                ("waited", &kind.waited),
                ("first event", &kind.first),
                ("longest pause", &kind.gap),
                ("whole", &kind.whole),
            ];
            for (row, times) in rows.iter().filter(|(_, times)| times.count > 0) {
                let Times {
                    count,
                    p50,
                    p95,
                    p99,
                } = times;
                writeln!(
                    formatter,
                    "  {row:<14} {count:>6} median {p50:>6} ms, 95th {p95:>6}, 99th {p99:>6}"
                )?;
            }
            if kind.gap.count > 0 {
                let percent = 100.0 * kind.disturbed;
                writeln!(formatter, "  disturbed      {percent:.0} in 100")?;
            }
        }
        for window in &self.windows {
            writeln!(
                formatter,
                "{:>7.1} s  {}",
                window.from_s,
                line(&window.outcomes)
            )?;
        }
        Ok(())
    }
}

/// Renders outcomes, most frequent first.
fn line(outcomes: &Outcomes) -> String {
    let mut sorted: Vec<_> = outcomes.iter().collect();
    sorted.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let parts = sorted.iter().map(|(name, count)| format!("{count} {name}"));
    parts.collect::<Vec<_>>().join(", ")
}
