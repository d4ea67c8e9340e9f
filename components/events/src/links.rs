//! Events of links and membership: 200 to 299.

crate::declare! {
    /// A link is up.
    UP = 200, Info, "Link is up";
    /// A link was lost; a new one is dialled.
    LOST = 201, Warn, "Link lost";
    /// A peer's certificate is not of our authority or not for its name.
    FOREIGN = 202, Error, "Peer refused: foreign certificate";
    /// A peer speaks another version of the protocol.
    PROTOCOL = 203, Error, "Peer refused: other protocol version";
    /// A peer sent something that doesn't belong there.
    MALFORMED = 204, Error, "Peer sent a malformed frame";
    /// A backend server is leaving.
    LEAVING = 205, Info, "Backend server is leaving";
    /// The platform's host list can't be read; the last one stays in use.
    HOSTS_UNREADABLE = 206, Warn, "Host list can't be read";
    /// Nothing came from a peer for several of its beacons; its work no longer counts.
    SILENT = 207, Info, "Peer fell silent";
    /// A peer is new, or is heard again.
    HEARD = 208, Info, "Peer is heard";
}
