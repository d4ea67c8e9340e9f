//! Events of generations and answers: 300 to 399.

crate::declare! {
    /// A generation ended before its answer was complete: its engine failed, its log was full, or
    /// it was cancelled.
    BROKEN = 300, Warn, "Generation failed";
    /// An answer continues with another epoch.
    RESUMED = 301, Info, "Answer resumed";
    /// An answer could not be completed.
    INTERRUPTED = 302, Error, "Answer interrupted";
    /// A generation had no listener for the grace time.
    ABANDONED = 303, Info, "Generation cancelled: no listener";
    /// The backend server doesn't answer its health check.
    BACKEND_DOWN = 304, Warn, "Backend server doesn't answer its health check";
    /// The backend server answers its health check.
    BACKEND_UP = 305, Info, "Backend server answers its health check";
}
