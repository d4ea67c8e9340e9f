//! Documents and monotone facts carried to every process; membership.
