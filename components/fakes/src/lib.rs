//! Stand-ins for tests and trials: model engine, plain service and platform.
//!
//! Each implements the contract of its page under `docs/interfaces/` and the faults listed there.
//! Faults are set over HTTP, or by a method call on a stand-in embedded in a test process.

pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
pub mod store;
