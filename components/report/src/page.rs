//! Renders the burn as an HTML page without scripts, or styles and images of other origins.

use std::fmt::Write;

use crate::{
    burn::Burn,
    text::name, //
};

/// Width of a full bar, in pixels.
const BAR_WIDTH: f64 = 160.0;

const PAGE_HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level \
burn</title><style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}\
.bad{color:#b00}</style><h1>Service-level burn</h1><table><tr><th>Service<th>Of<th>Requests\
<th>Missed<th>Budget left<th>Fast<th>Slow<th>Long</tr>\n";

/// Renders the whole page.
pub fn burn(burn: &Burn) -> String {
    let mut page = PAGE_HEAD.to_string();
    for row in &burn.rows {
        let width = BAR_WIDTH * row.left.clamp(0.0, 1.0);
        let _ = write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}<td><svg width=\"{BAR_WIDTH}\" height=\"10\">\
             <rect width=\"{BAR_WIDTH}\" height=\"10\" fill=\"#ddd\"/>\
             <rect width=\"{width:.0}\" height=\"10\" fill=\"#393\"/></svg> {:.0}%",
            escape(&row.service),
            escape(&name(&row.subject)),
            row.requests,
            row.missed,
            100.0 * row.left
        );
        for rate in &row.rates {
            let class = if rate.alert { " class=\"bad\"" } else { "" };
            let _ = write!(page, "<td{class}>{:.1} / {:.1}", rate.short, rate.long);
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table></html>\n");
    page
}

/// Escapes text for HTML. Names come from callers and operators and must not become markup.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
