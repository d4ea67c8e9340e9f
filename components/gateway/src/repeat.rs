//! Why a request is sent to a server once more.

/// Reason for a send beyond the first one of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The answer takes long, and a second server gets the request beside the first.
    Hedge,
    /// A send got no answer, or one that was cut off.
    Lost,
    /// The server answered with a failure.
    Failed,
    /// The server didn't run the request.
    Declined,
    /// Another server has the address.
    Misdirected,
    /// No byte reached the server.
    Unsent,
    /// The stream had begun, and goes on at another server.
    Resumed,
}

impl Repeat {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Repeat::Hedge => "hedge",
            Repeat::Lost => "lost",
            Repeat::Failed => "failed",
            Repeat::Declined => "declined",
            Repeat::Misdirected => "misdirected",
            Repeat::Unsent => "unsent",
            Repeat::Resumed => "resumed",
        }
    }
}
