//! Library of the entry daemon. An entry serves the HTTP interfaces of callers and operators, and
//! sends the requests of callers over links to the sidecars of backend servers.

mod answers;
mod attempt;
mod burn;
pub mod callers;
mod calls;
mod daemon;
mod documents;
mod fleet;
mod gates;
mod hosts;
mod links;
mod moves;
mod operators;
mod outage;
mod pointers;
mod pool;
pub mod problem;
mod replicas;
mod resumes;
mod state;
mod unresponsive;

pub use self::daemon::Entry;
