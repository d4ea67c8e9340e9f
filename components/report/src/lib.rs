//! Reports: service-level burn, moves, resumes.
//!
//! Counters go in, reports come out: as text for one screen, as JSON, and the burn as a page of
//! HTML that needs nothing else. Nothing here reads a clock or a socket.

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
