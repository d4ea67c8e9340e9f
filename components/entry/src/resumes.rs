//! Counts the resumes of answers for their report.

use std::{
    sync::Mutex,
    time::Duration, //
};

use environment::Target;
use names::Clock;
use report::resumes::{
    Cause,
    Counters,
    Row, //
};

/// Resume counters of this entry.
#[derive(Default)]
pub(crate) struct Resumes(Mutex<Counters>);

impl Resumes {
    /// Records that an answer resumes with another epoch after `tokens` tokens; `first` marks its
    /// first resume.
    pub(crate) fn resumed(
        &self,
        target: &Target,
        cause: Cause,
        first: bool,
        tokens: usize,
        now: Clock,
    ) {
        let mut counters = self.0.lock().expect("no panic while held");
        let (service, version) = (&target.service, &target.version);
        counters.record_resume(service, version, cause, first, tokens as u64, now);
    }

    /// Records the first fresh token of another epoch, `latency` after the last token before it.
    pub(crate) fn continued(&self, target: &Target, latency: Duration, now: Clock) {
        let mut counters = self.0.lock().expect("no panic while held");
        counters.record_latency(&target.service, &target.version, latency, now);
    }

    /// Records decoded tokens that were dropped as duplicates.
    pub(crate) fn record_duplicates(&self, target: &Target, tokens: u64, now: Clock) {
        if tokens == 0 {
            return;
        }
        let mut counters = self.0.lock().expect("no panic while held");
        counters.record_dropped(&target.service, &target.version, tokens, now);
    }

    /// Returns the rows of the report.
    pub(crate) fn rows(&self) -> Vec<Row> {
        self.0.lock().expect("no panic while held").rows()
    }
}
