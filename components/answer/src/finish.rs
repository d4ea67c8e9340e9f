//! How a generation ended.

use serde::{
    Deserialize,
    Serialize, //
};

/// The end of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finish {
    /// The model ended its text.
    Stop,
    /// The text reached `max_tokens`.
    Length,
    /// The generation ended before its text did.
    Broken(Breakage),
}

impl Finish {
    /// Whether the text is whole.
    pub fn is_complete(self) -> bool {
        match self {
            Finish::Stop | Finish::Length => true,
            Finish::Broken(_) => false,
        }
    }
}

/// Why a generation ended before its text did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Breakage {
    /// The engine closed the response without an end, or its process is gone.
    EngineDied,
    /// The engine sent nothing for the sidecar's limit.
    EngineStalled,
    /// The engine sent a token twice.
    Repeat,
    /// The engine left a token out.
    Hole,
    /// The log reached its bound in bytes with nobody attached who could take tokens off it.
    LogFull,
    /// An entry, or the end of the grace time, cancelled it.
    Cancelled,
}
