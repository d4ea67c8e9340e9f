//! Recorded calls: two requests with the same key at two entries, two sidecars, one store.
//!
//! The production state machines of the entry and the sidecar run against all interleavings of
//! these events: late and duplicate frames, responses of the store that are lost before or after
//! the write, writes that apply long after their timeout, an outage of the store, a slow response
//! after a pause, crashes of entries and sidecars, and a service that refuses, answers or crashes.
//! A pause is a step that occurs late, and any step may. A budget of faults bounds the search.

mod actors;
mod enabled;
mod state;
mod step;
mod store;

pub use state::State;
pub use step::{
    Completion,
    Step, //
};

use crate::search::{
    Outcome,
    search, //
};

/// Defects built into the system, each of which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The system without a defect.
    None,
    /// A frame that is delivered twice starts two forwarders.
    CopyBegins,
    /// A frame that is delivered twice starts two forwarders, both with the nonce from the frame.
    NonceFromFrame,
    /// A create without a response counts as applied.
    UnansweredIsWon,
    /// The store writes without comparing the revision.
    NoCompare,
    /// A sidecar that finds a void record overwrites it without asking the entry.
    SidecarGoesOn,
    /// An entry whose sidecar stopped responding reports `not_run` without a proof.
    NoProof,
    /// A connection that breaks while the service runs the call counts as refused.
    BrokenIsRefused,
    /// The entry sends the call again instead of proving that it did not run.
    SendsAgain,
}

/// Searches all states with at most `faults` faults.
pub fn check(mutation: Mutation, faults: u32) -> Outcome<Step> {
    search(
        State::new(mutation, faults),
        State::successors,
        State::violated_invariant,
    )
}
