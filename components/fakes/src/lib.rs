//! Stand-ins for tests and trials: model engine, plain service, platform.
