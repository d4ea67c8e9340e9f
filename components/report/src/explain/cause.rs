//! Describes the outcome of a request and its cause in a sentence.

use super::{
    ExplainedLine,
    Line, //
};

// Event numbers in log lines.
const PROCESS_STARTED: u64 = 100;
pub(super) const REFUSED: u64 = 1000;
const SENT: u64 = 1001;
pub(super) const ANSWERED: u64 = 1002;
const DECLINED: u64 = 1003;
const LOST: u64 = 1004;
pub(super) const FAILED: u64 = 1005;
const RESUMED: u64 = 1006;
pub(super) const INCOMPLETE: u64 = 1007;
pub(super) const ABANDONED: u64 = 1008;
const STORE_LOST: u64 = 1105;

/// Returns whether a line reports the outcome of a request.
pub(super) fn is_outcome(line: &Line) -> bool {
    matches!(
        line.event,
        REFUSED | ANSWERED | FAILED | INCOMPLETE | ABANDONED
    )
}

/// Describes the outcome of a request and its cause.
pub(super) fn cause(id: &str, events: &[ExplainedLine]) -> String {
    let own: Vec<&Line> = events
        .iter()
        .map(|event| &event.line)
        .filter(|line| line.id() == Some(id))
        .collect();
    let outcome = |event: u64| own.iter().rev().find(|line| line.event == event).copied();
    if let Some(refused) = outcome(REFUSED) {
        return self::refused(refused, &own, events);
    }
    if let Some(incomplete) = outcome(INCOMPLETE) {
        return self::incomplete(incomplete, &own);
    }
    if let Some(line) = outcome(ABANDONED) {
        return abandoned(line, &own);
    }
    if let Some(answered) = outcome(ANSWERED) {
        return self::answered(answered, &own);
    }
    if let Some(failed) = outcome(FAILED) {
        return format!(
            "Backend server {} responded with an error of its own (status {}).",
            text(failed, "server"),
            number(failed, "status"),
        );
    }
    unfinished(&own, events)
}

/// Describes an answered request.
fn answered(line: &Line, own: &[&Line]) -> String {
    let resumed = count(own, RESUMED);
    let mut text = format!(
        "Answered by {} after {} ms",
        text(line, "server"),
        number(line, "ms"),
    );
    if resumed > 0 {
        let gap = number(line, "gap_ms");
        text += &format!("; resumed on another server {resumed} times, longest gap {gap} ms");
    }
    let failed = count(own, FAILED);
    if failed > 0 {
        text += &format!("; {failed} backend servers failed before");
    }
    text + "."
}

/// Describes a refused request.
fn refused(line: &Line, own: &[&Line], events: &[ExplainedLine]) -> String {
    let status = number(line, "status");
    let document = number(line, "document");
    match line.text("reason").unwrap_or_default() {
        "no_current_document" if document == 0 => {
            format!("Refused with {status}: the process had no document yet.")
        }
        "no_current_document" => {
            let age = number(line, "document_age_ms");
            let lost = events
                .iter()
                .rev()
                .find(|event| event.line.event == STORE_LOST);
            let why = match lost {
                Some(lost) => format!("the store did not respond ({})", text(&lost.line, "reason")),
                None => "neither the store nor a peer confirmed it".to_string(),
            };
            format!(
                "Refused with {status}: document {document} was last confirmed to be current {age} \
                 ms before, too long ago to accept an API key, because {why}."
            )
        }
        "no_server" => {
            let declined = responses(own, DECLINED);
            format!(
                "Refused with {status}, not run: no backend server accepted it; {} declined or \
                 could not be reached ({}).",
                declined.len(),
                declined.join(", "),
            )
        }
        "lost" => {
            let last = own.iter().rev().find(|line| line.event == LOST);
            let (server, reason) = match last {
                Some(last) => (text(last, "server"), text(last, "reason")),
                None => ("a backend server".into(), "no usable response".into()),
            };
            format!(
                "Failed with {status}: sent to {server}, which gave no usable response ({reason}); \
                 it may have run."
            )
        }
        "late" => {
            let ms = number(line, "ms");
            match own.iter().rev().find(|line| line.event == SENT) {
                Some(sent) => format!(
                    "Failed with {status}: the deadline passed after {ms} ms, before {} responded; \
                     it may have run.",
                    text(sent, "server"),
                ),
                None => format!("Failed with {status}: the deadline passed after {ms} ms."),
            }
        }
        "cut_off" => format!(
            "Failed with {status} after {} ms: sent to a backend server that had not responded when \
             the process had to exit; it may have run.",
            number(line, "ms"),
        ),
        "expired" => format!(
            "Refused with {status}, not run: the deadline passed after {} ms, before a backend \
             server ran it.",
            number(line, "ms"),
        ),
        "retries_spent" => format!(
            "Refused with {status}, not run: it needed another retry, and the retry budget of its \
             service was used up across all processes."
        ),
        "rate_limited" => format!(
            "Refused with {status}, not run: all backend servers of its service limit their request \
             rates, and this process had used up its part."
        ),
        "poisonous" => format!(
            "Refused with {status}, not run: backend servers crashed under earlier attempts of it \
             (fingerprint {}).",
            text(line, "fingerprint"),
        ),
        "leaving" => format!(
            "Refused with {status}, not run: the process was shutting down, and the request would \
             have outlasted it."
        ),
        "no_key" => format!("Refused with {status}: no team has its key in document {document}."),
        "no_route" => format!("Refused with {status}: document {document} has no route for it."),
        reason => format!("Refused with {status}: {reason}."),
    }
}

