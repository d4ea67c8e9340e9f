//! Events of moves between versions: 600 to 699.

crate::declare! {}
