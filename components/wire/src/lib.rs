//! Frames between our own processes, their codec, and links over QUIC with mutual TLS.
