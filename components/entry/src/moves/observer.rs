//! Reports the evidence of one request to the move that picked its version.

use std::{
    sync::Arc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use answer::finish::Breakage;
use moves::{
    evidence::{
        Cause,
        Death, //
    },
    step::{
        Ending,
        Event, //
    },
};
use names::Server;
use tokio::time::Instant;
use wire::frame::Reason;

use crate::{
    moves::{
        handle,
        movers::Assignment, //
    },
    state::State, //
};

/// Length of the fixed windows of wall-clock time; generations that break on one server in the same
/// window count as one crash.
///
/// A crash breaks all generations on the server. Counted separately, they would look like as many
/// crashes.
const CRASH_WINDOW: Duration = Duration::from_secs(10);

/// Tokens after which the mean time between tokens is reported.
const GAP_REPORT_TOKENS: usize = 50;

/// Observes one request; inactive for a request without an assignment.
pub(crate) struct Observer {
    assignment: Option<Assignment>,
    first: Option<Instant>,
    gap_reported: bool,
}

impl Observer {
    /// Creates an observer of a request.
    pub(crate) fn new(assignment: Option<Assignment>) -> Self {
        Self {
            assignment,
            first: None,
            gap_reported: false,
        }
    }

    /// Records received tokens; `count` is their total number so far, and `started` the start of
    /// the request.
    pub(crate) fn record_tokens(&mut self, state: &Arc<State>, started: Instant, count: usize) {
        let Some(assignment) = &self.assignment else {
            return;
        };
        let now = Instant::now();
        let Some(first) = self.first else {
            self.first = Some(now);
            let pick = assignment.pick.clone();
            let event = Event::First {
                pick,
                time: now - started,
                late: delayed_share(state, started),
            };
            handle(state, &assignment.name, event);
            return;
        };
        if !self.gap_reported && count >= GAP_REPORT_TOKENS {
            self.gap_reported = true;
            report_gap(state, assignment, first, count);
        }
    }

    /// Records that a generation of the request broke on its server.
    pub(crate) fn record_breakage(
        &mut self,
        state: &Arc<State>,
        server: &Server,
        reason: Breakage,
    ) {
        let Some(assignment) = &self.assignment else {
            return;
        };
        match reason {
            Breakage::EngineStalled | Breakage::Repeat | Breakage::Hole => {
                self.record_end(state, Ending::Failed, 0);
            }
            Breakage::EngineDied => {
                let wall = SystemTime::now();
                let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
                let death = Death {
                    server: server.clone(),
                    incarnation: since.as_secs() / CRASH_WINDOW.as_secs(),
                    side: assignment.pick.side,
                    slot: assignment.pick.slot,
                    level: assignment.pick.level,
                    cause: Cause::Unexplained,
                };
                handle(state, &assignment.name, Event::Died(death));
            }
            Breakage::LogFull | Breakage::Cancelled => {}
        }
    }

    /// Records that a sidecar refused the request.
    pub(crate) fn record_refusal(&mut self, state: &Arc<State>, reason: Reason) {
        // Errors, a missing version and missing features count against the version; a full or
        // leaving server doesn't.
        let version_faults = [
            Reason::Down,
            Reason::Version,
            Reason::Invalid,
            Reason::Continuation,
        ];
        if version_faults.contains(&reason) {
            self.record_end(state, Ending::Failed, 0);
        }
    }

    /// Records the end of the request, or a failure that counts against the version. Only the first
    /// call for a request has an effect.
    pub(crate) fn record_end(&mut self, state: &Arc<State>, ending: Ending, count: usize) {
        let Some(assignment) = self.assignment.take() else {
            return;
        };
        if let Some(first) = self.first
            && !self.gap_reported
            && count > 1
        {
            report_gap(state, &assignment, first, count);
        }
        let pick = assignment.pick;
        handle(state, &assignment.name, Event::Finished { pick, ending });
    }
}

/// Reports the mean time between the `count` tokens so far.
fn report_gap(state: &Arc<State>, assignment: &Assignment, first: Instant, count: usize) {
    let gaps = u32::try_from(count - 1).unwrap_or(u32::MAX);
    let event = Event::Between {
        pick: assignment.pick.clone(),
        time: first.elapsed() / gaps.max(1),
        late: delayed_share(state, first),
    };
    handle(state, &assignment.name, event);
}

/// Returns the share of the time since `started` by which this entry itself was delayed.
fn delayed_share(state: &State, started: Instant) -> f64 {
    let now = state.now();
    state
        .lateness
        .fraction(now.saturating_sub(started.elapsed()), now)
}
