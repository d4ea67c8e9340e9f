//! Replica choice: load, prefix affinity, ejection, data centres.
//!
//! [`Pool`] is a plain state machine. Its driver tells it which backend servers there are, what
//! they report, what was sent and what came of it, and asks it for a server for each piece of
//! work. `docs/design/routing.md` gives the reasons and the figures.

mod cache;
mod choose;
mod decay;
mod far;
mod member;
pub mod placement;
mod pool;
mod prompts;
mod settings;
pub mod subset;

pub use cache::{
    Event,
    Kind, //
};
pub use choose::{
    Choice,
    Request, //
};
pub use far::Summary;
pub use member::{
    Outcome,
    Report, //
};
pub use placement::Placement;
pub use pool::{
    Deployment,
    Pool, //
};
pub use prompts::{
    Part,
    Prompts, //
};
pub use settings::Settings;

/// Hash of the first bytes of a prompt, as cache events give it.
pub type Prefix = u64;
