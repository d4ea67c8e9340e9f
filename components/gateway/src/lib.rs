//! The gateway's data path: accepts callers' HTTP requests and forwards them as bytes directly to
//! backend servers, without sidecars.
//!
//! Routing, placement, failure and admission decisions are made by crates of their own (`routing`,
//! `answer`, `environment`, `admission`); this crate drives them. Everything specific to the
//! platform's HTTP is behind the [`protocol::Protocol`] trait.
//!
//! An engine is a backend server that generates streams.

mod accept;
pub mod account;
mod admin;
mod announcements;
mod body;
mod cache_lookup;
mod call;
pub mod clock;
mod context;
mod crash_watch;
mod crashes;
pub mod daemon;
mod demands;
pub mod document_cache;
mod fleet;
mod handle;
mod initial_sync;
mod lookups;
mod meter;
mod overload;
mod peers;
mod plain;
mod probation;
pub mod protocol;
mod queue;
mod queue_admission;
mod receive;
mod refuse;
mod repeat;
pub mod requests;
mod retry_budget;
pub mod rollout;
mod sender;
pub mod settings;
pub mod shutdown;
mod stream;
mod suspects;
mod trials;
pub mod update;

pub use daemon::Gateway;
pub use protocol::Protocol;
pub use settings::Settings;
pub use update::Update;
