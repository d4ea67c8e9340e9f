//! The sweep as a drawing: cost against latency.

/// One threshold.
pub struct Point {
    /// Its name in the table.
    pub name: String,
    /// Extra tokens with a slow engine, in per cent.
    pub extra: f64,
    /// Median latency of a stopped engine, in seconds.
    pub latency: f64,
}

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 420.0;
const EDGE: f64 = 60.0;

/// Draws the points; fixed thresholds are hollow, learned ones are filled.
pub fn svg(points: &[Point]) -> String {
    let most_extra = points.iter().map(|point| point.extra).fold(0.1, f64::max);
    let most_latency = points.iter().map(|point| point.latency).fold(0.1, f64::max);
    let x = |extra: f64| EDGE + extra / most_extra * (WIDTH - 2.0 * EDGE);
    let y = |latency: f64| HEIGHT - EDGE - latency / most_latency * (HEIGHT - 2.0 * EDGE);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n"
    );
    svg += &line(x(0.0), y(0.0), x(most_extra), y(0.0));
    svg += &line(x(0.0), y(0.0), x(0.0), y(most_latency));
    for step in 0..=4 {
        let share = f64::from(step) / 4.0;
        let (extra, latency) = (most_extra * share, most_latency * share);
        svg += &text(x(extra) - 10.0, y(0.0) + 16.0, &format!("{extra:.1} %"));
        svg += &text(8.0, y(latency) + 4.0, &format!("{latency:.2} s"));
    }
    let below = HEIGHT - 16.0;
    svg += &text(EDGE, below, "extra tokens with a slow, living engine");
    svg += &text(
        EDGE,
        24.0,
        "median latency of a stopped engine; hollow: fixed, filled: learned",
    );
    for point in points {
        let fill = if point.name.starts_with("fixed") {
            "none"
        } else {
            "black"
        };
        let (x, y) = (x(point.extra), y(point.latency));
        svg += &format!(
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" stroke=\"black\" fill=\"{fill}\">\
             <title>{}</title></circle>\n",
            point.name
        );
        if point.name.starts_with("fixed") {
            svg += &text(x + 6.0, y - 6.0, &point.name);
        }
    }
    svg + "</svg>\n"
}

fn line(x1: f64, y1: f64, x2: f64, y2: f64) -> String {
    format!(
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"black\"/>\n"
    )
}

fn text(x: f64, y: f64, words: &str) -> String {
    format!("<text x=\"{x:.1}\" y=\"{y:.1}\">{words}</text>\n")
}
