//! Events of orders to backend servers: 800 to 899.

crate::declare! {}
