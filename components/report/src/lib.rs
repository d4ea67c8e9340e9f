//! Reports on service-level burn, moves and resumes, and explanations of requests from log lines.
//!
//! The reports are computed from counters and rendered as text for one screen or as JSON; the burn
//! also as a self-contained HTML page. Nothing here reads a clock or a socket.

pub mod burn;
pub mod explain;
pub mod moves;
pub mod page;
pub mod resumes;
pub mod ring;
pub mod text;

pub use burn::{
    Burn,
    Counters, //
};
