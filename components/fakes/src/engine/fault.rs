//! Faults of the engine.

use serde::{
    Deserialize,
    Serialize, //
};

/// Time added to tokens, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Slow {
    /// Added before the first token.
    pub first_ms: u64,
    /// Added between tokens.
    pub between_ms: u64,
}

/// What goes wrong from now on; fields that are not set leave earlier faults as they are.
///
/// The body of `POST /fault`; `docs/interfaces/engine.md` says what each does.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Takes all faults back, before the other fields act.
    pub clear: bool,
    /// The fault only acts once the engine has sent this many more tokens.
    pub after_tokens: Option<u64>,
    /// The process ends at once.
    pub die: bool,
    /// Nothing is answered or sent for this time, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Connections that are open now carry nothing any more.
    pub silence: bool,
    /// Tokens take longer.
    pub slow: Option<Slow>,
    /// The token at this index is sent twice.
    pub repeat_at: Option<u64>,
    /// The token at this index is left out.
    pub skip_at: Option<u64>,
    /// Share of runs that answer 500.
    pub fail_share: Option<f64>,
    /// Share of runs that close midway.
    pub break_share: Option<f64>,
    /// A prompt that holds this text ends the process at its run's third token.
    pub crash_on: Option<String>,
    /// Orders with an old number are taken.
    pub ignore_fence: bool,
    /// A request that continues an answer gets 400.
    pub no_continue: bool,
    /// Each run has a text of its own.
    pub vary: bool,
}

/// Faults in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    pub(super) now: Fault,
    /// Faults that wait until so many tokens were sent.
    pending: Vec<(u64, Fault)>,
}

impl Faults {
    /// Takes a fault that waits for tokens; `false` if it acts now.
    pub(super) fn defer(&mut self, fault: &Fault) -> bool {
        let Some(tokens) = fault.after_tokens else {
            return false;
        };
        if tokens == 0 {
            return false;
        }
        let fault = Fault {
            after_tokens: None,
            ..fault.clone()
        };
        self.pending.push((tokens, fault));
        true
    }

    /// Counts a token that is about to be sent; gives the faults that act before it.
    pub(super) fn count(&mut self) -> Vec<Fault> {
        let mut due = Vec::new();
        let mut later = Vec::new();
        for (left, fault) in self.pending.drain(..) {
            if left == 0 {
                due.push(fault);
            } else {
                later.push((left - 1, fault));
            }
        }
        self.pending = later;
        due
    }

    /// Adds a fault to those in force.
    pub(super) fn add(&mut self, fault: &Fault) {
        if fault.clear {
            *self = Faults::default();
        }
        let now = &mut self.now;
        now.slow = fault.slow.or(now.slow);
        now.repeat_at = fault.repeat_at.or(now.repeat_at);
        now.skip_at = fault.skip_at.or(now.skip_at);
        now.fail_share = fault.fail_share.or(now.fail_share);
        now.break_share = fault.break_share.or(now.break_share);
        now.crash_on = fault.crash_on.clone().or(now.crash_on.take());
        now.ignore_fence |= fault.ignore_fence;
        now.no_continue |= fault.no_continue;
        now.vary |= fault.vary;
    }
}
