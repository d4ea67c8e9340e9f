//! Detects callers that disconnect before their response ends.

use std::rc::Rc;

use events::{
    forwarding,
    note, //
};
use tokio::time::Instant;

use crate::{
    call::Call,
    meter,
    requests::Running, //
};

/// Records that the caller disconnected when the response is dropped before it is complete.
pub(super) struct AbandonGuard {
    id: String,
    arrived: Instant,
    progress: Rc<Running>,
    /// Whether the response ended, complete or not.
    pub(super) done: bool,
}

impl AbandonGuard {
    pub(super) fn new(call: &Call) -> AbandonGuard {
        AbandonGuard {
            id: call.request.metadata.id.clone(),
            arrived: call.arrived,
            progress: call.progress.clone(),
            done: false,
        }
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if self.done || self.progress.is_cut_off() {
            return;
        }
        let progress = &self.progress;
        meter::outcome("abandoned", self.arrived.elapsed());
        meter::answer_cut(progress.closer(), progress.work());
        note!(
            forwarding::ABANDONED,
            id = self.id.as_str(),
            by = progress.closer().name(),
            stage = progress.stage().name(),
            server = progress.server().as_deref(),
            work = progress.work().name(),
            silence_ms = progress.silence().map(|time| time.as_millis() as u64),
            ms = self.arrived.elapsed().as_millis() as u64
        );
    }
}
