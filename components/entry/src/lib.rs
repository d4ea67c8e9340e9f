//! The entry daemon's library: callers and operators in, links to sidecars out.
