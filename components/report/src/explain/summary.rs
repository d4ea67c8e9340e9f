//! What became of all requests of some logs: by kind, cause and time, with their times.

use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    Line,
    STARTED,
    cause, //
};

/// Pause between events from which on a stream counts as disturbed: several times the usual one, as
/// while another prompt is read on its engine.
const DISTURBED_MS: u64 = 150;

/// Longest time that is told apart, in milliseconds.
const MAX_MS: u64 = 3_600_000;

const ADMITTED: u64 = 1012;

/// Requests by what became of them.
pub type Outcomes = BTreeMap<String, u64>;

/// What became of all requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Requests by kind: `stream`, `plain`, and `unsent` for those that no server got.
    pub kinds: BTreeMap<&'static str, Kind>,
    /// Outcomes by the time at which the requests came.
    pub windows: Vec<Window>,
}

/// One kind of request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Kind {
    /// Requests by outcome.
    pub outcomes: Outcomes,
    /// Waits for an engine with room.
    pub waited: Times,
    /// Times to the first event.
    pub first: Times,
    /// Longest pause of each answer.
    pub gap: Times,
    /// Times to the end of the answer.
    pub whole: Times,
    /// Part of the answered streams with a pause of 150 ms or more.
    pub disturbed: f64,
}

/// Percentiles of some times, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Their number.
    pub count: u64,
    /// Half of them are at most this.
    pub p50: u64,
    /// 95 in 100.
    pub p95: u64,
    /// 99 in 100.
    pub p99: u64,
}

/// Requests that came within a span of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// Its beginning, in seconds since the first request, by the hosts' time of day.
    pub from_s: f64,
    /// Requests by outcome.
    pub outcomes: Outcomes,
}

/// Sums up all requests that lines name, in windows of a length.
pub fn summary(lines: &[Line], window: Duration) -> Summary {
    let mut requests: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in lines {
        if let Some(id) = line.id() {
            requests.entry(id).or_default().push(line);
        }
    }
    // By the hosts' time of day: steady clocks can't be compared over a host's restart.
    let came = |own: &[&Line]| own.iter().map(|line| line.at).min();
    let begin = requests.values().filter_map(|own| came(own)).min();
    let begin = begin.unwrap_or_default();
    let window_ms = i64::try_from(window.as_millis()).unwrap_or(i64::MAX).max(1);
    let mut kinds: BTreeMap<&'static str, Samples> = BTreeMap::new();
    let mut windows: BTreeMap<i64, Outcomes> = BTreeMap::new();
    for own in requests.values() {
        let outcome = outcome(own, lines);
        let place = (came(own).unwrap_or(begin) - begin) / window_ms;
        let window = windows.entry(place).or_default();
        *window.entry(outcome.clone()).or_default() += 1;
        kinds.entry(kind(own)).or_default().take(own, outcome);
    }
    let windows = windows.into_iter().map(|(place, outcomes)| Window {
        from_s: (place * window_ms) as f64 / 1000.0,
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

fn kind(own: &[&Line]) -> &'static str {
    let has = |name: &str| own.iter().any(|line| line.number(name).is_some());
    if has("attempt") || has("first_ms") {
        return "stream";
    }
    match own.iter().any(|line| line.text("server").is_some()) {
        true => "plain",
        false => "unsent",
    }
}

/// What became of a request, in a few words that are the same for all with the same cause.
fn outcome(own: &[&Line], lines: &[Line]) -> String {
    let ends = own.iter().rev().find(|line| cause::ends(line));
    let Some(end) = ends else {
        return unended(own, lines).to_string();
    };
    match (end.event, end.text("reason")) {
        (cause::REFUSED, Some(reason)) => format!("refused: {reason}"),
        (cause::CUT, Some(reason)) => format!("cut: {reason}"),
        (cause::FAILED, _) => "failed by its server".to_string(),
        (cause::ABANDONED, _) => "left by its caller".to_string(),
        _ => "answered".to_string(),
    }
}

fn unended(own: &[&Line], lines: &[Line]) -> &'static str {
    let last = own.iter().max_by_key(|line| line.up);
    let restarted = last.is_some_and(|last| {
        let mut starts = lines.iter().filter(|line| line.event == STARTED);
        starts.any(|line| line.process == last.process && line.run != last.run && line.at > last.at)
    });
    match restarted {
        true => "in progress when its entry ended",
        false => "without an end in these lines",
    }
}

/// Times of one kind of request while they are gathered.
#[derive(Default)]
struct Samples {
    outcomes: Outcomes,
    waited: Vec<u64>,
    first: Vec<u64>,
    gap: Vec<u64>,
    whole: Vec<u64>,
}

impl Samples {
    fn take(&mut self, own: &[&Line], outcome: String) {
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
        let disturbed = samples.gap.iter().filter(|gap| **gap >= DISTURBED_MS);
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

fn times(samples: &[u64]) -> Times {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_MS, 3).expect("the bounds are in order");
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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, kind) in &self.kinds {
            writeln!(f, "{name}: {}", line(&kind.outcomes))?;
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
                    f,
                    "  {row:<14} {count:>6} median {p50:>6} ms, 95th {p95:>6}, 99th {p99:>6}"
                )?;
            }
            if kind.gap.count > 0 {
                let percent = 100.0 * kind.disturbed;
                writeln!(f, "  disturbed      {percent:.0} in 100")?;
            }
        }
        for window in &self.windows {
            writeln!(f, "{:>7.1} s  {}", window.from_s, line(&window.outcomes))?;
        }
        Ok(())
    }
}

fn line(outcomes: &Outcomes) -> String {
    let mut sorted: Vec<_> = outcomes.iter().collect();
    sorted.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let parts = sorted.iter().map(|(name, count)| format!("{count} {name}"));
    parts.collect::<Vec<_>>().join(", ")
}
