//! Identifiers and units shared by all crates.
//!
//! They are type aliases: an identifier is any text or number that the operator, the caller or the
//! platform chose. Decision code takes monotonic times as [`Clock`] readings, so that it runs on
//! real time in a daemon and on simulated time in tests and models.

use std::time::Duration;

/// Name of a host, as in the platform's host list and in the host's certificate.
pub type Host = String;

/// Name of a data centre.
pub type DataCentre = String;

/// Name of a team, the unit of rate limits and fairness.
pub type Team = String;

/// Name of a service that a document describes: a model or a plain service.
pub type Service = String;

/// Name of a version of a service.
pub type Version = String;

/// Name of a backend server; each has one sidecar.
pub type Server = String;

/// Name of a route of a document.
pub type Route = String;

/// Name of an environment, such as `production`.
pub type Environment = String;

/// Name of a move, unique within its environment.
pub type Move = String;

/// Identity of a request: the caller's `Idempotency-Key` with its team, or a generated one.
pub type Request = String;

/// Number of a run of a request; each run that replaces another has a higher one.
pub type Epoch = u32;

/// Random number that distinguishes runs or writes with equal names.
pub type Nonce = u64;

/// Position of a token in an answer, from 0.
pub type Index = u64;

/// Revision number of the platform's store: each write gets a higher one; 0 means never written.
pub type Revision = u64;

/// Fencing token of an order: the store's revision at which the order was issued.
pub type Fence = u64;

/// Reading of a monotonic clock: the time since an origin that the driver of the code chooses.
pub type Clock = Duration;
