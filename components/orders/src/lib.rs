//! Fenced orders to backend servers, and slots of the weight store.
