//! Events of requests that an entry forwards directly to backend servers: 1000 to 1099 for
//! requests, 1100 to 1199 for the entry's view of the system.

crate::declare! {
    /// A request was refused with an answer of the entry's own.
    REFUSED = 1000, Warn, "Request refused";
    /// A request was sent to a backend server.
    SENT = 1001, Debug, "Request sent to a backend server";
    /// A request was answered completely.
    ANSWERED = 1002, Debug, "Request answered";
    /// A backend server reported that it did not run a request, or no byte of the request was sent.
    DECLINED = 1003, Info, "Backend server did not run the request";
    /// A send got no answer; the request may have run.
    LOST = 1004, Warn, "No answer from the backend server";
    /// The backend server answered with an error of its own.
    FAILED = 1005, Info, "Backend server answered with a failure";
    /// A stream continues on another backend server.
    RESUMED = 1006, Info, "Stream resumed on another backend server";
    /// An answer ended before it was complete.
    INCOMPLETE = 1007, Warn, "Answer ended before it was complete";
    /// The caller disconnected before its answer was complete.
    ABANDONED = 1008, Info, "Caller disconnected";
    /// The entry asked a server to copy a run's KV cache to another server; the copy may have
    /// failed.
    KV_COPY_REQUESTED = 1010, Info, "Copy of a run's cache requested";
    /// Engines were asked which prompts their caches hold.
    CACHES_QUERIED = 1011, Info, "Engines reported the contents of their caches";
    /// A request waited until an engine had capacity.
    ADMITTED = 1012, Debug, "Request waited for an engine with capacity";
    /// A request waited for the first document, in a process that had just started.
    AWAITED_DOCUMENT = 1013, Info, "Request waited for the first document";
    /// A request waited because servers that may have its prompt cached were missing from the
    /// registry.
    AWAITED_REGISTRATIONS = 1014, Info, "Request waited for servers to register again";
    /// The entry asked a server to release a copy of a run's KV cache that is no longer needed; the
    /// request may have failed.
    KV_COPY_RELEASED = 1015, Debug, "Copy of a run's cache released";
    /// A run without an event stays at a server that is slower than expected, as no other one is
    /// expected to send the first event in time.
    STAYED = 1016, Debug, "Run stays at a slow server";
    /// A retry would exceed the retry budget shared by all processes.
    RETRY_BUDGET_SPENT = 1009, Info, "Retry budget of the service is spent";

    /// A backend server crashed before a run of the request survived its start.
    SERVER_CRASHED = 1017, Warn, "Backend server crashed under a request";
    /// A request is refused at every gateway, as servers crashed under it according to peers.
    REQUEST_POISONOUS = 1018, Warn, "Request is refused as it crashes backend servers";

    /// The refusal of a request could not be stored.
    REFUSAL_NOT_STORED = 1019, Warn, "Refusal could not be stored";
    /// A server began, changed or ended to limit the request rate that it accepts.
    RATE_LIMITED = 1020, Info, "Backend server limits its request rate";

    /// The streams of a service began to differ in rank or objective, or no longer do.
    ORDER_CHANGED = 1021, Info, "Order of a service's waiting requests changed";
    /// A plain service gets more requests than its servers can answer in time.
    OVER_CAPACITY = 1026, Warn, "Plain service is over capacity";
    /// A plain service was not over capacity for a while.
    WITHIN_CAPACITY = 1027, Info, "Plain service is within its capacity again";
    /// A plain request waited until a server had room.
    AWAITED_ROOM = 1028, Debug, "Plain request waited for room at a server";
    /// A second send was left out, as the service is over capacity.
    REPEAT_GAVE_WAY = 1029, Debug, "Second send left out";
    /// A server was found to be slower than the others of its service.
    SERVER_SLOWER = 1031, Info, "Backend server is slower than the others of its service";
    /// A server was found to be faster than the others of its service.
    SERVER_FASTER = 1032, Info, "Backend server is faster than the others of its service";
    /// A server is no longer found to be slower or faster.
    SERVER_USUAL = 1033, Info, "Backend server is as fast as the others of its service";
    /// A server sent more than a bound allows.
    EXCESS = 1035, Warn, "Backend server sent too much; its connection was closed";
    /// All connections held more than the process may hold.
    EVICTED = 1036, Warn, "Connections hold too much; the largest was closed";
    /// A run was lost while its server sent bytes that are no event.
    NO_EVENTS = 1037, Warn, "Backend server sends bytes but no events";
    /// The store sent more than a bound allows.
    STORE_EXCESS = 1038, Warn, "Store sent too much; its connection was closed";

    /// A request was still in progress when the process exited.
    CUT_OFF = 1039, Error, "Request cut off at the exit";
    /// A request was admitted while the process drains.
    ADMITTED_DRAINING = 1040, Debug, "Request admitted during the drain";
    /// A request waits, as another one or each server's run must live first.
    SEPARATED = 1041, Info, "Request waits until others live";
    /// A server asked for no requests for a time.
    SERVER_BACKS_OFF = 1042, Info, "Backend server wants no requests for a time";
    /// A server said that it leaves.
    SERVER_LEAVES = 1043, Info, "Backend server says that it leaves";
    /// A peer ended or fell silent that had sent retries within the window of their budget.
    RETRIES_UNREPORTED = 1044, Info, "Peer no longer reports its retries";
    /// A server broke off a run that had not survived, and its port is open.
    BROKEN_OFF = 1045, Info, "Backend server broke off a request and still listens";
    /// The server at an address said that it is another one than the registered one.
    DENIED = 1046, Info, "Backend server says that it is another one";
    /// A server stopped answering before a run of the request survived, and may have crashed.
    SERVER_SILENT = 1047, Warn, "Backend server stopped answering under a request";
    /// A server that was silent answers, or is registered still.
    SERVER_ANSWERS = 1048, Info, "Silent backend server hasn't crashed";
    /// Callers held all that they may; connections that make no progress yielded.
    CONNECTIONS_YIELDED = 1049, Warn, "Connections of callers yielded";
    /// A run that sends nothing is kept, as no other one can replace it now.
    KEPT = 1050, Info, "Quiet run is kept";
    /// The connection of a request was closed before the caller had taken its whole answer.
    UNWRITTEN = 1051, Warn, "Connection closed before the answer was written";
    /// A stream whose replacement failed goes on at the server that it left.
    WENT_BACK = 1052, Info, "Stream goes back to the server that it left";

    /// A document took effect in this process.
    DOCUMENT_IN_FORCE = 1100, Info, "Document is in force";
    /// A document can't be decoded; the previous one stays in force.
    DOCUMENT_UNREADABLE = 1101, Error, "Document can't be read";
    /// A backend server registered, or its registration changed, after the initial read of the
    /// store.
    SERVER_REGISTERED = 1102, Info, "Backend server registered";
    /// A backend server's registration was removed or expired.
    SERVER_GONE = 1103, Info, "Backend server is gone";
    /// A registration can't be decoded.
    REGISTRATION_UNREADABLE = 1104, Warn, "Registration can't be read";
    /// A call to the store failed.
    STORE_LOST = 1105, Warn, "Store does not answer";
    /// The store answers again.
    STORE_BACK = 1106, Info, "Store answers again";
    /// The document may be out of date; API keys are not accepted.
    DOCUMENT_STALE = 1107, Warn, "Document may be out of date";
    /// The document is known to be current again.
    DOCUMENT_CURRENT = 1108, Info, "Document is current again";
    /// Settings were reloaded.
    SETTINGS_CHANGED = 1109, Info, "Settings changed";
    /// Settings can't be read; the previous ones stay in force.
    SETTINGS_UNREADABLE = 1110, Error, "Settings can't be read";
    /// The whole store was read: the number of registered servers and the time that it took.
    STORE_READ = 1111, Info, "Store was read";
}
