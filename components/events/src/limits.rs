//! Events of limits and routing: 700 to 799, of which none is declared yet.

crate::declare! {}
