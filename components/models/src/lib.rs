//! Small specifications of the core protocols, searched whole over the production decision code.
//!
//! Each module holds one specification: its state, its steps and its invariants. Each invariant has
//! a broken twin, a variant of the specification that the search must catch; a model that can't
//! fail proves nothing.

pub mod answer;
pub mod contract;
pub mod edits;
pub mod freshness;
pub mod moves;
pub mod orders;
pub mod search;
pub mod spread;
