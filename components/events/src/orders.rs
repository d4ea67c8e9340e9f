//! Events of orders to backend servers: 800 to 899.

crate::declare! {
    /// A backend server executed an order.
    APPLIED = 800, Info, "Order executed";
    /// The sidecar did not forward an order, or the server refused it.
    REFUSED = 801, Warn, "Order refused";
    /// It is unknown whether an order took effect.
    UNKNOWN = 802, Warn, "Effect of an order is unknown";
    /// The store holds an order that this version can't decode.
    UNREADABLE = 803, Error, "Stored order can't be read";
}
