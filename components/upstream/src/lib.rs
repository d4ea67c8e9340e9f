//! HTTP/1.1 connections to backend servers.
//!
//! Calls that may run at most once depend on details that HTTP client libraries hide: whether any
//! byte of the request was sent, whether unsolicited bytes arrived on an idle connection, and which
//! of two responses on one connection belongs to the request. [`Connection`] exposes all three.
//! `httparse` parses the heads and chunk sizes.

mod body;
mod bound;
mod connection;
mod error;
mod head;
pub mod ledger;
pub mod pool;
mod segments;

pub use bound::Bound;
pub use connection::{
    Collected, //
    Connection,
    Data,
};
pub use error::Error;
pub use head::Head;
pub use ledger::Ledger;
pub use pool::Pool;
pub use segments::Segments;
