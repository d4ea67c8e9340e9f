//! Runs the admission decisions of the `admission` crate: one gate per service, and the requests
//! that wait at it. The owner of a [`Gates`] passes the capacity of the backend servers to
//! [`Gates::report`], and calls [`Gates::tick`] while requests wait.

mod gates;

pub use gates::{
    Gates,
    Order,
    Permit,
    Rejection, //
    Request,
};
