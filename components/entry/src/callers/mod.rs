//! HTTP interface for callers.

mod body;
mod completions;
mod cutoff;
mod openai;
mod request;
mod router;
mod service;
mod status;

pub(crate) use request::payload;
pub(crate) use router::router;
