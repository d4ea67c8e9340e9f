//! Orders, as stored and as sent to a backend server.

use names::{
    Fence,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// An instruction to a backend server. Each order sets a state, so sending one twice is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a version of a model.
    Load {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: Version,
    },
    /// Unload a version of a model.
    Unload {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: Version,
    },
    /// Change the server's role.
    Role {
        /// The new role, such as `prefill`.
        role: String,
    },
}

/// An order with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fenced {
    /// Revision of the store at which the order was written.
    pub fence: Fence,
    /// The order to carry out.
    pub order: Order,
}

/// Returns the store key of the newest order to a server.
pub fn key(server: &str) -> String {
    format!("order/{server}")
}
