//! Settings of our processes: YAML, strict, validated.
//!
//! Every duration carries a unit (`500ms`, `3s`), every size is in bytes or has a unit (`4MiB`).
//! Unknown fields are refused. Keys and certificates stand in a file of their own ([`Keys`]), so
//! that the rest can be shown and shared.

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
