//! Simulates load patterns in virtual time, with the production code for placement and admission.
//!
//! Every entry runs its own production [`routing::Placement`], [`admission::Gate`] and
//! [`admission::wait`], with the inputs that a real entry receives. Callers, engines and message
//! delays are modelled. A [`Policy`] disables single decisions, so that two policies can be
//! compared over the same seeds.

mod engine;
mod entry;
pub mod pattern;
pub mod policy;
pub mod setup;
mod simulation;
mod summary;

pub use pattern::Pattern;
pub use policy::Policy;
pub use setup::Setup;
pub use simulation::simulate;
pub use summary::{
    Outcomes,
    Summary, //
};
