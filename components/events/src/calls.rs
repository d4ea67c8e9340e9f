//! Events of calls to plain services: 400 to 499.

crate::declare! {
    /// A call's fate isn't known.
    UNKNOWN = 400, Error, "Outcome of a call is unknown";
    /// The outcome of a call can't be recorded yet; it is tried again.
    UNRECORDED = 401, Warn, "Outcome of a call is not recorded yet";
    /// A call was voided because its sidecar fell silent before it could hand it over.
    VOIDED = 402, Info, "Call voided: its sidecar fell silent";
    /// The store can't record calls; calls that may run only once are refused.
    REFUSED = 403, Warn, "Call refused: it can't be recorded";
}
