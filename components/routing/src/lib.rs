//! Replica choice: load, prefix affinity, ejection, data centres.
