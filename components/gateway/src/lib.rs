//! The entry's direct path: callers' HTTP routes, passed through as bytes to backend servers that
//! the entry reaches itself, without sidecars.
//!
//! The decisions stand in crates of their own (`routing`, `answer`, `environment`, `admission`);
//! this crate drives them. What the platform calls things is known to an [`edge::Edge`] alone.

mod accept;
mod body;
mod cache_lookup;
pub mod clock;
pub mod daemon;
mod departure;
pub mod document_cache;
mod fleet;
mod handle;
mod initial_sync;
mod meter;
mod peers;
mod plain;
pub mod protocol;
mod queue;
mod quotas;
mod ready;
mod refuse;
pub mod rollout;
mod sender;
pub mod settings;
mod stream;
pub mod update;

pub use daemon::Gateway;
pub use protocol::Protocol;
pub use settings::Settings;
pub use update::Update;
