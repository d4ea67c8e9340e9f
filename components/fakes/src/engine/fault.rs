//! Fault injection for the engine.

use serde::{
    Deserialize,
    Serialize, //
};

/// Additional latency of tokens, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Slow {
    /// Delay added before the first token.
    pub first_ms: u64,
    /// Delay added between tokens.
    pub between_ms: u64,
}

/// Faults to inject from now on, the request body of `POST /fault`.
///
/// Unset fields leave earlier faults unchanged. `docs/interfaces/engine.md` describes each fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Clears all faults before the other fields apply.
    pub clear: bool,
    /// Delays the fault until the engine has sent this many more tokens.
    pub after_tokens: Option<u64>,
    /// Ends the process at once.
    pub die: bool,
    /// Stops all responses and streams for this time, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Silences the connections that are open now for good, without closing them.
    pub silence: bool,
    /// Delays tokens as described by [`Slow`].
    pub slow: Option<Slow>,
    /// Sends the token at this index twice.
    pub repeat_at: Option<u64>,
    /// Skips the token at this index.
    pub skip_at: Option<u64>,
    /// Share of runs that fail with 500.
    pub fail_share: Option<f64>,
    /// Share of runs whose connection breaks midway.
    pub break_share: Option<f64>,
    /// Ends the process at the third token of a run whose prompt contains this text.
    pub crash_on: Option<String>,
    /// Accepts orders with an outdated fencing token.
    pub ignore_fence: bool,
    /// Refuses requests that continue an answer with 400.
    pub no_continue: bool,
    /// Makes the text of each run different.
    pub vary: bool,
}

/// Active and pending faults.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    pub(super) active: Fault,
    /// Faults with the number of tokens to be sent before they apply.
    pending: Vec<(u64, Fault)>,
}

impl Faults {
    /// Queues a fault that applies after a number of tokens. Returns `false`, without effect, if
    /// it applies at once.
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

    /// Counts a token that is about to be sent and returns the faults that apply before it.
    pub(super) fn count_token(&mut self) -> Vec<Fault> {
        let mut due = Vec::new();
        let mut pending = Vec::new();
        for (remaining, fault) in self.pending.drain(..) {
            if remaining == 0 {
                due.push(fault);
            } else {
                pending.push((remaining - 1, fault));
            }
        }
        self.pending = pending;
        due
    }

    /// Adds a fault to the active ones.
    pub(super) fn add(&mut self, fault: &Fault) {
        if fault.clear {
            *self = Faults::default();
        }
        let active = &mut self.active;
        active.slow = fault.slow.or(active.slow);
        active.repeat_at = fault.repeat_at.or(active.repeat_at);
        active.skip_at = fault.skip_at.or(active.skip_at);
        active.fail_share = fault.fail_share.or(active.fail_share);
        active.break_share = fault.break_share.or(active.break_share);
        active.crash_on = fault.crash_on.clone().or(active.crash_on.take());
        active.ignore_fence |= fault.ignore_fence;
        active.no_continue |= fault.no_continue;
        active.vary |= fault.vary;
    }
}
