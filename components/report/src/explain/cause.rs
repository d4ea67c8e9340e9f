//! What became of a request, and why, in a sentence.

use super::{
    Line,
    Told, //
};

const STARTED: u64 = 100;
pub(super) const REFUSED: u64 = 1000;
const SENT: u64 = 1001;
pub(super) const ANSWERED: u64 = 1002;
const DECLINED: u64 = 1003;
const LOST: u64 = 1004;
pub(super) const FAILED: u64 = 1005;
const RESUMED: u64 = 1006;
pub(super) const CUT: u64 = 1007;
pub(super) const ABANDONED: u64 = 1008;
const STORE_LOST: u64 = 1105;

/// Whether a line tells of a request's end.
pub(super) fn ends(line: &Line) -> bool {
    matches!(line.event, REFUSED | ANSWERED | FAILED | CUT | ABANDONED)
}

/// Says what became of a request.
pub(super) fn cause(id: &str, told: &[Told]) -> String {
    let own: Vec<&Line> = told
        .iter()
        .map(|told| &told.line)
        .filter(|line| line.id() == Some(id))
        .collect();
    let ended = |event: u64| own.iter().rev().find(|line| line.event == event).copied();
    if let Some(refused) = ended(REFUSED) {
        return self::refused(refused, &own, told);
    }
    if let Some(cut) = ended(CUT) {
        return self::cut(cut, &own);
    }
    if let Some(left) = ended(ABANDONED) {
        return abandoned(left, &own);
    }
    if let Some(answered) = ended(ANSWERED) {
        return self::answered(answered, &own);
    }
    if let Some(failed) = ended(FAILED) {
        return format!(
            "Backend server {} answered with a failure of its own ({}).",
            text(failed, "server"),
            number(failed, "status"),
        );
    }
    unended(&own, told)
}

fn answered(line: &Line, own: &[&Line]) -> String {
    let resumed = count(own, RESUMED);
    let mut text = format!(
        "It was answered by {} after {} ms",
        text(line, "server"),
        number(line, "ms"),
    );
    if resumed > 0 {
        let gap = number(line, "gap_ms");
        text += &format!("; it went on elsewhere {resumed} times, with a gap of {gap} ms at most");
    }
    let failed = count(own, FAILED);
    if failed > 0 {
        text += &format!("; {failed} backend servers failed it before");
    }
    text + "."
}

fn refused(line: &Line, own: &[&Line], told: &[Told]) -> String {
    let status = number(line, "status");
    let document = number(line, "document");
    match line.text("reason").unwrap_or_default() {
        "no_current_document" if document == 0 => {
            format!("Refused with {status}: the process knew no document yet.")
        }
        "no_current_document" => {
            let age = number(line, "document_age_ms");
            let lost = told.iter().rev().find(|told| told.line.event == STORE_LOST);
            let why = match lost {
                Some(lost) => format!("the store doesn't answer ({})", text(&lost.line, "reason")),
                None => "neither the store nor a peer said that it is current".to_string(),
            };
            format!(
                "Refused with {status}: document {document} was last known to be current {age} ms \
                 before, too long to accept a key, as {why}."
            )
        }
        "no_server" => {
            let declined = names(own, DECLINED);
            format!(
                "Refused with {status}, not run: no backend server took it; {} declined or couldn't \
                 be reached ({}).",
                declined.len(),
                declined.join(", "),
            )
        }
        "lost" => {
            let last = own.iter().rev().find(|line| line.event == LOST);
            let (server, reason) = match last {
                Some(last) => (text(last, "server"), text(last, "reason")),
                None => ("a backend server".into(), "no usable answer".into()),
            };
            format!(
                "Answered with {status}: it was sent to {server}, which gave no usable answer \
                 ({reason}); it may have run."
            )
        }
        "late" => {
            let ms = number(line, "ms");
            match own.iter().rev().find(|line| line.event == SENT) {
                Some(sent) => format!(
                    "Answered with {status}: its time was over after {ms} ms while {} had not \
                     answered; it may have run.",
                    text(sent, "server"),
                ),
                None => format!("Answered with {status}: its time was over after {ms} ms."),
            }
        }
        "expired" => format!(
            "Refused with {status}, not run: its time was over after {} ms, before a backend server \
             ran it.",
            number(line, "ms"),
        ),
        "retries_spent" => format!(
            "Refused with {status}, not run: it would have had to be sent once more, and the retries \
             of its service were used up over all processes."
        ),
        "leaving" => format!(
            "Refused with {status}, not run: the process was stopping, and the request would have \
             outlasted it."
        ),
        "no_key" => format!("Refused with {status}: no team holds its key in document {document}."),
        "no_route" => format!("Refused with {status}: document {document} has no route for it."),
        reason => format!("Refused with {status}: {reason}."),
    }
}

fn cut(line: &Line, own: &[&Line]) -> String {
    let losses = own.iter().filter(|line| line.event == LOST);
    let losses: Vec<String> = losses
        .map(|line| format!("{} {}", text(line, "server"), text(line, "reason")))
        .collect();
    format!(
        "Its stream broke off after {} ms behind event {}: {}; runs lost before: {}.",
        number(line, "ms"),
        number(line, "last"),
        text(line, "reason"),
        match losses.is_empty() {
            true => "none".to_string(),
            false => losses.join(", "),
        },
    )
}

fn abandoned(line: &Line, own: &[&Line]) -> String {
    let ms = number(line, "ms");
    let last = own.iter().rev().find(|line| line.event != ABANDONED);
    match last {
        Some(last) if last.event == SENT => format!(
            "Its caller left after {ms} ms, while {} was at work on it.",
            text(last, "server"),
        ),
        Some(last) => format!(
            "Its caller left after {ms} ms; before that: {}.",
            last.message
        ),
        None => format!("Its caller left after {ms} ms, before it was sent."),
    }
}

fn unended(own: &[&Line], told: &[Told]) -> String {
    let Some(last) = own.last() else {
        return "No line names it.".to_string();
    };
    let same = |told: &&Told| told.line.process == last.process && told.line.run != last.run;
    let start = told
        .iter()
        .filter(same)
        .find(|told| told.line.event == STARTED);
    if let Some(start) = start {
        return format!(
            "The process {} ended without a word while it was at work on it, and started anew {} ms \
             after the request came.",
            last.process, start.ms,
        );
    }
    format!(
        "Nothing was written of its end: the last line is {:?} of {}, whose process ended, or whose \
         lines were dropped.",
        last.message, last.process,
    )
}

fn count(own: &[&Line], event: u64) -> usize {
    own.iter().filter(|line| line.event == event).count()
}

/// Servers that lines of an event name, with what they say.
fn names(own: &[&Line], event: u64) -> Vec<String> {
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
