//! Fenced orders to backend servers, and slots of the weight store.
//!
//! The issuer of an order first writes it to the platform's store, under [`key`]; the revision of
//! that write is the order's fencing token. All orders reach the server through the sidecar's
//! [`sequencer::Sequencer`], which ensures that an order with an older token never takes effect
//! after a newer one, even if the server doesn't check tokens. [`slot::Slot`] limits how many
//! servers load weights at the same time.

pub mod order;
pub mod sequencer;
pub mod slot;

pub use order::{
    Order,
    key, //
};
