//! Operators' documents: one YAML document describes one environment.
//!
//! The document says which backend servers and versions serve which traffic, what each service
//! promises about repeats, which limits the teams have, and which moves of traffic are under way.

pub mod check;
pub mod difference;
pub mod digest;
pub mod document;
pub mod index;
pub mod parse;
pub mod path;

pub use check::{
    Problem,
    check, //
};
pub use difference::{
    Difference,
    diff, //
};
pub use digest::digest;
pub use document::{
    Document,
    Target, //
};
pub use index::Index;
pub use parse::{
    Error,
    MAX_DOCUMENT_BYTES,
    parse,
    read,
    replace_environment, //
};
