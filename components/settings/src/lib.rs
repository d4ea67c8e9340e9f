//! Settings of entries and sidecars, read from YAML and strictly validated.
//!
//! Every duration has a unit (`500ms`, `3s`); every size is a number of bytes or has a unit
//! (`4MiB`). Unknown fields are refused. Keys and certificates are in a separate file ([`Keys`]),
//! so that the settings themselves can be shown and shared.

pub mod entry;
pub mod keys;
pub mod lenient;
mod load;
pub mod sidecar;
pub mod size;

pub use entry::Entry;
pub use keys::Keys;
pub use lenient::Fault;
pub use load::Error;
pub use load::into_result;
pub use load::parse;
pub use load::read;
pub use load::read_text;
pub use sidecar::Sidecar;
