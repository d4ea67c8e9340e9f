//! The edge to the platform: key-value store, host list, weight store.
//!
//! The contracts are `docs/interfaces/store.md` and `docs/interfaces/hosts.md`. One method of
//! [`Client`] is one attempt; [`Client::settle`] and [`Client::get_until`] stand above that.

mod answer;
mod client;
mod error;
pub mod hosts;
mod settle;
pub mod store;

pub use client::Client;
pub use error::Error;
