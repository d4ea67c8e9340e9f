//! Events of gradual rollouts, which complete within seconds: 620 to 639.

crate::declare! {
    /// An operator ordered a rollout: a gradual move of a service's traffic to another version.
    ORDERED = 620, Info, "Move ordered";
    /// An operator withdrew a rollout.
    WITHDRAWN = 621, Info, "Move withdrawn";
    /// The entries' counts show that the new version is bad; it gets no more requests.
    FOUND_BAD = 622, Error, "New version found bad by samples";
    /// The state of a rollout was stored.
    STATE_STORED = 623, Info, "State of a move stored";
    /// The state of a rollout could not be stored; the write is retried.
    STATE_NOT_STORED = 624, Warn, "State of a move could not be stored";
}
