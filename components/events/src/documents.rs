//! Events of documents and their distribution: 500 to 599.

crate::declare! {
    /// A document took effect in this process.
    IN_FORCE = 500, Info, "Document in force";
    /// The store can't be read; the last document stays in force.
    STORE_UNREADABLE = 501, Warn, "Store can't be read";
    /// The store holds a document that this version can't decode; the last valid one stays in
    /// force.
    UNREADABLE = 502, Error, "Stored document can't be read";
    /// This process was paused and may have missed a document; it takes no requests until it has
    /// checked.
    PAUSED = 503, Warn, "Process was paused";
    /// Another process sent a message that this version can't decode.
    MESSAGE_UNREADABLE = 504, Warn, "Message about documents can't be read";
}
