//! How the time of a step grows with the number of runs.

/// Weight of the assumption that the time doesn't grow, in squared logarithms of numbers of runs.
const PRIOR: f64 = 2.0;

/// Weight of the latest step in a server's mean.
const EWMA_WEIGHT: f64 = 0.1;

/// Exponent of the number of runs in the time of a step, measured by how steps of the same server
/// differ: 0 for a server that isn't slowed by further runs, 1 for one that works on one at a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Growth {
    squares: f64,
    products: f64,
}

impl Growth {
    /// Records a step; `means` holds those of the server.
    pub(super) fn record(&mut self, means: &mut Option<(f64, f64)>, runs: u32, seconds: f64) {
        if !seconds.is_normal() || seconds < 0.0 {
            return;
        }
        let (runs, time) = (f64::from(runs.max(1)).ln(), seconds.ln());
        let (mean_runs, mean_time) = means.get_or_insert((runs, time));
        let (more, longer) = (runs - *mean_runs, time - *mean_time);
        self.squares += more * more;
        self.products += more * longer;
        *mean_runs += EWMA_WEIGHT * more;
        *mean_time += EWMA_WEIGHT * longer;
    }

    /// Returns the time of a step with this number of runs, relative to one run.
    pub(super) fn factor(&self, runs: u32) -> f64 {
        let exponent = (self.products / (self.squares + PRIOR)).clamp(0.0, 1.0);
        f64::from(runs.max(1)).powf(exponent)
    }
}
