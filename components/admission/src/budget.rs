//! Retry budget.

const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of retries that can be saved up, and of continuations that can be owed.
const MAX_RETRY_BALANCE: f64 = 50.0;

/// Bounds retries of every kind to a tenth of the requests. Without the bound, a fault that makes
/// each request fail doubles or triples the load just when capacity is lowest, and the extra load
/// sustains the fault after its cause is gone.
#[derive(Clone, Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            balance: MAX_RETRY_BALANCE / 5.0,
        }
    }
}

impl Budget {
    /// Counts a request of a caller.
    pub fn request(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_RETRY_BALANCE);
    }

    /// Takes a retry out of the budget. Returns `false` if none is available and the retry must not
    /// be made.
    pub fn retry(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Takes the continuation of an answer out of the budget. It is always allowed, as giving up
    /// would waste the work done so far; later retries pay for it.
    pub fn resume(&mut self) {
        self.balance = (self.balance - 1.0).max(-MAX_RETRY_BALANCE);
    }
}
