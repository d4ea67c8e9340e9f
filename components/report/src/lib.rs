//! Reports: service-level burn, moves, resumes.
