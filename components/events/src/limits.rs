//! Events of limits and routing: 700 to 799.

crate::declare! {}
