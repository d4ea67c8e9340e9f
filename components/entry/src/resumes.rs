//! Counting resumes for their report.

use std::{
    sync::Mutex,
    time::Duration, //
};

use environment::Target;
use names::Clock;
use report::resumes::{
    Cause,
    Ledger,
    Row, //
};

/// Counters of this entry.
#[derive(Default)]
pub(crate) struct Resumes(Mutex<Ledger>);

impl Resumes {
    /// An answer goes on with another epoch, from `tokens` tokens on.
    pub(crate) fn resumed(
        &self,
        target: &Target,
        cause: Cause,
        first: bool,
        tokens: usize,
        now: Clock,
    ) {
        let mut ledger = self.0.lock().expect("no panic while held");
        let (service, version) = (&target.service, &target.version);
        ledger.resumed(service, version, cause, first, tokens as u64, now);
    }

    /// The first fresh token of another epoch came.
    pub(crate) fn continued(&self, target: &Target, latency: Duration, now: Clock) {
        let mut ledger = self.0.lock().expect("no panic while held");
        ledger.continued(&target.service, &target.version, latency, now);
    }

    /// Decoded tokens were dropped.
    pub(crate) fn dropped(&self, target: &Target, tokens: u64, now: Clock) {
        if tokens == 0 {
            return;
        }
        let mut ledger = self.0.lock().expect("no panic while held");
        ledger.dropped(&target.service, &target.version, tokens, now);
    }

    /// The report.
    pub(crate) fn rows(&self) -> Vec<Row> {
        self.0.lock().expect("no panic while held").rows()
    }
}
