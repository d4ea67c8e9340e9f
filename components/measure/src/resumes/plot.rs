//! Plot of the threshold sweep: extra tokens against latency.

use crate::plot::{
    Scale,
    svg_text, //
};

/// The result of one threshold.
pub struct Point {
    /// Name in the table.
    pub name: String,
    /// Extra tokens with a slow engine, in percent.
    pub extra: f64,
    /// Median latency after an engine stopped, in seconds.
    pub latency: f64,
}

/// Returns the SVG plot; circles of fixed thresholds are hollow, those of learned ones are filled.
pub fn svg(points: &[Point]) -> String {
    let max_extra = points.iter().map(|point| point.extra).fold(0.1, f64::max);
    let max_latency = points.iter().map(|point| point.latency).fold(0.1, f64::max);
    let scale = Scale::new((max_extra, max_latency));
    let mut svg = scale.axes(
        "extra tokens with a slow, living engine, in per cent",
        "median latency of a stopped engine, in seconds; hollow: fixed, filled: learned",
    );
    for point in points {
        let fill = if point.name.starts_with("fixed") {
            "none"
        } else {
            "black"
        };
        let (x, y) = (scale.x(point.extra), scale.y(point.latency));
        svg += &format!(
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" stroke=\"black\" fill=\"{fill}\">\
             <title>{}</title></circle>\n",
            point.name
        );
        if point.name.starts_with("fixed") {
            svg += &svg_text(x + 6.0, y - 6.0, &point.name);
        }
    }
    svg + "</svg>\n"
}
