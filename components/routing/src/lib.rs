//! Replica choice: load, prefix affinity, ejection, data centres.

pub mod subset;
