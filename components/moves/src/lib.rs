//! Gradual traffic moves between versions of a service: plan, evidence, veto, outcome.
//!
//! A move's [`plan::Ramp`] bounds the new version's share of the traffic over wall-clock time. Each
//! entry's [`Mover`] derives its share from the ramp and from the [`evidence::Evidence`] that the
//! entries gossip, and [`judge::assess`] compares the new version with the old one over the same
//! time. An entry whose evidence reaches the threshold stops sending traffic to the new version at
//! once and publishes an [`outcome::Veto`]. One entry writes the outcome.
//!
//! Moves that must finish within seconds use [`rollout`] instead.
//!
//! All types are plain state machines without I/O: an event and a time go in, actions come out.

pub mod evidence;
pub mod history;
pub mod judge;
pub mod mover;
pub mod outcome;
pub mod plan;
pub mod rank;
pub mod rollout;
pub mod share;
pub mod sketch;
pub mod step;
pub mod times;

pub use mover::Mover;
pub use share::{
    Level,
    Side,
    pick, //
};
