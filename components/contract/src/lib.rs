//! Calls that run at most once, their outcomes, and poisonous requests.
//!
//! A kept call has a record in the platform's store. Three small state machines share it:
//! [`handover::Handover`] at the sidecar, which alone hands the call to its service;
//! [`attempt::Attempt`] at the entry, which proves `not_run` when a sidecar falls silent; and
//! [`poison::Detector`], which finds requests that bring down each server that runs them.

pub mod attempt;
pub mod handover;
pub mod outcome;
pub mod poison;
pub mod record;
pub mod seen;
pub mod sends;
pub mod store;

pub use outcome::Outcome;
pub use record::Record;
