//! Kept calls: two requests with the same key at two entries, two sidecars, one store.
//!
//! The production machines of the entry and the sidecar run here against every order of events:
//! frames that arrive late or twice, store answers that are lost after or before the write, writes
//! that take effect long after their time-out, an outage, a slow answer after a pause, the deaths
//! of entries and sidecars, a service that refuses, answers or dies. A pause is a step that comes
//! late, and any step may. Faults are bounded by a budget, so the search ends.

mod actors;
mod enabled;
mod state;
mod step;
mod store;

pub use step::{
    Fate,
    Step, //
};
pub use state::World;

use crate::search::{
    Outcome,
    search, //
};

/// A way to get it wrong, which the search must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Twin {
    /// The production code as it is.
    None,
    /// A frame that is delivered twice begins two hand-overs.
    CopyBegins,
    /// The same, and the frame brings the number of its hand-over along.
    NonceFromFrame,
    /// A create without an answer counts as won.
    UnansweredIsWon,
    /// The store doesn't compare before it writes.
    NoCompare,
    /// A sidecar that finds a void record writes over it by itself.
    SidecarGoesOn,
    /// An entry whose sidecar fell silent says `not_run` without a proof.
    NoProof,
    /// A connection that broke while the service ran the call counts as one it refused.
    BrokenIsRefused,
    /// The entry sends again instead of proving.
    SendsAgain,
}

/// Searches every state within a budget of faults.
pub fn check(twin: Twin, faults: u32) -> Outcome<Step> {
    search(World::new(twin, faults), World::next, World::broken)
}
