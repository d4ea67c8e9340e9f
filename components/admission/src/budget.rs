//! The retry budget.

/// Retries that one request pays for.
const SHARE: f64 = 0.1;

/// Retries that can be saved up, and the debt that resumes can run up.
const MOST: f64 = 50.0;

/// Bounds retries of every kind to a tenth of the requests. Without it, a fault that makes each
/// request fail doubles or triples the load just when there is least capacity, and the extra load
/// keeps the fault up after its cause is gone.
#[derive(Clone, Debug)]
pub struct Budget {
    left: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { left: MOST / 5.0 }
    }
}

impl Budget {
    /// Counts a request that came from a caller.
    pub fn request(&mut self) {
        self.left = (self.left + SHARE).min(MOST);
    }

    /// Takes a retry out of the budget; `false` when there is none left, and it must not be made.
    pub fn retry(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// Takes the continuation of an answer out of the budget. It is always allowed, as giving up
    /// wastes what was done; retries pay for it later.
    pub fn resume(&mut self) {
        self.left = (self.left - 1.0).max(-MOST);
    }
}
