//! At-most-once calls, their outcomes, and detection of poisonous requests.
//!
//! A recorded call has a record in the platform's store. Two state machines share the record:
//! [`forwarder::Forwarder`] in the sidecar, the only one that forwards the call to its service, and
//! [`attempt::Attempt`] in the entry, which proves `not_run` when a sidecar stops responding. A
//! third one, [`poison::Detector`], finds requests that crash every server that runs them.

pub mod attempt;
pub mod forwarder;
pub mod outcome;
pub mod poison;
pub mod record;
pub mod seen;
pub mod sends;
pub mod store;

pub use outcome::Outcome;
pub use record::Record;
