//! Events of moves between versions: 600 to 619.

crate::declare! {
    /// This entry found that the new version of a move is bad; it sends it no more requests.
    FOUND_BAD = 600, Error, "New version found bad";
    /// The time that the operator gave has passed, and the traffic hasn't moved completely.
    OVERDUE = 601, Warn, "Move is overdue";
    /// A move ended, and this entry stored its outcome.
    OUTCOME_STORED = 602, Info, "Move ended";
    /// A move ended; another entry stored its outcome.
    OUTCOME_LEARNED = 603, Info, "Outcome of a move learned";
    /// A move's version was found bad after its outcome was stored as done.
    FOUND_BAD_LATE = 604, Error, "Version found bad after its move was done";
}
