//! Explains the outcome of one request from the log lines of several processes.
//!
//! Each process writes JSON lines. Wall clocks of hosts differ by seconds and may jump, so lines
//! are ordered by the monotonic clocks of the hosts. Their offsets are estimated from events that
//! all processes log at about the same time: new documents, and changes in the set of backend
//! servers.

mod cause;
mod clocks;
mod line;
pub mod summary;

use std::{
    collections::BTreeSet,
    fmt, //
};

use self::clocks::Clocks;
pub use self::line::{
    Line,
    read, //
};

/// Event number of the start of a process.
const PROCESS_STARTED: u64 = 100;

/// Period before the first line of a request whose other lines may explain it, in milliseconds. A
/// store that failed seconds ago can cause API keys to be refused now.
const CONTEXT_BEFORE_MS: i64 = 8_000;

/// Period after the last line of a request whose other lines may explain it, in milliseconds.
const CONTEXT_AFTER_MS: i64 = 500;

/// Explanation of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Id of the request.
    pub id: String,
    /// Relevant log lines in order of time.
    pub lines: Vec<ExplainedLine>,
    /// Outcome of the request and its cause, in a sentence.
    pub cause: String,
}

/// A log line of an explanation.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedLine {
    /// Time since the first line of the request, in milliseconds; negative before it.
    pub offset_ms: i64,
    /// Whether the line is about the request itself or another attempt of the same caller.
    pub own: bool,
    /// The log line.
    pub line: Line,
}

/// Explains a request; returns `None` if no line names it.
pub fn explain(lines: &[Line], id: &str) -> Option<Explanation> {
    let ids = related_ids(lines, id);
    let named: Vec<&Line> = lines.iter().filter(|line| line.id() == Some(id)).collect();
    let reference = named.first()?.origin();
    let clocks = Clocks::new(lines, &reference);
    let times = named.iter().map(|line| clocks.time(line));
    let first = times.clone().min()?;
    let last = times.max()?;
    let servers: BTreeSet<&str> = named
        .iter()
        .filter_map(|line| line.text("server"))
        .collect();
    let mut events = Vec::new();
    for line in lines {
        let time = clocks.time(line);
        let own = line.id().is_some_and(|id| ids.contains(id));
        let in_period = time >= first - CONTEXT_BEFORE_MS && time <= last + CONTEXT_AFTER_MS;
        let relevant = in_period && is_relevant(line, &servers, &reference);
        if !(own || relevant) {
            continue;
        }
        events.push(ExplainedLine {
            offset_ms: time - first,
            own,
            line: line.clone(),
        });
    }
    events.sort_by_key(|event| event.offset_ms);
    if !named.iter().any(|line| cause::is_outcome(line)) {
        events.extend(next_start(lines, named.last()?, first, &clocks));
    }
    Some(Explanation {
        id: id.to_string(),
        cause: cause::cause(id, &events),
        lines: events,
    })
}

/// Returns the ids of the request and of other attempts of the caller, which have the same prompt.
fn related_ids<'a>(lines: &'a [Line], id: &'a str) -> BTreeSet<&'a str> {
    let has_id = |line: &&Line| line.id() == Some(id);
    let prompts: BTreeSet<u64> = lines
        .iter()
        .filter(has_id)
        .filter_map(|line| line.number("prompt"))
        .collect();
    let mut ids = BTreeSet::from([id]);
    for line in lines {
        let same_prompt = line.number("prompt").is_some_and(|p| prompts.contains(&p));
        if let (true, Some(other)) = (same_prompt, line.id()) {
            ids.insert(other);
        }
    }
    ids
}

/// Returns whether a line that names no request may explain a request that process `reference`
/// handled with these servers.
fn is_relevant(line: &Line, servers: &BTreeSet<&str>, reference: &(String, u64)) -> bool {
    if line.id().is_some() {
        return false;
    }
    match line.text("server") {
        Some(server) => servers.contains(server) && line.origin() == *reference,
        None => line.origin() == *reference,
    }
}

/// Returns the next start of the process that wrote a line. Its time is estimated by the wall
/// clock: if the host lost power in between, its monotonic clock has restarted from zero.
fn next_start(lines: &[Line], last: &Line, first: i64, clocks: &Clocks) -> Option<ExplainedLine> {
    let next = |line: &&Line| {
        line.event == PROCESS_STARTED
            && line.process == last.process
            && line.run != last.run
            && line.wall_ms > last.wall_ms
    };
    let start = lines.iter().filter(next).min_by_key(|line| line.wall_ms)?;
    Some(ExplainedLine {
        offset_ms: clocks.time(last) - first + (start.wall_ms - last.wall_ms),
        own: false,
        line: start.clone(),
    })
}

impl fmt::Display for Explanation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "{}", self.cause)?;
        writeln!(out)?;
        for event in &self.lines {
            let marker = if event.own { '*' } else { ' ' };
            let line = &event.line;
            write!(
                out,
                "{:>8} ms {marker} {} {}",
                event.offset_ms, line.process, line.message
            )?;
            for (name, value) in line.details() {
                write!(out, " {name}={value}")?;
            }
            writeln!(out)?;
        }
        Ok(())
    }
}
