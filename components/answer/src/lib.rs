//! Token log, cursor, epochs and resume decisions of one answer.
//!
//! A sidecar keeps the [`log::Log`] of each generation that it runs. The entry that serves the
//! caller keeps a [`resume::Resume`], which accepts tokens in order from the one epoch that owns
//! the answer and decides when to reattach, when to start the next epoch, and when to give up. Both
//! are plain state machines: an event and a time go in, actions come out.

pub mod cursor;
pub mod events;
pub mod finish;
pub mod log;
pub mod loss;
pub mod pointer;
pub mod position;
pub mod progress;
pub mod resume;
pub mod silence;
pub mod threshold;

pub use finish::{
    Breakage,
    Finish, //
};
