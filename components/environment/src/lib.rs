//! Environment documents: one YAML document, written by operators, describes one environment.
//!
//! The document defines which backend servers and versions serve which traffic, whether calls to
//! each service may be repeated, the limits of the teams, and the moves of traffic in progress.

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
    parse_checked,
    replace_environment, //
};
