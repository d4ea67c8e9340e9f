//! Events of calls to plain services: 400 to 499.

crate::declare! {
    /// It is unknown whether a call ran.
    UNKNOWN = 400, Error, "Outcome of a call is unknown";
    /// The outcome of a call could not be recorded; the write is retried.
    UNRECORDED = 401, Warn, "Outcome of a call is not recorded yet";
    /// A call was voided because its sidecar stopped responding before it could forward the call.
    VOIDED = 402, Info, "Call voided: its sidecar stopped responding";
    /// The store can't record calls; calls that must run at most once are refused.
    REFUSED = 403, Warn, "Call refused: it can't be recorded";
}
