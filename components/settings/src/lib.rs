//! Settings of entries and sidecars, read from YAML and strictly validated.
//!
//! Every duration has a unit (`500ms`, `3s`); every size is a number of bytes or has a unit
//! (`4MiB`). Unknown fields are refused. Keys and certificates are in a separate file ([`Keys`]),
//! so that the settings themselves can be shown and shared.

pub mod entry;
pub mod keys;
mod load;
pub mod shape;
pub mod sidecar;
pub mod size;

pub use entry::Entry;
pub use keys::Keys;
pub use load::Error;
pub use load::finish;
pub use load::parse;
pub use load::read;
pub use load::text;
pub use shape::Fault;
pub use sidecar::Sidecar;