/// Describes a stream that was cut off.
fn incomplete(line: &Line, own: &[&Line]) -> String {
    let losses = own.iter().filter(|line| line.event == LOST);
    let losses: Vec<String> = losses
        .map(|line| format!("{} {}", text(line, "server"), text(line, "reason")))
        .collect();
    format!(
        "Stream cut off after {} ms, after event {}: {}; runs lost before: {}.",
        number(line, "ms"),
        number(line, "last"),
        text(line, "reason"),
        match losses.is_empty() {
            true => "none".to_string(),
            false => losses.join(", "),
        },
    )
}

/// Describes a request whose caller disconnected.
fn abandoned(line: &Line, own: &[&Line]) -> String {
    let ms = number(line, "ms");
    let last = own.iter().rev().find(|line| line.event != ABANDONED);
    match last {
        Some(last) if last.event == SENT => format!(
            "The caller disconnected after {ms} ms, while {} was processing the request.",
            text(last, "server"),
        ),
        Some(last) => format!(
            "The caller disconnected after {ms} ms; before that: {}.",
            last.message
        ),
        None => format!("The caller disconnected after {ms} ms, before the request was sent."),
    }
}

/// Describes a request without a logged outcome.
fn unfinished(own: &[&Line], events: &[ExplainedLine]) -> String {
    let Some(last) = own.last() else {
        return "No log line names the request.".to_string();
    };
    let same =
        |event: &&ExplainedLine| event.line.process == last.process && event.line.run != last.run;
    let start = events
        .iter()
        .filter(same)
        .find(|event| event.line.event == PROCESS_STARTED);
    if let Some(start) = start {
        return format!(
            "Process {} ended without logging an outcome while it was processing the request; it \
             restarted {} ms after the request arrived.",
            last.process, start.offset_ms,
        );
    }
    format!(
        "No outcome was logged: the last line is {:?} of {}, whose process ended or whose lines \
         were dropped.",
        last.message, last.process,
    )
}

/// Returns the number of lines of an event.
fn count(own: &[&Line], event: u64) -> usize {
    own.iter().filter(|line| line.event == event).count()
}

/// Returns the servers in the lines of an event, each with its reason or status.
fn responses(own: &[&Line], event: u64) -> Vec<String> {
    let lines = own.iter().filter(|line| line.event == event);
    let name = |line: &&Line| match line.text("reason") {
        Some(reason) => format!("{}: {reason}", text(line, "server")),
        None => format!("{}: {}", text(line, "server"), number(line, "status")),
    };
    lines.map(name).collect()
}

fn text(line: &Line, field: &str) -> String {
    line.text(field).unwrap_or("?").to_string()
}

fn number(line: &Line, field: &str) -> u64 {
    line.number(field).unwrap_or(0)
}
