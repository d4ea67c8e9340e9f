//! Events of moves that are over within seconds: 620 to 639.

crate::declare! {
    /// An operator ordered that a service's traffic moves to another version.
    ORDERED = 620, Info, "Move ordered";
    /// An operator withdrew an order.
    WITHDRAWN = 621, Info, "Move withdrawn";
    /// The new version is bad by what the entries counted; it gets no more requests.
    FOUND_BAD = 622, Error, "New version found bad by samples";
    /// A state of the move stands in the store.
    STATE_STORED = 623, Info, "State of a move stands in the store";
    /// A state of the move could not be written; it is tried again.
    STATE_NOT_STORED = 624, Warn, "State of a move not written";
}
