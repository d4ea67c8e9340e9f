//! Replication of documents and facts to every process, and cluster membership.
//!
//! The crate performs no I/O: it takes events and timestamps and returns actions. [`Replica`] holds
//! the state of one process. Its parts do not depend on it, so that each can be tested and
//! model-checked alone.

pub mod beacon;
pub mod delta;
pub mod edit;
pub mod event;
mod exchange;
pub mod fact;
pub mod freshness;
pub mod gate;
pub mod membership;
pub mod message;
mod readers;
pub mod replica;
pub mod slot;
pub mod watch;

pub use edit::Edit;
pub use event::{
    Action,
    Event,
    Identity, //
};
pub use fact::{
    Fact,
    Facts,
    Key, //
};
pub use freshness::Freshness;
pub use gate::Gate;
pub use membership::Membership;
pub use message::Message;
pub use replica::Replica;
pub use slot::{
    Edition,
    Slot, //
};
