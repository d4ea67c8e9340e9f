//! The sidecar daemon's library: all requests to one backend server pass through its sidecar.
//!
//! Entries dial the sidecar. For an engine it keeps the token log of each generation, so that the
//! same or another entry can fetch the tokens that it missed; for a plain service it forwards
//! calls.

pub mod backend;
pub mod calls;
mod concurrency;
mod context;
mod daemon;
pub mod engine;
pub mod generation;
pub mod generations;
pub mod inflight;
mod line;
mod links;
mod orders;
pub mod recorded;
mod service;
mod state;

pub use self::daemon::Sidecar;
