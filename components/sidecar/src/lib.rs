//! The sidecar daemon's library: the only door to one backend server.
//!
//! Entries dial the sidecar. For an engine it keeps the token log of each generation, so that an
//! entry, or another one, can come back for what it missed; for a plain service it hands calls over.

pub mod backend;
pub mod calls;
mod daemon;
pub mod engine;
pub mod flights;
pub mod generation;
pub mod generations;
pub mod kept;
mod line;
mod links;
mod orders;
mod service;
mod shared;
mod state;
mod work;

pub use self::daemon::Sidecar;
