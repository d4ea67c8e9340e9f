//! Fenced orders to backend servers, and slots of the weight store.
//!
//! Whoever gives an order writes it to the platform's store first, under [`key`]; the revision of
//! that write is the order's fencing token. The sidecar's [`sequencer::Sequencer`] is the only way to
//! the server and sees to it that an order with an older number never takes effect after a newer
//! one, also where the server doesn't check. [`slot::Slot`] bounds how many servers load weights
//! at a time.

pub mod order;
pub mod sequencer;
pub mod slot;

pub use order::{
    Order,
    key, //
};
