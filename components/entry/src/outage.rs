//! Whether the platform's store was out a moment ago.

use std::{
    sync::Mutex,
    time::Duration, //
};

use tokio::time::Instant;

/// Time for which kept calls are refused at once after the store was found out.
pub(crate) const OUTAGE: Duration = Duration::from_millis(500);

/// Whether the store was out a moment ago.
///
/// Without this, each kept call of a long outage would wait for a time-out of its own before it is
/// refused.
#[derive(Default)]
pub(crate) struct Outage(Mutex<Option<Instant>>);

impl Outage {
    pub(crate) fn note(&self) {
        *self.0.lock().expect("no panic while held") = Some(Instant::now());
    }

    pub(crate) fn over(&self) -> bool {
        let noted = *self.0.lock().expect("no panic while held");
        noted.is_none_or(|at| at.elapsed() >= OUTAGE)
    }
}
