//! Events of links and cluster membership: 200 to 299.

crate::declare! {
    /// A link was established.
    UP = 200, Info, "Link is up";
    /// A link was lost, or its handshake failed; the dialling side dials a new one.
    LOST = 201, Warn, "Link lost";
    /// A peer's certificate isn't signed by the configured authority, or isn't valid for its name.
    FOREIGN = 202, Error, "Peer refused: foreign certificate";
    /// A peer uses another version of the protocol, or its handshake frame is malformed.
    PROTOCOL = 203, Error, "Peer refused: unsupported protocol version";
    /// A peer sent a frame that isn't allowed at that point.
    MALFORMED = 204, Error, "Peer sent a malformed frame";
    /// A backend server is leaving.
    LEAVING = 205, Info, "Backend server is leaving";
    /// The platform's host list can't be read; the last one stays in use.
    HOSTS_UNREADABLE = 206, Warn, "Host list can't be read";
    /// A peer missed several of its beacons; its work no longer counts.
    BEACONS_LOST = 207, Info, "Peer sends no more beacons";
    /// Beacons arrive from a new peer, or again from one that had stopped sending them.
    BEACONS_RECEIVED = 208, Info, "Peer sends beacons";
}
