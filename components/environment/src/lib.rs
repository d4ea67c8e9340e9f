//! Operators' documents: one YAML document describes one environment.
//!
//! The document says which backend servers and versions serve which traffic, what each service
//! promises about repeats, which limits the teams have, and which moves of traffic are under way.

pub mod document;

pub use document::Document;
