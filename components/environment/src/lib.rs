//! Operators' documents: parse, validate, compare, match traffic to a target.
