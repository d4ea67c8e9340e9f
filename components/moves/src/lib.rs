//! Traffic moves between versions: plan, evidence, veto, outcome.
//!
//! A move's [`plan::Ramp`] says between which bounds the new version's share of the traffic lies
//! at a wall-clock time. Each entry's [`Mover`] takes its share from the ramp and from the
//! [`evidence::Evidence`] that all entries gossip, and [`judge::assess`] compares the new version
//! with the old one over the same time. An entry whose judge trips stops sending traffic to the
//! new version at once and spreads a [`outcome::Veto`]. One entry writes the outcome.
//!
//! A move that must be over within seconds goes another way, see [`rollout`].
//!
//! Everything here is plain state: an event and a time go in, actions come out.

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
