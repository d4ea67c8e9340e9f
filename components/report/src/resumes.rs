//! Report on answers that resumed with another epoch, by service and version, since the start of
//! the process.

use std::{
    collections::BTreeMap,
    fmt::Write,
    time::Duration, //
};

use hdrhistogram::Histogram;
use names::{
    Clock,
    Service,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Largest number of versions with counters. Documents keep adding versions while the process runs,
/// so the version with the oldest last event is evicted.
pub const MAX_VERSIONS: usize = 128;

/// Largest latency that the histogram distinguishes, in milliseconds: an hour.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Significant decimal digits of a latency in the histogram.
const LATENCY_DIGITS: u8 = 2;

/// Why an answer resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The previous epoch is known to have ended.
    Loss,
    /// The previous epoch is suspected because it sent nothing.
    Suspicion,
}

/// Counters of one version.
#[derive(Clone, Debug)]
struct Tally {
    row: Row,
    latency: Histogram<u32>,
    /// Time of the last recorded event.
    last: Clock,
}

/// Counts of one version for the report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Service of the answers.
    pub service: Service,
    /// Version of the service.
    pub version: Version,
    /// Number of answers that resumed at least once.
    pub answers: u64,
    /// Number of resumes after a loss. An answer can have several.
    pub loss: u64,
    /// Number of resumes on suspicion.
    pub suspicion: u64,
    /// Median time from the last token of one epoch to the first of the next, in milliseconds;
    /// `None` if no resumed answer has had a token yet.
    pub median_ms: Option<u64>,
    /// 99th percentile of this time, in milliseconds.
    pub p99_ms: Option<u64>,
    /// Number of answer tokens passed to another epoch to continue from, and so prefilled again.
    pub recomputed: u64,
    /// Number of decoded tokens that the entry received and dropped.
    pub dropped: u64,
}

/// Counters by service and version.
#[derive(Clone, Debug, Default)]
pub struct Counters(BTreeMap<(Service, Version), Tally>);

impl Counters {
    /// Records that an answer resumes with another epoch, which continues from `tokens` tokens.
    /// `first` marks the first resume of the answer.
    pub fn record_resume(
        &mut self,
        service: &str,
        version: &str,
        cause: Cause,
        first: bool,
        tokens: u64,
        now: Clock,
    ) {
        let tally = self.tally(service, version, now);
        tally.row.answers += u64::from(first);
        match cause {
            Cause::Loss => tally.row.loss += 1,
            Cause::Suspicion => tally.row.suspicion += 1,
        }
        tally.row.recomputed += tokens;
    }

    /// Records the first new token of another epoch, `latency` after the last token before it.
    pub fn record_latency(&mut self, service: &str, version: &str, latency: Duration, now: Clock) {
        let ms = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        let tally = self.tally(service, version, now);
        tally.latency.saturating_record(ms);
    }

    /// Records dropped decoded tokens.
    pub fn record_dropped(&mut self, service: &str, version: &str, tokens: u64, now: Clock) {
        self.tally(service, version, now).row.dropped += tokens;
    }

    /// Returns the counts of all versions, ordered by service and version.
    pub fn rows(&self) -> Vec<Row> {
        self.0.values().map(row).collect()
    }

    /// Returns the counters of a version; evicts those of another one if there are too many.
    fn tally(&mut self, service: &str, version: &str, now: Clock) -> &mut Tally {
        let key = (service.to_string(), version.to_string());
        if !self.0.contains_key(&key) && self.0.len() >= MAX_VERSIONS {
            let oldest = self.0.iter().min_by_key(|(_, tally)| tally.last);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.map(|key| self.0.remove(&key));
        }
        let tally = self
            .0
            .entry(key)
            .or_insert_with(|| Tally::new(service, version));
        tally.last = now;
        tally
    }
}

impl Tally {
    fn new(service: &str, version: &str) -> Self {
        Self {
            row: Row {
                service: service.into(),
                version: version.into(),
                answers: 0,
                loss: 0,
                suspicion: 0,
                median_ms: None,
                p99_ms: None,
                recomputed: 0,
                dropped: 0,
            },
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS)
                .expect("the bounds are valid"),
            last: Clock::default(),
        }
    }
}

/// Returns the counts with the quantiles of the latency.
fn row(tally: &Tally) -> Row {
    let latency = &tally.latency;
    let quantile = |q| (!latency.is_empty()).then(|| latency.value_at_quantile(q));
    Row {
        median_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        ..tally.row.clone()
    }
}

/// Renders resumes as text for one screen.
pub fn text(rows: &[Row]) -> String {
    if rows.is_empty() {
        return "No resumes.\n".into();
    }
    let mut text = String::new();
    for row in rows {
        let _ = writeln!(
            text,
            "{} {}: {} answers resumed; {} after a loss, {} on suspicion",
            row.service, row.version, row.answers, row.loss, row.suspicion
        );
        if let (Some(median), Some(p99)) = (row.median_ms, row.p99_ms) {
            let _ = writeln!(text, "  latency: median {median} ms, 99th {p99} ms");
        }
        let _ = writeln!(
            text,
            "  tokens: {} prefilled once more, {} decoded and dropped",
            row.recomputed, row.dropped
        );
    }
    text
}
