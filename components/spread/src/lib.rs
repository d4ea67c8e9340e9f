//! Documents and facts carried to every process, and which processes there are.
//!
//! Everything here is decision code: events and times go in, actions come out. [`Board`] is the
//! whole of one process; its parts stand alone, so that each can be read, tested and searched.

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
mod reach;
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
