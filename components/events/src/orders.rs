//! Events of orders to backend servers: 800 to 899.

crate::declare! {
    /// A backend server carried an order out.
    APPLIED = 800, Info, "Order carried out";
    /// An order was not let through, or the server refused it.
    REFUSED = 801, Warn, "Order refused";
    /// It isn't known whether an order took effect.
    UNKNOWN = 802, Warn, "Effect of an order is unknown";
    /// The store holds an order that this version can't read.
    UNREADABLE = 803, Error, "Stored order can't be read";
}
