//! medlarhatch: a serving system for long model generations on engines that fail.

fn main() {}
