//! Structured log lines on standard output.
//!
//! A line is a JSON object: the time, the event's number and meaning, and the inputs and outcome of
//! the decision that it reports. Lines wait in a bounded [`Queue`] and are written by a separate
//! thread, so that a reader that stops reading delays no request. Lines that don't fit are dropped
//! by class, routine decisions first, and counted.

mod line;
mod queue;
mod writer;

pub use line::{
    Origin,
    line, //
};
pub use queue::{
    Class,
    Queue, //
};
pub use writer::{
    Writer,
    start, //
};
