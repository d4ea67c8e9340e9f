//! Orders as they stand in the store and go to a backend server.

use names::{
    Fence,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// What a backend server is told to do. Each order sets a state, so sending one twice does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a version of a model.
    Load {
        /// The model.
        model: String,
        /// Its version.
        version: Version,
    },
    /// Unload a version of a model.
    Unload {
        /// The model.
        model: String,
        /// Its version.
        version: Version,
    },
    /// Change the role.
    Role {
        /// The new role, such as `prefill`.
        role: String,
    },
}

/// An order with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fenced {
    /// The store's revision at which the order was written.
    pub fence: Fence,
    /// The order.
    pub order: Order,
}

/// Key of the newest order to a server.
pub fn key(server: &str) -> String {
    format!("order/{server}")
}
