//! Replica selection: load balancing, prefix affinity, outlier ejection and data centres.
//!
//! [`Pool`] is a state machine without I/O. Its driver reports the known backend servers, their
//! load reports, the work sent and its outcomes, and asks it for a server for each piece of work.
//! [`Placement`] chooses backend servers that a process reaches without a sidecar.
//! `docs/design/routing.md` gives the reasons and the figures.

mod cache;
mod choose;
mod decay;
mod member;
pub mod placement;
mod pool;
mod prompts;
mod remote;
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
pub use remote::Summary;
pub use settings::Settings;

/// Hash of the first bytes of a prompt, as cache events report it.
pub type Prefix = u64;
