//! Small specifications of the core protocols, checked exhaustively against the production state
//! machines.
//!
//! Each module holds one specification: its state, its steps and its invariants. A specification
//! also defines mutations, which remove one part of the protocol each. The search must find a
//! violation for every mutation, since a model that cannot fail proves nothing.

pub mod answer;
pub mod contract;
pub mod edits;
pub mod freshness;
pub mod moves;
pub mod orders;
pub mod search;
pub mod spread;
