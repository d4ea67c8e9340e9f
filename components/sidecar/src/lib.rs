//! The sidecar daemon's library: the only door to one backend server.
