//! The interface for callers.

mod body;
mod completions;
mod router;
mod service;
mod shape;
mod status;

pub(crate) use router::payload;
pub(crate) use router::router;
