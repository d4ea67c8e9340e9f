//! End states of a generation.

use serde::{
    Deserialize,
    Serialize, //
};

/// End of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finish {
    /// The model completed its text.
    Stop,
    /// The text reached `max_tokens`.
    Length,
    /// The generation ended before its text was complete.
    Broken(Breakage),
}

impl Finish {
    /// Returns whether the text is complete.
    pub fn is_complete(self) -> bool {
        match self {
            Finish::Stop | Finish::Length => true,
            Finish::Broken(_) => false,
        }
    }
}

/// Reason for an incomplete generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Breakage {
    /// The engine closed the response without an end, or its process exited.
    EngineDied,
    /// The engine sent nothing for the time limit of the sidecar.
    EngineStalled,
    /// The engine sent a token twice.
    Repeat,
    /// The engine skipped a token.
    Hole,
    /// The log reached its size limit with no attached entry to drain it.
    LogFull,
    /// An entry cancelled the generation, or its grace time expired.
    Cancelled,
}
