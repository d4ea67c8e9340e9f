//! Events of calls to plain services: 400 to 499.

crate::declare! {
    /// A call's fate isn't known.
    UNKNOWN = 400, Error, "Outcome of a call is unknown";
}
