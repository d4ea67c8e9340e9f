//! The edge to the platform: key-value store, host list, weight store.
