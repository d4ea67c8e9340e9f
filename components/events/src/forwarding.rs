//! Events of the entry's direct path: 1000 to 1099 for requests, 1100 to 1199 for what the process
//! believes.

crate::declare! {
    /// A request got an answer of the gateway's own.
    REFUSED = 1000, Warn, "Request refused";
    /// A request goes to a backend server.
    SENT = 1001, Debug, "Request sent to a backend server";
    /// A request got its whole answer.
    ANSWERED = 1002, Debug, "Request answered";
    /// A backend server said that it didn't run a request, or no byte of it left.
    DECLINED = 1003, Info, "Backend server did not run the request";
    /// A send came to no answer; the request may have run.
    LOST = 1004, Warn, "No answer from the backend server";
    /// The backend server answered with a failure of its own.
    FAILED = 1005, Info, "Backend server answered with a failure";
    /// A stream goes on at another backend server.
    RESUMED = 1006, Info, "Stream goes on elsewhere";
    /// An answer ends before it is complete.
    CUT = 1007, Warn, "Answer ended before it was complete";
    /// The caller went away before its answer was complete.
    ABANDONED = 1008, Info, "Caller went away";
    /// A run's memory was copied to another server, or couldn't be.
    KV_COPY_REQUESTED = 1010, Info, "Memory of a run copied on request";
    /// Engines were asked for the prompts that they hold.
    CACHES_QUERIED = 1011, Info, "Engines told what their caches hold";
    /// A request waited until an engine had room.
    ADMITTED = 1012, Debug, "Request waited for an engine with room";
    /// A request waited for the first call to the store of a process that had just started.
    AWAITED_DOCUMENT = 1013, Info, "Request waited for the first document";
    /// A caller came back while servers that may hold its prompt were missing from the register.
    AWAITED_REGISTRATIONS = 1014, Info, "Request waited for servers that register again";
    /// A retry would exceed the bound over all processes.
    RETRY_BUDGET_SPENT = 1009, Info, "No retry is left for the service";

    /// A document is in force here.
    DOCUMENT_IN_FORCE = 1100, Info, "Document is in force";
    /// A document can't be read; the one before stays in force.
    UNREADABLE = 1101, Error, "Document can't be read";
    /// A backend server is new, or its registration changed.
    SERVER_REGISTERED = 1102, Info, "Backend server registered";
    /// A backend server is gone.
    SERVER_GONE = 1103, Info, "Backend server is gone";
    /// An entry of the register can't be read.
    REGISTRATION_UNREADABLE = 1104, Warn, "Entry of the register can't be read";
    /// A call to the store came to nothing.
    STORE_LOST = 1105, Warn, "Store does not answer";
    /// The store answers again.
    STORE_BACK = 1106, Info, "Store answers again";
    /// The document may be out of date; keys are not accepted.
    STALE = 1107, Warn, "Document may be out of date";
    /// The document is known to be current again.
    CURRENT = 1108, Info, "Document is current again";
    /// Settings were read again.
    SETTINGS_CHANGED = 1109, Info, "Settings changed";
    /// Settings can't be read; those before stay.
    SETTINGS_UNREADABLE = 1110, Error, "Settings can't be read";
}
