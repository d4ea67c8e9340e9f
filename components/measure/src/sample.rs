//! The values of one figure over several seeds.

/// Sorted values of a figure.
pub struct Sample(Vec<f64>);

impl Sample {
    /// Sorts the values; the other functions panic unless there is at least one.
    pub fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.collect();
        values.sort_by(f64::total_cmp);
        Self(values)
    }

    /// Formats the median, and the highest value as the worst, with this number of decimal digits.
    pub fn highest_is_worst(&self, digits: usize) -> String {
        let worst = self.0[self.0.len() - 1];
        format!("{:.digits$} ({worst:.digits$})", self.median())
    }

    /// Formats the median, and the lowest value as the worst, with this number of decimal digits.
    pub fn lowest_is_worst(&self, digits: usize) -> String {
        format!("{:.digits$} ({:.digits$})", self.median(), self.0[0])
    }

    /// Returns the median; the upper one if the number of values is even.
    pub fn median(&self) -> f64 {
        self.0[self.0.len() / 2]
    }
}
