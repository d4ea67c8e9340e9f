//! One request's story, from the log lines of several processes.
//!
//! Each process writes JSON lines of its own. Their times of day differ by seconds and may jump, so
//! that lines of different processes are put in order by the hosts' steady clocks, which are
//! brought together by what all processes learn at about the same moment: documents, and backend
//! servers that come and go.

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

/// Number of the event of a process's start.
const STARTED: u64 = 100;

/// Time before a request's first line from which on other lines may explain it, in milliseconds: a
/// store that was lost seconds ago refuses keys now.
const BEFORE: i64 = 8_000;

/// Time behind its last line, in milliseconds.
const BEHIND: i64 = 500;

/// One request's story.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    /// The request.
    pub id: String,
    /// Lines in order of time.
    pub lines: Vec<Told>,
    /// What became of it, and why, in a sentence.
    pub cause: String,
}

/// A line of a story.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Milliseconds since the request's first line.
    pub ms: i64,
    /// It is about the request itself, or another attempt of the same caller.
    pub own: bool,
    /// The line.
    pub line: Line,
}

/// Tells the story of a request; `None` when no line names it.
pub fn explain(lines: &[Line], id: &str) -> Option<Story> {
    let ids = attempts(lines, id);
    let named: Vec<&Line> = lines.iter().filter(|line| line.id() == Some(id)).collect();
    let home = named.first()?.origin();
    let clocks = Clocks::new(lines, &home);
    let times = named.iter().map(|line| clocks.time(line));
    let first = times.clone().min()?;
    let last = times.max()?;
    let servers: BTreeSet<&str> = named
        .iter()
        .filter_map(|line| line.text("server"))
        .collect();
    let mut told = Vec::new();
    for line in lines {
        let time = clocks.time(line);
        let own = line.id().is_some_and(|id| ids.contains(id));
        let near = time >= first - BEFORE && time <= last + BEHIND;
        let told_of = near && concerns(line, &servers, &home);
        if !(own || told_of) {
            continue;
        }
        told.push(Told {
            ms: time - first,
            own,
            line: line.clone(),
        });
    }
    told.sort_by_key(|told| told.ms);
    if !named.iter().any(|line| cause::ends(line)) {
        told.extend(next_start(lines, named.last()?, first, &clocks));
    }
    Some(Story {
        id: id.to_string(),
        cause: cause::cause(id, &told),
        lines: told,
    })
}

/// The request and the caller's other attempts, which brought the same prompt.
fn attempts<'a>(lines: &'a [Line], id: &'a str) -> BTreeSet<&'a str> {
    let of_id = |line: &&Line| line.id() == Some(id);
    let prompts: BTreeSet<u64> = lines
        .iter()
        .filter(of_id)
        .filter_map(|line| line.number("prompt"))
        .collect();
    let mut ids = BTreeSet::from([id]);
    for line in lines {
        let same = line.number("prompt").is_some_and(|p| prompts.contains(&p));
        if let (true, Some(other)) = (same, line.id()) {
            ids.insert(other);
        }
    }
    ids
}

/// Whether a line that names no request may explain one that met these servers at this process.
fn concerns(line: &Line, servers: &BTreeSet<&str>, home: &(String, u64)) -> bool {
    if line.id().is_some() {
        return false;
    }
    match line.text("server") {
        Some(server) => servers.contains(server) && line.origin() == *home,
        None => line.origin() == *home,
    }
}

/// The next start of the process that wrote a line, which ended in between. The host may have lost
/// power, and its steady clock begins anew then, so that its time of day has to do.
fn next_start(lines: &[Line], last: &Line, first: i64, clocks: &Clocks) -> Option<Told> {
    let next = |line: &&Line| {
        line.event == STARTED
            && line.process == last.process
            && line.run != last.run
            && line.at > last.at
    };
    let start = lines.iter().filter(next).min_by_key(|line| line.at)?;
    Some(Told {
        ms: clocks.time(last) - first + (start.at - last.at),
        own: false,
        line: start.clone(),
    })
}

impl fmt::Display for Story {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "{}", self.cause)?;
        writeln!(out)?;
        for told in &self.lines {
            let mark = if told.own { '*' } else { ' ' };
            let line = &told.line;
            write!(
                out,
                "{:>8} ms {mark} {} {}",
                told.ms, line.process, line.message
            )?;
            for (name, value) in line.details() {
                write!(out, " {name}={value}")?;
            }
            writeln!(out)?;
        }
        Ok(())
    }
}
