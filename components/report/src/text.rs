//! Renders the burn as text for one screen.

use std::fmt::Write;

use crate::burn::{
    Burn,
    Row,
    Subject, //
};

/// Maximum number of rows on a screen.
const MAX_SCREEN_ROWS: usize = 30;

/// Renders the burn as text, worst rows first.
pub fn burn(burn: &Burn) -> String {
    let mut text = format!(
        "{:<14} {:<24} {:>9} {:>7} {:>8}  {}\n",
        "SERVICE", "OF", "REQUESTS", "MISSED", "BUDGET", "BURN fast, slow, long (! alerts)"
    );
    for row in burn.rows.iter().take(MAX_SCREEN_ROWS) {
        line(&mut text, row);
    }
    let more = burn.rows.len().saturating_sub(MAX_SCREEN_ROWS);
    if more > 0 {
        let _ = writeln!(text, "and {more} more rows; --format json has them all");
    }
    text
}

/// Writes the line of one row.
fn line(text: &mut String, row: &Row) {
    let rates: Vec<_> = row
        .rates
        .iter()
        .map(|rate| {
            let mark = if rate.alert { "!" } else { "" };
            format!("{:.1}/{:.1}{mark}", rate.short, rate.long)
        })
        .collect();
    let _ = writeln!(
        text,
        "{:<14} {:<24} {:>9} {:>7} {:>7.0}%  {}",
        row.service,
        name(&row.subject),
        row.requests,
        row.missed,
        100.0 * row.left,
        rates.join("  ")
    );
}

/// Returns the display name of a subject.
pub fn name(subject: &Subject) -> String {
    match subject {
        Subject::Service => "all".into(),
        Subject::Route(name) => format!("route {name}"),
        Subject::Version(name) => format!("version {name}"),
        Subject::Team(name) => format!("team {name}"),
    }
}
