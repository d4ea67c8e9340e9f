//! HTTP/1.1 connections to backend servers.
//!
//! A client library hides what a call that may run at most once depends on: whether a byte of the
//! request left, whether bytes that belong to no request arrived on an idle connection, and which
//! of two answers on one connection is ours. [`Connection`] shows all three. Parsing of heads and
//! chunk sizes is `httparse`'s.

mod body;
mod connection;
mod error;
mod head;
pub mod pool;

pub use connection::{
    Collected, //
    Connection,
    Data,
};
pub use error::Error;
pub use head::Head;
pub use pool::Pool;
