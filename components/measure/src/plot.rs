//! Plots as SVG.

/// A named line of a plot.
pub struct Line {
    /// Name, drawn at the end of the line.
    pub name: String,
    /// Points `(x, y)`, in ascending order of `x`.
    pub points: Vec<(f64, f64)>,
}

/// Size of a plot and of its margins, in SVG user units.
const PLOT_WIDTH: f64 = 720.0;
const PLOT_HEIGHT: f64 = 420.0;
const PLOT_MARGIN: f64 = 60.0;

/// Maps values from 0 to a maximum on each axis to SVG coordinates.
pub struct Scale {
    max: (f64, f64),
}

impl Scale {
    /// Creates a scale for values up to `max`, given as `(x, y)`.
    pub fn new(max: (f64, f64)) -> Scale {
        Scale { max }
    }

    /// Horizontal coordinate of a value.
    pub fn x(&self, value: f64) -> f64 {
        PLOT_MARGIN + value / self.max.0 * (PLOT_WIDTH - 2.0 * PLOT_MARGIN)
    }

    /// Vertical coordinate of a value; SVG coordinates grow downwards.
    pub fn y(&self, value: f64) -> f64 {
        PLOT_HEIGHT - PLOT_MARGIN - value / self.max.1 * (PLOT_HEIGHT - 2.0 * PLOT_MARGIN)
    }

    /// Starts an SVG document and draws both axes, each with five tick labels and a title.
    ///
    /// The caller appends the closing tag.
    pub fn axes(&self, x_title: &str, y_title: &str) -> String {
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {PLOT_WIDTH} {PLOT_HEIGHT}\" \
             font-family=\"sans-serif\" font-size=\"11\">\n\
             <rect width=\"{PLOT_WIDTH}\" height=\"{PLOT_HEIGHT}\" fill=\"white\"/>\n"
        );
        svg += &svg_line(self.x(0.0), self.y(0.0), self.x(self.max.0), self.y(0.0));
        svg += &svg_line(self.x(0.0), self.y(0.0), self.x(0.0), self.y(self.max.1));
        for step in 0..=4 {
            let share = f64::from(step) / 4.0;
            let (right, up) = (self.max.0 * share, self.max.1 * share);
            svg += &svg_text(
                self.x(right) - 10.0,
                self.y(0.0) + 16.0,
                &format!("{right:.2}"),
            );
            svg += &svg_text(8.0, self.y(up) + 4.0, &format!("{up:.2}"));
        }
        svg += &svg_text(PLOT_MARGIN, PLOT_HEIGHT - 16.0, x_title);
        svg + &svg_text(PLOT_MARGIN, 24.0, y_title)
    }
}

/// Draws a line plot, with the name of each line at its end.
pub fn line_plot(lines: &[Line], x_title: &str, y_title: &str) -> String {
    let points = || lines.iter().flat_map(|line| &line.points);
    let max = (
        points().map(|point| point.0).fold(0.1, f64::max),
        points().map(|point| point.1).fold(0.1, f64::max),
    );
    let scale = Scale::new(max);
    let mut svg = scale.axes(x_title, y_title);
    for line in lines {
        for pair in line.points.windows(2) {
            let [(x1, y1), (x2, y2)] = [pair[0], pair[1]];
            svg += &svg_line(scale.x(x1), scale.y(y1), scale.x(x2), scale.y(y2));
        }
        if let Some((x, y)) = line.points.last() {
            svg += &svg_text(scale.x(*x) - 60.0, scale.y(*y) - 6.0, &line.name);
        }
    }
    svg + "</svg>\n"
}

/// Returns an SVG line.
pub fn svg_line(x1: f64, y1: f64, x2: f64, y2: f64) -> String {
    format!(
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"black\"/>\n"
    )
}

/// Returns an SVG text element; `label` must not need escaping.
pub fn svg_text(x: f64, y: f64, label: &str) -> String {
    format!("<text x=\"{x:.1}\" y=\"{y:.1}\">{label}</text>\n")
}
