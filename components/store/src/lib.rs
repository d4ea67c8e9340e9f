//! Client of the platform's services: key-value store, host list and weight store.
//!
//! The interfaces are specified in `docs/interfaces/store.md` and `docs/interfaces/hosts.md`. Each
//! method of [`Client`] makes one attempt, except [`Client::settle`] and [`Client::get_until`],
//! which retry.

mod answer;
mod client;
mod error;
pub mod hosts;
mod settle;
pub mod store;

pub use client::Client;
pub use error::Error;
