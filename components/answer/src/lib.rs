//! Token log, cursor, epochs and resume decisions of one generation.
