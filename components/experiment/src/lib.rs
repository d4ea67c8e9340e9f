//! Plays load patterns against the production decisions in virtual time.
//!
//! What is real here: [`routing::Placement`], [`admission::Gate`] and [`admission::wait`], one of each
//! for every entry, told what entries are told. What is modelled: callers, engines and the time that
//! messages take. A [`Policy`] switches single decisions off, so that two of them can be compared over
//! the same seeds.

mod engine;
mod entry;
pub mod pattern;
pub mod policy;
mod seen;
pub mod setup;
mod world;

pub use pattern::Pattern;
pub use policy::Policy;
pub use seen::Seen;
pub use setup::Setup;
pub use world::play;
