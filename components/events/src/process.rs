//! Events of a process's life: 100 to 199.

crate::declare! {
    /// The process serves.
    STARTED = 100, Info, "Process started";
    /// The process was told to stop; it finishes what is in progress.
    STOPPING = 101, Info, "Process is stopping";
    /// The process has stopped.
    STOPPED = 102, Info, "Process stopped";
    /// Work was still in progress when the time to drain was over.
    CUT = 103, Error, "Work in progress was cut at the end of the drain time";
    /// The process became ready.
    READY = 104, Info, "Process is ready";
}
