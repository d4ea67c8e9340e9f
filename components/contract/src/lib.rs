//! Calls that run at most once, their outcomes, and poisonous requests.
