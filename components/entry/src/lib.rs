//! The entry daemon's library: callers and operators in, links to sidecars out.

pub mod callers;
mod answers;
mod attempt;
mod calls;
mod daemon;
mod documents;
mod fleet;
mod links;
mod operators;
pub mod problem;
mod state;

pub use self::daemon::Entry;
