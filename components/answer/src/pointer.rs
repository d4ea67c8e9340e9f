//! Where a running generation is found by an entry that didn't start it.
//!
//! Two sidecars in two data centres hold each pointer. It is soft state: when both are lost, the
//! answer is begun again as a whole, and says so.
