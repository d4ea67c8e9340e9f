//! HTTP interface for callers.

mod body;
mod completions;
mod request;
mod router;
mod service;
mod shape;
mod status;

pub(crate) use request::payload;
pub(crate) use router::router;
