//! Events of a process's lifecycle: 100 to 199.

crate::declare! {
    /// The process has started.
    STARTED = 100, Info, "Process started";
    /// The process was asked to stop; it finishes work in progress.
    STOPPING = 101, Info, "Process is stopping";
    /// The process has stopped.
    STOPPED = 102, Info, "Process stopped";
    /// Work was still in progress when the drain time was over.
    ABORTED = 103, Error, "Work in progress aborted at the end of the drain time";
    /// The process became ready for traffic.
    READY = 104, Info, "Process is ready";
    /// The drain has ended; the process exits.
    DRAINED = 105, Info, "Drain has ended";
}
