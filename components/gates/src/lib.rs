//! The driver of the decisions in the `admission` crate: a gate for each service, and the requests
//! that wait at it. Whoever drives a gate reports what its servers have room for, and calls
//! [`Gates::tick`] while requests wait.

mod gates;

pub use gates::{
    Gates,
    Permit,
    Rejection, //
    Request,
};
