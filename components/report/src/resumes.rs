//! Answers that went on with another epoch, by service and version, since the process began.

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

/// Versions that are counted at once. Documents name new ones for as long as the process lives, so
/// the one without a resume for the longest time makes way.
pub const VERSIONS: usize = 128;

/// Longest latency that is told apart, in milliseconds: an hour.
const LONGEST: u64 = 3_600_000;

/// Significant digits of a latency.
const DIGITS: u8 = 2;

/// Why an answer went on elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The end of the epoch before was certain.
    Loss,
    /// The epoch before was silent.
    Suspicion,
}

/// Counts of one version.
#[derive(Clone, Debug)]
struct Tally {
    row: Row,
    latency: Histogram<u32>,
    last: Clock,
}

/// One version's resumes, as operators see them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Service.
    pub service: Service,
    /// Version.
    pub version: Version,
    /// Answers that were resumed at least once.
    pub answers: u64,
    /// Resumes after a loss. An answer can have several.
    pub loss: u64,
    /// Resumes on suspicion.
    pub suspicion: u64,
    /// Median time from the last token of one epoch to the first of the next, in milliseconds; none
    /// if no resumed answer has had a token yet.
    pub median_ms: Option<u64>,
    /// 99th percentile of the same, in milliseconds.
    pub p99_ms: Option<u64>,
    /// Tokens of answers that were handed over for continuation, and so prefilled once more.
    pub recomputed: u64,
    /// Decoded tokens that reached the entry and were dropped.
    pub dropped: u64,
}

/// Counts by version.
#[derive(Clone, Debug, Default)]
pub struct Counters(BTreeMap<(Service, Version), Tally>);

impl Counters {
    /// An answer goes on with another epoch, which is given `tokens` to go on from. `first` says
    /// that it is the first resume of that answer.
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

    /// The first fresh token of another epoch came, `latency` after the last one before it.
    pub fn record_latency(&mut self, service: &str, version: &str, latency: Duration, now: Clock) {
        let ms = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        let tally = self.tally(service, version, now);
        tally.latency.saturating_record(ms);
    }

    /// Decoded tokens were dropped.
    pub fn record_dropped(&mut self, service: &str, version: &str, tokens: u64, now: Clock) {
        self.tally(service, version, now).row.dropped += tokens;
    }

    /// Every version that had a resume, by service.
    pub fn rows(&self) -> Vec<Row> {
        self.0.values().map(row).collect()
    }

    fn tally(&mut self, service: &str, version: &str, now: Clock) -> &mut Tally {
        let key = (service.to_string(), version.to_string());
        if !self.0.contains_key(&key) && self.0.len() >= VERSIONS {
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
            latency: Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("the bounds are valid"),
            last: Clock::default(),
        }
    }
}

fn row(tally: &Tally) -> Row {
    let latency = &tally.latency;
    let at = |quantile| (!latency.is_empty()).then(|| latency.value_at_quantile(quantile));
    Row {
        median_ms: at(0.5),
        p99_ms: at(0.99),
        ..tally.row.clone()
    }
}

/// Resumes as text for one screen.
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
