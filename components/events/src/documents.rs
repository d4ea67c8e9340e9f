//! Events of documents and their spread: 500 to 599.

crate::declare! {
    /// A document came into force in this process.
    IN_FORCE = 500, Info, "Document in force";
    /// The store can't be read; the last document stays in force.
    STORE_OUT = 501, Warn, "Store can't be read";
    /// The store holds a document that this version can't read; the last one stays in force.
    UNREADABLE = 502, Error, "Stored document can't be read";
    /// This process stood still and may have missed a document; it takes no requests until it
    /// knows.
    PAUSED = 503, Warn, "Process stood still";
    /// Another process sent what this version can't read.
    MESSAGE_UNREADABLE = 504, Warn, "Message on documents can't be read";
}
