//! Bounds on what a server may send before it has sent a response.

use std::fmt;

/// Bound on the bytes of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Size of a head, together with the interim responses before it.
    Head,
    /// Number of interim responses before a head.
    InterimResponses,
    /// Size of a chunk's size line.
    ChunkSize,
    /// Size of the trailers.
    Trailers,
    /// Number of responses to earlier requests before the expected one.
    EarlierResponses,
    /// Size of an event, or of what isn't an event, in a stream.
    Event,
    /// Size of a body.
    Body,
    /// Bytes that all connections hold together.
    Process,
}

impl Bound {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Bound::Head => "head",
            Bound::InterimResponses => "interim responses",
            Bound::ChunkSize => "chunk size",
            Bound::Trailers => "trailers",
            Bound::EarlierResponses => "responses to earlier requests",
            Bound::Event => "event",
            Bound::Body => "body",
            Bound::Process => "bytes of all connections",
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
