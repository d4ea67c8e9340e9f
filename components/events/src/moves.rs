//! Events of moves between versions: 600 to 699.

crate::declare! {
    /// This entry found a move's new version bad and sends it no more requests.
    TRIPPED = 600, Error, "New version found bad";
    /// The operator's time has passed and the traffic hasn't moved whole.
    OVERDUE = 601, Warn, "Move is late";
    /// A move has ended, and this entry wrote its outcome.
    REPORTED = 602, Info, "Move ended";
    /// A move has ended, as another entry wrote.
    LEARNED = 603, Info, "Outcome of a move learned";
    /// A move that is recorded as done was found bad afterwards.
    OVERRULED = 604, Error, "Bad version found after its move was done";
}
