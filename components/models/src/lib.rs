//! Small specifications of the core protocols and their exhaustive checks.
